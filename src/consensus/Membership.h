#pragma once

/// Rules for the set of members: lookup, majority and which changes are allowed.

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "consensus/Messages.h"

namespace fernlift::consensus
{

[[nodiscard]] std::string encodeMembers (const MemberSet& members);
/// Inverse of encodeMembers; an empty set for bytes that are none, which no leader writes.
[[nodiscard]] MemberSet decodeMembers (const std::string& data);

/// The member with this id; nullptr if there is none.
[[nodiscard]] const Member* findMember (const MemberSet& members, MemberId id);
[[nodiscard]] bool isVoter (const MemberSet& members, MemberId id);
[[nodiscard]] std::size_t voterCount (const MemberSet& members);

enum class MembershipStep : std::uint8_t
{
    kAddLearner,
    kPromote,
    kRemove
};

/// What a change does, and to which member.
struct MembershipChange
{
    MembershipStep step = MembershipStep::kAddLearner;
    MemberId member = 0;
};

/// The one step that leads from `before` to `after`; kMembershipChangeRefused when it is not
/// exactly one allowed step, or would leave no voter.
[[nodiscard]] base::Result<MembershipChange> classifyChange (const MemberSet& before,
                                                             const MemberSet& after);

/// The greatest value that a majority of the voters has reached. `valueOf(id)` gives each voter's.
template <class Value, class ValueOf>
[[nodiscard]] Value majorityValue (const MemberSet& members, Value none, ValueOf&& valueOf)
{
    std::vector<Value> values;
    for (const Member& member : members.members)
    {
        if (member.isVoter)
            values.push_back (valueOf (member.id));
    }
    if (values.empty())
        return none;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t> (values.size() / 2);
    std::nth_element (values.begin(), middle, values.end(), std::greater<>());
    return *middle;
}

}  // namespace fernlift::consensus
