#include "sim/FaultPlan.h"

#include <algorithm>
#include <string>
#include <utility>

#include "sim/ApplicationNode.h"
#include "sim/Callers.h"
#include "sim/EngineNode.h"
#include "sim/Operators.h"
#include "sim/Platform.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kSlowSync = base::milliseconds (120);
constexpr base::Duration kUsualSync = base::microseconds (1500);
constexpr base::Duration kUsualLag = base::seconds (1);

}  // namespace

void FaultPlan::begin (base::TimePoint end) { scheduleNext (end); }

void FaultPlan::scheduleNext (base::TimePoint end)
{
    const auto mean = static_cast<double> (m_world.options.meanFaultInterval.count());
    const auto pause =
        base::Duration (static_cast<std::int64_t> (m_world.random.exponential (mean)));
    m_world.queue.after (pause,
                         [this, end]
                         {
                             if (m_world.now() >= end || m_isOver)
                                 return;
                             const FaultKind kind = drawKind();
                             if (inject (kind))
                             {
                                 m_world.addToTrace ("fault: " + std::string (toString (kind)));
                                 ++m_counts[static_cast<std::size_t> (kind)];
                             }
                             scheduleNext (end);
                         });
}

FaultKind FaultPlan::drawKind()
{
    if (m_world.options.onlyFault)
        return *m_world.options.onlyFault;
    return static_cast<FaultKind> (
        m_world.random.uniformInteger (0, static_cast<std::int64_t> (kFaultKinds) - 1));
}

base::Duration FaultPlan::draw (std::int64_t lowMilliseconds, std::int64_t highMilliseconds)
{
    return base::milliseconds (m_world.random.uniformInteger (lowMilliseconds, highMilliseconds));
}

base::Duration FaultPlan::drawDetectionDelay()
{
    return m_world.random.chance (0.4) ? draw (2000, 8000) : base::Duration::zero();
}

bool FaultPlan::inject (FaultKind kind)
{
    return injectControllerFault (kind) || injectNetworkFault (kind) || injectRouterFault (kind)
           || injectEngineFault (kind) || injectPlatformFault (kind);
}

bool FaultPlan::injectControllerFault (FaultKind kind)
{
    ControllerNode* leader = m_world.leader();
    const bool takesLeader = leader != nullptr && m_world.random.chance (0.5);
    ControllerNode& controller = takesLeader ? *leader : pick (m_world.controllers);
    switch (kind)
    {
        case FaultKind::kControllerKilled:
            return killController (controller);
        case FaultKind::kControllerFrozen:
            controller.freeze (draw (100, 5000));
            return controller.isFrozen();
        case FaultKind::kControllerStopped:
            controller.stopAndRestart();
            return true;
        case FaultKind::kAllControllersKilled:
            return killAllControllers();
        case FaultKind::kVoterKilled:
            return killVoters();
        case FaultKind::kDiskLost:
            return m_world.random.chance (0.5) ? loseDisk() : loseDiskBehindPartition();
        case FaultKind::kSlowDisk:
            controller.setDiskDelay (kSlowSync);
            m_world.queue.after (draw (500, 5000),
                                 [&controller] { controller.setDiskDelay (kUsualSync); });
            return true;
        case FaultKind::kClockStep:
            return stepClock();
        default:
            return false;
    }
}

void FaultPlan::killAndRestart (Process& process, base::Duration longestPause, const Action& start)
{
    process.kill (drawDetectionDelay());
    const auto pause =
        base::Duration (m_world.random.uniformInteger (20'000, longestPause.count()));
    m_world.queue.after (pause,
                         [&process, start, runNumber = process.runNumber()]
                         {
                             if (! process.isAlive() && process.runNumber() == runNumber)
                                 start();
                         });
}

bool FaultPlan::killController (ControllerNode& controller)
{
    if (! controller.isAlive())
        return false;
    killAndRestart (controller, base::seconds (4), [&controller] { controller.start(); });
    return true;
}

bool FaultPlan::killAllControllers()
{
    // Simulates a common power failure while log entries are being written and replicated.
    slowDisks (base::seconds (1));
    m_world.queue.after (draw (5, 40), [this] { m_world.operators->applyNext(); });
    m_world.queue.after (draw (20, 100),
                         [this]
                         {
                             for (const auto& controller : m_world.controllers)
                                 killController (*controller);
                         });
    return true;
}

void FaultPlan::slowDisks (base::Duration duration)
{
    for (const auto& controller : m_world.controllers)
        controller->setDiskDelay (kSlowSync);
    m_world.queue.after (duration,
                         [this]
                         {
                             for (const auto& controller : m_world.controllers)
                                 controller->setDiskDelay (kUsualSync);
                         });
}

bool FaultPlan::killVoters()
{
    ControllerNode* leader = m_world.leader();
    if (leader == nullptr)
        return false;
    m_votersDieUntil = m_world.now() + base::seconds (3);
    slowDisks (base::seconds (3));
    m_world.network.setConditions ({ 0.02, 0.05, draw (50, 400) });
    killController (*leader);
    m_world.queue.after (base::seconds (3), [this] { m_world.network.setConditions ({}); });
    return true;
}

void FaultPlan::onVote (ControllerNode& controller)
{
    if (m_isOver || m_world.now() >= m_votersDieUntil || ! m_world.random.chance (0.6))
        return;
    m_world.queue.after (base::milliseconds (1),
                         [this, &controller, runNumber = controller.runNumber()]
                         {
                             if (! controller.isAlive() || controller.runNumber() != runNumber)
                                 return;
                             controller.kill (base::Duration::zero());
                             m_world.queue.after (draw (2, 30),
                                                  [&controller, runNumber]
                                                  {
                                                      if (! controller.isAlive()
                                                          && controller.runNumber() == runNumber)
                                                          controller.start();
                                                  });
                         });
}

bool FaultPlan::loseDisk()
{
    ControllerNode& controller = pick (m_world.controllers);
    if (! controller.isAlive() || m_world.operators->isReplacing())
        return false;
    controller.kill (drawDetectionDelay());
    m_world.queue.after (draw (100, 2000),
                         [this, &controller, runNumber = controller.runNumber()]
                         {
                             if (! controller.isAlive() && controller.runNumber() == runNumber)
                                 restartAfterDiskLoss (controller);
                         });
    return true;
}

void FaultPlan::restartAfterDiskLoss (ControllerNode& controller)
{
    if (m_world.options.plantedFault != PlantedFault::kIdentityReused)
    {
        m_world.operators->replaceMember (controller);
        return;
    }
    controller.replaceDisk (controller.member());
    consensus::MemberSet members;
    for (const auto& member : m_world.controllers)
        members.members.push_back (member->asMember (true));
    controller.bootstrap (members);
    controller.start();
}

/// Cuts two members off so that they fall behind, erases the disk of a third, and then kills the
/// two members with the complete log. Committed entries must survive this.
bool FaultPlan::loseDiskBehindPartition()
{
    ControllerNode* leader = m_world.leader();
    if (leader == nullptr || m_world.operators->isReplacing())
        return false;
    std::vector<ControllerNode*> others;
    for (const auto& controller : m_world.controllers)
    {
        if (! controller->isAlive() || controller->isFrozen())
            return false;
        if (controller.get() != leader)
            others.push_back (controller.get());
    }
    for (std::size_t last = others.size() - 1; last > 0; --last)
    {
        const auto chosen = m_world.random.uniformInteger (0, static_cast<std::int64_t> (last));
        std::swap (others[last], others[static_cast<std::size_t> (chosen)]);
    }
    for (const auto& controller : m_world.controllers)
    {
        cutBothFor (others[0]->node(), controller->node(), base::milliseconds (1500));
        cutBothFor (others[1]->node(), controller->node(), base::milliseconds (1500));
    }
    m_world.operators->applyNext();
    ControllerNode* lost = others[2];
    m_world.queue.after (base::milliseconds (1400),
                         [this, lost]
                         {
                             if (! lost->isAlive() || m_isOver || m_world.operators->isReplacing())
                                 return;
                             lost->kill (base::Duration::zero());
                             restartAfterDiskLoss (*lost);
                         });
    m_world.queue.after (base::milliseconds (1450),
                         [this, leader, last = others[3]]
                         {
                             if (m_isOver)
                                 return;
                             killController (*leader);
                             killController (*last);
                         });
    return true;
}

bool FaultPlan::stepClock()
{
    const bool isLarge = m_world.random.chance (0.1);
    const std::int64_t longest = isLarge ? 7'200'000 : 120'000;
    const std::int64_t step = m_world.random.uniformInteger (-longest, longest);
    const bool isRouter = m_world.random.chance (0.5);
    Process& process = isRouter ? static_cast<Process&> (pick (m_world.routers))
                                : static_cast<Process&> (pick (m_world.controllers));
    process.clock().step (step);
    m_world.addToTrace (process.name() + ": clock steps by " + std::to_string (step) + " ms");
    return true;
}

bool FaultPlan::injectRouterFault (FaultKind kind)
{
    RouterNode& router = pick (m_world.routers);
    switch (kind)
    {
        case FaultKind::kRouterKilled:
            if (! router.isAlive())
                return false;
            killAndRestart (router, base::seconds (3), [&router] { router.start(); });
            return true;
        case FaultKind::kRouterFrozen:
            router.freeze (draw (100, 6000));
            return router.isFrozen();
        case FaultKind::kRouterStopped:
            router.stopAndRestart();
            return true;
        case FaultKind::kRouterCutOff:
        {
            const base::Duration duration = draw (300, 6000);
            const bool isOneWay = m_world.random.chance (0.4);
            for (const auto& controller : m_world.controllers)
            {
                cutFor (router.node(), controller->node(), duration);
                if (! isOneWay)
                    cutFor (controller->node(), router.node(), duration);
            }
            return true;
        }
        default:
            return false;
    }
}

bool FaultPlan::injectEngineFault (FaultKind kind)
{
    EngineNode& engine = pick (m_world.engines);
    switch (kind)
    {
        case FaultKind::kEngineKilled:
            if (! engine.isAlive())
                return false;
            killAndRestart (engine, base::seconds (3), [&engine] { engine.start(); });
            return true;
        case FaultKind::kEngineFrozen:
            engine.freeze (draw (300, 8000));
            return engine.isFrozen();
        case FaultKind::kEngineSilent:
        {
            standin::EngineFaults faults;
            faults.isSilent = true;
            engine.setFaults (faults);
            m_world.queue.after (draw (500, 6000), [&engine] { engine.setFaults ({}); });
            return true;
        }
        case FaultKind::kEngineMisbehaves:
            return makeEngineMisbehave (engine);
        case FaultKind::kEngineCutOff:
        {
            const base::Duration duration = draw (300, 8000);
            const bool isOneWay = m_world.random.chance (0.5);
            const bool fromRouters = m_world.random.chance (0.5);
            for (const auto& controller : m_world.controllers)
            {
                cutFor (engine.node(), controller->node(), duration);
                if (! isOneWay)
                    cutFor (controller->node(), engine.node(), duration);
            }
            for (const auto& router : m_world.routers)
            {
                if (fromRouters)
                    cutFor (engine.node(), router->node(), duration);
                if (fromRouters && ! isOneWay)
                    cutFor (router->node(), engine.node(), duration);
            }
            return true;
        }
        default:
            return false;
    }
}

bool FaultPlan::makeEngineMisbehave (EngineNode& engine)
{
    if (! engine.isAlive())
        return false;
    standin::EngineFaults faults;
    const auto fault = m_world.random.uniformInteger (0, 7);
    // Streams are short, so stream faults are set at all engines to affect some of them.
    const bool hitsAll = fault <= 2;
    switch (fault)
    {
        case 0:
            faults.repeatsChunks = true;
            break;
        case 1:
            faults.reordersChunks = true;
            break;
        case 2:
            faults.breakAfterTokens =
                static_cast<std::uint64_t> (m_world.random.uniformInteger (1, 6));
            break;
        case 3:
            faults.loadsToFail = 2;
            break;
        case 4:
            faults.loadSlowdown = 6;
            break;
        case 5:
            faults.diesDuringLoad = true;
            break;
        case 6:
            faults.refusesAll = true;
            break;
        default:
            faults.freezesReports = true;
            break;
    }
    for (const auto& other : m_world.engines)
    {
        if (! hitsAll && other.get() != &engine)
            continue;
        other->setFaults (faults);
        m_world.queue.after (draw (1000, 6000), [node = other.get()] { node->setFaults ({}); });
    }
    return true;
}

bool FaultPlan::makeApplicationMisbehave()
{
    ApplicationNode& application = pick (m_world.applications);
    if (! application.isAlive())
        return false;
    standin::ApplicationFaults faults;
    switch (m_world.random.uniformInteger (0, 3))
    {
        case 0:
            faults.closesAfterBody = true;
            break;
        case 1:
            faults.isSilent = true;
            break;
        case 2:
            faults.refusesAll = true;
            break;
        default:
            faults.slowdown = 30;
            break;
    }
    application.setFaults (faults);
    m_world.queue.after (draw (500, 5000), [&application] { application.setFaults ({}); });
    return true;
}

void FaultPlan::heal()
{
    m_isOver = true;
    m_world.addToTrace ("all faults end");
    m_world.network.healAll();
    m_world.platform->setLag (kUsualLag);
    m_world.platform->setWeightStoreFaults ({});
    for (const auto& controller : m_world.controllers)
    {
        controller->setDiskDelay (kUsualSync);
        if (! controller->isAlive())
            controller->start();
    }
    for (const auto& router : m_world.routers)
    {
        if (! router->isAlive())
            router->start();
    }
    for (const auto& engine : m_world.engines)
    {
        engine->setFaults ({});
        if (! engine->isAlive())
            engine->start();
    }
    for (const auto& application : m_world.applications)
    {
        application->setFaults ({});
        if (! application->isAlive())
            application->start();
    }
}

}  // namespace fernlift::sim
