#pragma once

/// Checks that no new attempts are sent to a back end that is leaving:
/// - A leader that is notified of it by the machine list or a report commits the change within one
///   second if it remains leader.
/// - Two seconds after the commit, no router that holds a lease sends a new attempt there, because
///   the lease, and with it the router's replica table, has been renewed since. A router without a
///   lease only finishes the requests that it has, and the back end may refuse them.
/// - A router that was notified by the back end itself sends no further attempts there.

#include <map>
#include <set>
#include <string>
#include <utility>

#include "cell/Commands.h"
#include "cell/RouterMessages.h"
#include "engine/EngineApi.h"
#include "sim/World.h"

namespace fernlift::sim
{

class LeavingChecker
{
public:
    explicit LeavingChecker (World& world) : m_world (world) {}

    void onReport (ControllerNode& controller, const engine::Report& report);
    void onMachineList (ControllerNode& controller, const engine::MachineList& list);
    void onCommitted (const cell::Command& command);
    void onRouterLeavingReport (RouterNode& router, const cell::RoutableReplica& replica);
    void onDispatch (RouterNode& router, const cell::RoutableReplica& replica);

    [[nodiscard]] std::size_t leftCount() const { return m_committedAt.size(); }

private:
    using RunnerIncarnation = std::pair<base::RunnerId, base::Incarnation>;

    void onLeavingReport (ControllerNode& controller, const RunnerIncarnation& runner);

    World& m_world;
    std::set<RunnerIncarnation> m_awaitingCommit;  ///< Reported to a leader.
    std::map<RunnerIncarnation, base::TimePoint> m_committedAt;
    std::set<std::tuple<std::string, std::uint64_t, RunnerIncarnation>> m_reportedByRouter;
};

}  // namespace fernlift::sim
