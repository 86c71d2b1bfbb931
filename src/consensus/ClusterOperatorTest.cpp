// Callers and the operator of a simulated cluster, and its liveness check.

#include <algorithm>

#include "consensus/ClusterSimulation.h"
#include "consensus/Membership.h"

namespace fernlift::consensus
{
namespace
{

using base::Duration;
using base::milliseconds;

constexpr Duration kOperatorInterval = milliseconds (80);
constexpr std::int64_t kMeanProposalMilliseconds = 40;
constexpr int kOperatorSteps = 3;  ///< Steps tried in immediate succession.

MemberSet withoutMember (MemberSet members, MemberId id)
{
    std::erase_if (members.members, [id] (const Member& member) { return member.id == id; });
    return members;
}

}  // namespace

void ClusterSimulation::proposeForever()
{
    after (randomDuration (1, 2 * kMeanProposalMilliseconds), [this] { proposeForever(); });
    // A caller may reach any member that considers itself leader, and reads there while the member
    // holds its lease.
    for (auto& item : m_processes)
    {
        Process& process = item.second;
        if (! process.node || process.isFrozen)
            continue;
        if (process.node->holdsLease (clockOf (process)))
        {
            count ("lease reads");
            m_invariants.onLeaseRead (process.id, process.state.lastIndex);
        }
        if (m_now < m_proposalsPausedUntil)
            continue;
        const std::string data = "command " + std::to_string (++m_commandCount);
        const Term term = process.node->status (clockOf (process)).term;
        const LogIndex index =
            base::handleErrors ([&]() -> base::Result<LogIndex>
                                { return process.node->propose (data, clockOf (process)); },
                                [] (const base::Error&) { return LogIndex{ 0 }; });
        if (index == 0)
            continue;
        process.proposals[index] = term;
        drain (process);
    }
}

ClusterSimulation::Process* ClusterSimulation::findLeader()
{
    std::vector<Process*> leaders;
    for (auto& [id, process] : m_processes)
    {
        if (! process.node || process.isFrozen)
            continue;
        if (process.node->status (clockOf (process)).role == Role::kLeader)
            leaders.push_back (&process);
    }
    if (leaders.empty())
        return nullptr;
    const auto last = static_cast<std::int64_t> (leaders.size()) - 1;
    return leaders[static_cast<std::size_t> (m_random.uniformInteger (0, last))];
}

ClusterSimulation::Process* ClusterSimulation::randomProcess()
{
    std::vector<Process*> running;
    for (auto& [id, process] : m_processes)
    {
        if (process.node)
            running.push_back (&process);
    }
    if (running.empty())
        return nullptr;
    const auto last = static_cast<std::int64_t> (running.size()) - 1;
    return running[static_cast<std::size_t> (m_random.uniformInteger (0, last))];
}

void ClusterSimulation::operateForever()
{
    after (kOperatorInterval, [this] { operateForever(); });
    Process* leader = findLeader();
    if (leader != nullptr)
        operate (*leader);
}

void ClusterSimulation::operate (Process& leader)
{
    int accepted = 0;
    for (int step = 0; step < kOperatorSteps; ++step)
    {
        if (proposeOperatorStep (leader))
            ++accepted;
    }
    if (accepted > 0)
    {
        count ("membership changes");
        trace (leader, "changes the members");
    }
    drain (leader);
    const bool isUnlucky = accepted > 0 && ! m_isHealing && m_random.chance (0.3);
    if (isUnlucky)
        isolateWithMinority (leader.id);
    const RaftStatus status = leader.node->status (clockOf (leader));
    std::set<MemberId> voters;
    for (const Member& member : status.members.members)
    {
        if (member.isVoter)
            voters.insert (member.id);
    }
    const bool isSettled = voters == m_desired && status.commitIndex == status.lastIndex
                           && leader.node->holdsLease (clockOf (leader));
    if (isSettled)
        m_isReconfigured = true;
    if (isSettled && m_isLossDue && ! m_isHealing)
        loseDisk();
}

/// Proposes changes towards `m_desired` until one is accepted; returns whether one was. New voters
/// are added before others are removed.
bool ClusterSimulation::proposeOperatorStep (Process& leader)
{
    const MemberSet members = leader.node->status (clockOf (leader)).members;
    std::vector<MemberSet> candidates;
    for (const MemberId id : m_desired)
    {
        MemberSet changed = members;
        const Member* present = findMember (members, id);
        if (present == nullptr)
            changed.members.push_back (memberOf (id, false));
        if (present != nullptr && present->isVoter)
            continue;
        for (Member& member : changed.members)
            member.isVoter |= present != nullptr && member.id == id;
        candidates.push_back (std::move (changed));
    }
    const bool isComplete = candidates.empty();
    for (const Member& member : members.members)
    {
        if (! isComplete || m_desired.contains (member.id))
            continue;
        candidates.push_back (withoutMember (members, member.id));
    }
    for (MemberSet& candidate : candidates)
    {
        const bool isAccepted = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                BOOST_LEAF_CHECK (leader.node->proposeMembers (candidate, clockOf (leader)));
                return true;
            },
            [] (const base::Error&) { return false; });
        if (isAccepted)
            return true;
    }
    return false;
}

/// Checks that, after all faults have ended, every member of `m_desired` follows the same leader
/// and has applied nearly all committed entries, and that the leader holds its lease.
void ClusterSimulation::checkLiveness()
{
    if (! m_isReconfigured)
    {
        m_invariants.fail ("liveness", 0, "the operator's change of members was not carried out");
        return;
    }
    constexpr LogIndex kMaxLag = 30;
    MemberId leader = 0;
    for (const MemberId id : m_desired)
    {
        const Process& process = m_processes.at (id);
        const RaftStatus status = process.node->status (clockOf (process));
        if (leader == 0)
            leader = status.leader;
        const bool follows = status.leader != 0 && status.leader == leader;
        if (! follows || status.appliedIndex + kMaxLag < m_invariants.committedIndex())
        {
            m_invariants.fail ("liveness", id,
                               "follows " + std::to_string (status.leader) + ", applied "
                                   + std::to_string (status.appliedIndex) + " of "
                                   + std::to_string (m_invariants.committedIndex()));
        }
    }
    const Process& leading = m_processes.at (leader == 0 ? *m_desired.begin() : leader);
    if (leader == 0 || ! leading.node->holdsLease (clockOf (leading)))
    {
        m_invariants.fail ("liveness", leader, "no leader with a lease");
    }
}

}  // namespace fernlift::consensus
