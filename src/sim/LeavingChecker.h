#pragma once

/// Nothing new goes to a back end that is leaving:
/// - the leader that sees a sign (machine list, report, or a router's word) has it committed within
///   a second if it goes on leading;
/// - two seconds after that is committed no router that holds a lease sends a new attempt there,
/// for
///   the lease has been renewed since, and with it the router's table (a router without one only
///   finishes what it has, and may be refused there);
/// - a router that saw the sign itself sends nothing more from then on.

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
    void onRouterSaw (RouterNode& router, const cell::RoutableReplica& replica);
    void onDispatch (RouterNode& router, const cell::RoutableReplica& replica);

    [[nodiscard]] std::size_t leftCount() const { return m_committedAt.size(); }

private:
    using RunnerLife = std::pair<base::RunnerId, base::Incarnation>;

    void onSign (ControllerNode& controller, const RunnerLife& runner);

    World& m_world;
    std::set<RunnerLife> m_awaited;  ///< A leader saw the sign; the commit is being watched.
    std::map<RunnerLife, base::TimePoint> m_committedAt;
    std::set<std::tuple<std::string, std::uint64_t, RunnerLife>> m_seenByRouter;
};

}  // namespace fernlift::sim
