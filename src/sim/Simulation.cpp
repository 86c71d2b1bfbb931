#include "sim/Simulation.h"

#include <array>

#include "sim/ApplicationNode.h"
#include "sim/ConfigurationChecker.h"
#include "sim/ConsensusChecker.h"
#include "sim/EngineNode.h"
#include "sim/LeavingChecker.h"
#include "sim/Operators.h"
#include "sim/Platform.h"
#include "sim/ReplicaChecker.h"

namespace fernlift::sim
{
namespace
{

/// Most runners are small, so that memory is scarce and loads compete for it.
constexpr std::array<engine::Megabytes, 6> kRunnerMemory = { 80'000, 24'000, 24'000,
                                                             24'000, 24'000, 24'000 };
constexpr base::Duration kCallersAfterFaults = base::seconds (5);
constexpr base::Duration kLastApplyAfterFaults = base::seconds (12);
constexpr base::Duration kProbesAfterApply = base::seconds (2);
constexpr base::Duration kHour = base::seconds (3600);

engine::Machine machineOf (std::size_t node, std::size_t number, engine::MachineRole role)
{
    const bool isModel = role == engine::MachineRole::kModelRunner;
    engine::Machine machine;
    machine.runner =
        base::RunnerId ((isModel ? "engine-" : "application-") + std::to_string (number));
    machine.role = role;
    machine.zone = base::ZoneName ("z" + std::to_string (number % 3 + 1));
    machine.address = "127.3.0." + std::to_string (node) + ":9000";
    machine.memory = isModel ? kRunnerMemory.at (number % kRunnerMemory.size()) : 0;
    machine.accelerators = isModel ? 1 : 0;
    if (! isModel)
    {
        machine.applications = { base::ApplicationName ("portal"),
                                 base::ApplicationName ("lookup") };
    }
    return machine;
}

void addBackEnds (World& world, NodeId& node)
{
    const SimulationOptions& options = world.options;
    for (std::size_t number = 1; number <= options.engines; ++number, ++node)
    {
        world.engines.push_back (std::make_unique<EngineNode> (
            world, node, machineOf (node, number, engine::MachineRole::kModelRunner)));
        const auto& engine = world.engines.back();
        world.backEndsByAddress[engine->machine().address] = engine.get();
    }
    for (std::size_t number = 1; number <= options.applications; ++number, ++node)
    {
        world.applications.push_back (std::make_unique<ApplicationNode> (
            world, node, machineOf (node, number, engine::MachineRole::kApplicationRunner)));
        const auto& application = world.applications.back();
        world.backEndsByAddress[application->machine().address] = application.get();
    }
}

void build (World& world)
{
    const SimulationOptions& options = world.options;
    world.consensus = std::make_unique<ConsensusChecker> (world);
    world.replicas = std::make_unique<ReplicaChecker> (world);
    world.configuration = std::make_unique<ConfigurationChecker> (world);
    world.leaving = std::make_unique<LeavingChecker> (world);
    world.callers = std::make_unique<Callers> (world);
    world.faults = std::make_unique<FaultPlan> (world);
    NodeId node = 0;
    for (; node < options.controllers; ++node)
    {
        world.controllers.push_back (std::make_unique<ControllerNode> (world, node, node + 1));
        const auto& controller = world.controllers.back();
        world.controllersByAddress[controller->address()] = controller.get();
    }
    for (std::size_t number = 0; number < options.routers; ++number, ++node)
    {
        world.routers.push_back (std::make_unique<RouterNode> (world, node, number));
    }
    addBackEnds (world, node);
    engine::MachineList machines;
    for (const auto& engine : world.engines)
        machines.machines.push_back (engine->machine());
    for (const auto& backEnd : world.applications)
        machines.machines.push_back (backEnd->machine());
    world.platform = std::make_unique<Platform> (world, node++, machines);
    world.operators = std::make_unique<Operators> (world, node);
}

void start (World& world)
{
    consensus::MemberSet members;
    for (const auto& controller : world.controllers)
    {
        members.members.push_back (controller->asMember (true));
    }
    for (const auto& controller : world.controllers)
    {
        controller->bootstrap (members);
        controller->start();
    }
    for (const auto& engine : world.engines)
        engine->start();
    for (const auto& application : world.applications)
        application->start();
    for (const auto& router : world.routers)
        router->start();
}

void runFor (World& world, base::Duration duration)
{
    world.queue.runUntil (world.now() + duration);
}

/// Drops all traffic between the leader and everything but its operators; the other members elect a
/// new leader.
void cutLeaderOffForAnHour (World& world)
{
    const ControllerNode* leader = world.leader();
    if (leader == nullptr)
        return;
    world.addToTrace ("the leader is cut off for an hour");
    const NodeId last = world.operators->node();
    for (NodeId node = 0; node < last; ++node)
    {
        if (node == leader->node())
            continue;
        world.network.cut (leader->node(), node);
        world.network.cut (node, leader->node());
    }
    runFor (world, kHour);
    world.network.healAll();
    runFor (world, base::seconds (10));
}

SimulationReport reportOf (const World& world)
{
    SimulationReport report;
    report.seed = world.options.seed;
    report.violations = world.violations.list();
    report.trace = world.trace.lines();
    report.digest = world.trace.digest();
    report.faults = world.faults->counts();
    report.requests = world.callers->totals();
    report.events = world.queue.executed();
    report.committedEntries = world.consensus->committedIndex();
    report.terms = world.consensus->terms();
    report.loads = world.replicas->loads();
    report.appliesAnswered = world.operators->appliesAnswered();
    report.readsAnswered = world.operators->readsAnswered();
    report.membersReplaced = world.operators->membersReplaced();
    report.backEndsLeft = world.leaving->leftCount();
    return report;
}

}  // namespace

SimulationReport simulate (const SimulationOptions& options)
{
    World world (options);
    build (world);
    start (world);
    const base::TimePoint faultsEnd = world.now() + options.quiet + options.faultPeriod;
    const base::Duration hour = options.hasHourCut ? kHour : base::Duration::zero();
    world.operators->begin (faultsEnd + hour);
    runFor (world, options.quiet);
    world.callers->begin (faultsEnd + kCallersAfterFaults + hour);
    if (options.hasFaults)
        world.faults->begin (faultsEnd);
    runFor (world, options.faultPeriod);
    world.faults->heal();
    if (options.hasHourCut)
        cutLeaderOffForAnHour (world);
    runFor (world, kLastApplyAfterFaults);
    world.operators->applyNext();
    runFor (world, kProbesAfterApply);
    world.callers->sendProbes();
    runFor (world, options.recovery - kLastApplyAfterFaults - kProbesAfterApply);
    world.consensus->checkEnd();
    world.configuration->checkEnd();
    world.callers->checkEnd();
    SimulationReport report = reportOf (world);
    return report;
}

}  // namespace fernlift::sim
