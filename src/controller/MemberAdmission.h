#pragma once

/// Membership changes that the leader makes without an operator: controllers that request to join
/// are added as learners and become voters, members that were replaced or are lost are removed.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "consensus/RaftNode.h"

namespace fernlift::controller
{

/// Decides the next membership change; the caller proposes it. Has no clock. One object per term of
/// leadership.
class MemberAdmission
{
public:
    /// Records that a controller requested to become a voter. A founding controller increases the
    /// target size of the cell; any other replaces a lost member.
    void onJoinRequest (const consensus::Member& member, bool isFounding, base::TimePoint now);

    /// The member set to propose next; nothing when no change is due. `status` is the leader's.
    ///  - A caught-up learner becomes a voter.
    ///  - A silent voter is removed when an alive voter has its address, since its disk was lost.
    ///  - A silent voter is removed when there are more voters than the target size, since one of
    ///    them is its successor. The voter that has been silent longest is removed first.
    ///  - A silent learner is removed.
    ///  - A controller that requested to join becomes a learner.
    [[nodiscard]] std::optional<consensus::MemberSet> nextChange (
        const consensus::RaftStatus& status, base::TimePoint now);

private:
    struct Candidate
    {
        consensus::Member member;
        bool isFounding = false;
        base::TimePoint requestedAt{};
    };

    std::map<base::MemberId, Candidate> m_candidates;
};

}  // namespace fernlift::controller
