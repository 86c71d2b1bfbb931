#include "consensus/Membership.h"

#include <map>

#include "wire/Codec.h"

namespace fernlift::consensus
{
namespace
{

boost::leaf::error_id refuse (std::string message)
{
    return base::fail (base::ErrorKind::kMembershipChangeRefused, std::move (message));
}

std::string nameOf (MemberId id) { return "member " + std::to_string (id); }

base::Result<MembershipChange> classifyDifference (const Member* before, const Member* after)
{
    if (before == nullptr)
    {
        if (after->isVoter)
            return refuse (nameOf (after->id) + " must join as a learner first");
        return MembershipChange{ MembershipStep::kAddLearner, after->id };
    }
    if (after == nullptr)
        return MembershipChange{ MembershipStep::kRemove, before->id };
    Member promoted = *before;
    promoted.isVoter = true;
    if (before->isVoter || promoted != *after)
    {
        return refuse (nameOf (before->id) + " can only be promoted or removed");
    }
    return MembershipChange{ MembershipStep::kPromote, before->id };
}

}  // namespace

std::string encodeMembers (const MemberSet& members) { return wire::encodeValue (members); }

MemberSet decodeMembers (const std::string& data)
{
    return base::handleErrors ([&] { return wire::decodeValue<MemberSet> (data); },
                               [] (const base::Error&) { return MemberSet{}; });
}

const Member* findMember (const MemberSet& members, MemberId id)
{
    for (const Member& member : members.members)
    {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

bool isVoter (const MemberSet& members, MemberId id)
{
    const Member* member = findMember (members, id);
    return member != nullptr && member->isVoter;
}

std::size_t voterCount (const MemberSet& members)
{
    std::size_t count = 0;
    for (const Member& member : members.members)
    {
        if (member.isVoter)
            ++count;
    }
    return count;
}

base::Result<MembershipChange> classifyChange (const MemberSet& before, const MemberSet& after)
{
    if (voterCount (after) == 0)
        return refuse ("the change would leave no voter");
    std::map<MemberId, std::pair<const Member*, const Member*>> pairs;
    for (const Member& member : before.members)
        pairs[member.id].first = &member;
    for (const Member& member : after.members)
        pairs[member.id].second = &member;
    if (pairs.count (0) > 0)
        return refuse ("0 is not a valid member id");

    std::vector<std::pair<const Member*, const Member*>> differences;
    for (const auto& [id, pair] : pairs)
    {
        const auto [old, fresh] = pair;
        if (old == nullptr || fresh == nullptr || *old != *fresh)
            differences.push_back (pair);
    }
    if (differences.size() != 1)
        return refuse ("a change must add, promote or remove exactly one member");
    return classifyDifference (differences.front().first, differences.front().second);
}

}  // namespace fernlift::consensus
