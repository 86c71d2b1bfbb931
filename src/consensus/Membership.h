#pragma once

/// Pure functions on the set of members: encoding, lookup, majority and the allowed changes.

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
/// Inverse of encodeMembers. Returns an empty set for bytes that cannot be decoded; no leader
/// writes such bytes.
[[nodiscard]] MemberSet decodeMembers (const std::string& data);

/// Returns the member with this id; nullptr if there is none.
[[nodiscard]] const Member* findMember (const MemberSet& members, MemberId id);
[[nodiscard]] bool isVoter (const MemberSet& members, MemberId id);
[[nodiscard]] std::size_t voterCount (const MemberSet& members);

enum class MembershipStep : std::uint8_t
{
    kAddLearner,
    kPromote,
    kRemove
};

/// One change of the members and the member that it concerns.
struct MembershipChange
{
    MembershipStep step = MembershipStep::kAddLearner;
    MemberId member = 0;
};

/// Returns the single step that leads from `before` to `after`. Fails with kMembershipChangeRefused
/// when they differ by anything but one allowed step, or when no voter would be left.
[[nodiscard]] base::Result<MembershipChange> classifyChange (const MemberSet& before,
                                                             const MemberSet& after);

/// Returns the greatest value that a majority of the voters has reached, `none` without voters.
/// `valueOf(id)` returns the value of one voter.
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
