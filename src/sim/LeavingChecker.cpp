#include "sim/LeavingChecker.h"

#include <utility>

#include "sim/ConsensusChecker.h"
#include "sim/ControllerNode.h"
#include "sim/RouterNode.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kCommitWithin = base::seconds (1);
/// Duration of a router's lease with allowance for clock drift.
constexpr base::Duration kKnownEverywhereWithin = base::milliseconds (2010);

constexpr const char* kInvariant = "nothing new to a leaving back end";

}  // namespace

void LeavingChecker::onReport (ControllerNode& controller, const engine::Report& report)
{
    if (report.isLeaving)
        onLeavingReport (controller, { report.runner, report.incarnation });
}

void LeavingChecker::onMachineList (ControllerNode& controller, const engine::MachineList& list)
{
    for (const engine::Machine& machine : list.machines)
    {
        if (machine.state != engine::MachineState::kLeaving)
            continue;
        const cell::Runner* known =
            m_world.consensus->state().replicas().findRunner (machine.runner);
        if (known != nullptr)
            onLeavingReport (controller, { machine.runner, known->incarnation });
    }
}

void LeavingChecker::onLeavingReport (ControllerNode& controller, const RunnerIncarnation& runner)
{
    const cell::Runner* known = m_world.consensus->state().replicas().findRunner (runner.first);
    const bool isCurrent = known != nullptr && known->incarnation == runner.second;
    if (! isCurrent || known->isLeaving || ! controller.leadsNow())
        return;
    if (! m_awaitingCommit.insert (runner).second)
        return;
    const base::Term term = controller.core().raftStatus().term;
    const base::Duration frozen = controller.frozenTime();
    m_world.queue.after (
        kCommitWithin,
        [this, runner, term, frozen, node = &controller]
        {
            m_awaitingCommit.erase (runner);
            const cell::Runner* now =
                m_world.consensus->state().replicas().findRunner (runner.first);
            const bool isDone =
                now == nullptr || now->incarnation != runner.second || now->isLeaving;
            const bool ledOn = node->leadsNow() && node->core().raftStatus().term == term
                               && node->frozenTime() == frozen;
            if (isDone || ! ledOn)
                return;
            m_world.violations.add (
                kInvariant, node->name() + " leads and was notified that " + runner.first.value
                                + " is leaving, but did not commit this within 1 s");
        });
}

void LeavingChecker::onCommitted (const cell::Command& command)
{
    const auto* observed = std::get_if<cell::ObserveRunner> (&command);
    if (observed == nullptr || ! observed->isLeaving)
        return;
    const RunnerIncarnation runner{ observed->machine.runner, observed->incarnation };
    if (m_committedAt.emplace (runner, m_world.now()).second)
    {
        m_world.addToTrace (runner.first.value + " is known to leave");
    }
}

void LeavingChecker::onRouterLeavingReport (RouterNode& router,
                                            const cell::RoutableReplica& replica)
{
    m_reportedByRouter.insert (
        { router.name(), router.runNumber(), { replica.runner, replica.incarnation } });
}

void LeavingChecker::onDispatch (RouterNode& router, const cell::RoutableReplica& replica)
{
    const RunnerIncarnation runner{ replica.runner, replica.incarnation };
    if (m_reportedByRouter.contains ({ router.name(), router.runNumber(), runner }))
    {
        m_world.violations.add (kInvariant,
                                router.name() + " sends to " + replica.runner.value
                                    + " although this back end notified it that it is leaving");
    }
    // A router without a lease admits no new requests and gets no updates for those it has.
    if (! router.core()->isReady())
        return;
    const auto committed = m_committedAt.find (runner);
    if (committed == m_committedAt.end())
        return;
    if (m_world.now() - committed->second <= kKnownEverywhereWithin)
        return;
    m_world.violations.add (kInvariant, router.name() + " sends to " + replica.runner.value
                                            + " too long after the commit that it is leaving");
}

}  // namespace fernlift::sim
