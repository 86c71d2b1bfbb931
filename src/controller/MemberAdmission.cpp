#include "controller/MemberAdmission.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// A member that replied within this time counts as alive.
constexpr base::Duration kAliveTimeout = base::milliseconds (1000);
/// Time for which a request to join stays valid.
constexpr base::Duration kJoinRequestLifetime = base::seconds (3);
constexpr base::Duration kLearnerSilenceTimeout = base::seconds (5);

consensus::MemberSet without (const consensus::MemberSet& members, base::MemberId id)
{
    consensus::MemberSet changed = members;
    std::erase_if (changed.members,
                   [&] (const consensus::Member& member) { return member.id == id; });
    return changed;
}

consensus::MemberSet withVoter (const consensus::MemberSet& members, base::MemberId id)
{
    consensus::MemberSet changed = members;
    for (consensus::Member& member : changed.members)
    {
        if (member.id == id)
            member.isVoter = true;
    }
    return changed;
}

/// Liveness of the members according to their replies to the leader.
class Liveness
{
public:
    explicit Liveness (const consensus::RaftStatus& status) : m_status (status) {}

    [[nodiscard]] base::Duration silenceOf (base::MemberId id) const
    {
        for (const consensus::MemberProgress& progress : m_status.progress)
        {
            if (progress.member.id == id)
                return progress.sinceLastReply;
        }
        return base::Duration::zero();  // The leader itself.
    }

    [[nodiscard]] bool isAlive (base::MemberId id) const { return silenceOf (id) < kAliveTimeout; }

    /// The silent voter to remove; null when none has a successor.
    [[nodiscard]] const consensus::Member* replacedVoter() const
    {
        const consensus::Member* replaced = nullptr;
        std::size_t voters = 0;
        for (const consensus::Member& member : m_status.members.members)
        {
            if (! member.isVoter)
                continue;
            ++voters;
            if (isAlive (member.id))
                continue;
            if (isReplaced (member))
                return &member;
            if (replaced == nullptr || silenceOf (member.id) > silenceOf (replaced->id))
            {
                replaced = &member;
            }
        }
        return voters > m_status.members.targetSize ? replaced : nullptr;
    }

private:
    /// Whether an alive voter has the address of this one.
    [[nodiscard]] bool isReplaced (const consensus::Member& member) const
    {
        return std::ranges::any_of (m_status.members.members,
                                    [&] (const consensus::Member& other)
                                    {
                                        return other.id != member.id && other.isVoter
                                               && other.peerAddress == member.peerAddress
                                               && isAlive (other.id);
                                    });
    }

    const consensus::RaftStatus& m_status;
};

bool hasCaughtUp (const consensus::RaftStatus& status, base::MemberId id)
{
    for (const consensus::MemberProgress& progress : status.progress)
    {
        if (progress.member.id != id)
            continue;
        return ! progress.isReceivingSnapshot && progress.matchIndex >= status.commitIndex;
    }
    return false;
}

}  // namespace

void MemberAdmission::onJoinRequest (const consensus::Member& member, bool isFounding,
                                     base::TimePoint now)
{
    m_candidates[member.id] = { member, isFounding, now };
}

std::optional<consensus::MemberSet> MemberAdmission::nextChange (
    const consensus::RaftStatus& status, base::TimePoint now)
{
    std::erase_if (m_candidates, [&] (const auto& item)
                   { return now - item.second.requestedAt > kJoinRequestLifetime; });
    const Liveness liveness (status);
    const consensus::MemberSet& members = status.members;
    for (const consensus::Member& member : members.members)
    {
        const bool isReady =
            ! member.isVoter && liveness.isAlive (member.id) && hasCaughtUp (status, member.id);
        if (isReady)
            return withVoter (members, member.id);
    }
    if (const consensus::Member* replaced = liveness.replacedVoter())
    {
        return without (members, replaced->id);
    }
    for (const consensus::Member& member : members.members)
    {
        const bool isLost =
            ! member.isVoter && liveness.silenceOf (member.id) >= kLearnerSilenceTimeout;
        if (isLost)
            return without (members, member.id);
    }
    for (const auto& item : m_candidates)
    {
        const Candidate& candidate = item.second;
        const bool isKnown =
            std::ranges::any_of (members.members, [&] (const consensus::Member& member)
                                 { return member.id == candidate.member.id; });
        if (isKnown)
            continue;
        consensus::MemberSet changed = members;
        changed.members.push_back (candidate.member);
        changed.members.back().isVoter = false;
        if (candidate.isFounding)
            ++changed.targetSize;
        std::ranges::sort (changed.members, {}, &consensus::Member::id);
        return changed;
    }
    return std::nullopt;
}

}  // namespace fernlift::controller
