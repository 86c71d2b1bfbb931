#pragma once

/// Decides which change of the members the leader makes by itself: members that ask are taken in as
/// learners and become voters, members that were replaced or are lost are removed.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "consensus/RaftNode.h"

namespace fernlift::controller
{

/// Lives as long as one term of leadership. Pure; the caller proposes what it returns.
class MemberAdmission
{
public:
    /// Notes that a controller asked to become a voter. One that founds the cell with the others
    /// adds to its size; any other takes the place of a member that is lost.
    void onJoinRequest (const consensus::Member& member, bool isFounding, base::TimePoint now);

    /// The member set to propose next; nothing when no change is due. `status` is the leader's.
    ///  - A caught-up learner becomes a voter.
    ///  - A silent voter is removed when a voter that answers has its address (its disk was lost),
    ///  or
    ///    when there are more voters than the cell should have: its successor is among them. The
    ///    one that was silent longest goes first.
    ///  - A silent learner is removed.
    ///  - A controller that asked becomes a learner.
    [[nodiscard]] std::optional<consensus::MemberSet> nextChange (
        const consensus::RaftStatus& status, base::TimePoint now);

private:
    struct Candidate
    {
        consensus::Member member;
        bool isFounding = false;
        base::TimePoint askedAt{};
    };

    std::map<base::MemberId, Candidate> m_candidates;
};

}  // namespace fernlift::controller
