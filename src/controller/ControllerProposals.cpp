/**
 * Proposals of the leader: which purpose is recorded for each until it is committed, and what
 * follows the commit. Commits about configurations, instances and members are handled in the files
 * of these duties.
 */

#include <utility>

#include "cell/CommandCodec.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

bool ControllerCore::Implementation::propose (const cell::Command& command, Purpose purpose)
{
    const base::LogIndex index =
        base::handleErrors ([&]() -> base::Result<base::LogIndex>
                            { return m_raft.propose (cell::encodeCommand (command), m_now); },
                            [] (const base::Error&) { return base::LogIndex{ 0 }; });
    if (index == 0)
        return false;
    ++m_counters.proposals;
    m_leader->proposals.emplace (index, std::move (purpose));
    return true;
}

void ControllerCore::Implementation::finishProposal (const consensus::Entry& entry,
                                                     const cell::ApplyResult& result)
{
    const auto found = m_leader->proposals.find (entry.index);
    if (found == m_leader->proposals.end())
        return;
    const Purpose purpose = std::move (found->second);
    m_leader->proposals.erase (found);
    if (entry.term != m_leader->term)
        return;
    std::visit ([&] (const auto& value) { finish (value, entry.index, result); }, purpose);
}

void ControllerCore::Implementation::finish (const ForPlacement& /*purpose*/, base::LogIndex index,
                                             const cell::ApplyResult& result)
{
    --m_leader->placementProposals;
    const auto* load = std::get_if<cell::LoadResult> (&result);
    const auto* unload = std::get_if<cell::UnloadResult> (&result);
    const bool isGranted = (load != nullptr && load->refusal == cell::LoadRefusal::kNone)
                           || (unload != nullptr && unload->refusal == cell::UnloadRefusal::kNone);
    if (! isGranted)
        return;
    m_leader->isPlacementDue = true;
    if (load != nullptr)
    {
        m_leader->ordersDue.insert (m_state.replicas().findReplica (index)->runner);
    }
    else
    {
        // The replica that is unloaded has this log index as its fence.
        for (const auto& [id, replica] : m_state.replicas().replicas())
        {
            if (replica.fence == index)
                m_leader->ordersDue.insert (replica.runner);
        }
    }
}

void ControllerCore::Implementation::finish (const ForApply& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& outcome = std::get<cell::ConfigurationResult> (result);
    m_leader->isPlacementDue = true;
    const bool isAccepted = outcome.outcome == cell::ConfigurationOutcome::kAccepted
                            || outcome.outcome == cell::ConfigurationOutcome::kUnchanged;
    if (purpose.waitInForce && isAccepted)
    {
        m_leader->pendingApplies.push_back ({ purpose.ticket, outcome, purpose.deadline });
    }
    else
    {
        answer (purpose.ticket, configurationAnswer (outcome, std::nullopt));
    }
}

void ControllerCore::Implementation::finish (const ForDrain& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    m_leader->isPlacementDue = true;
    answer (purpose.ticket, doneAnswer());
}

void ControllerCore::Implementation::finish (const ForMembers& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    answer (purpose.ticket, doneAnswer());
}

void ControllerCore::Implementation::finish (const ForClaims& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& claims = std::get<cell::ClaimResult> (result);
    for (DueClaimReply& due : m_leader->claims.onCommitted (purpose.batch, claims))
    {
        if (m_leader->sessions.find (due.source) != nullptr)
        {
            sendToRouter (due.source, std::move (due.reply));
        }
    }
}

void ControllerCore::Implementation::finish (const ForReplica& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    m_leader->busyReplicas.erase (purpose.replica);
    m_leader->isPlacementDue = true;
    const cell::Replica* replica = m_state.replicas().findReplica (purpose.replica);
    if (replica == nullptr)
    {
        m_leader->lastUse.erase (purpose.replica);
    }
    else
    {
        m_leader->ordersDue.insert (replica->runner);
    }
}

void ControllerCore::Implementation::finish (const ForRunner& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    m_leader->busyRunners.erase (purpose.runner);
    m_leader->isPlacementDue = true;
    if (m_state.replicas().findRunner (purpose.runner) != nullptr)
    {
        m_leader->ordersDue.insert (purpose.runner);
    }
}

void ControllerCore::Implementation::finish (const ForOrphan& purpose, base::LogIndex index,
                                             const cell::ApplyResult& /*result*/)
{
    const OrphanedReplica& orphan = purpose.orphan;
    const std::pair key (orphan.runner, orphan.report.replica);
    m_leader->busyOrphans.erase (key);
    m_leader->orphanUnloadDelays[key] = m_now + m_options.orderTimeout;
    engine::Order order;
    order.kind = orphan.report.adapter.empty() ? engine::OrderKind::kUnloadModel
                                               : engine::OrderKind::kUnloadAdapter;
    order.fence = index;
    order.incarnation = orphan.incarnation;
    order.replica = orphan.report.replica;
    order.model = orphan.report.model;
    order.version = orphan.report.version;
    order.adapter = orphan.report.adapter;
    order.memory = orphan.report.memory;
    m_leader->orders.addOrphan (orphan.runner, order);
    m_leader->ordersDue.insert (orphan.runner);
}

void ControllerCore::Implementation::finish (const ForNothing& /*purpose*/,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
}

}  // namespace fernlift::controller
