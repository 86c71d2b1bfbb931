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
    const auto mean = static_cast<double> (world_.options.meanFaultInterval.count());
    const auto pause =
        base::Duration (static_cast<std::int64_t> (world_.random.exponential (mean)));
    world_.queue.after (pause,
                        [this, end]
                        {
                            if (world_.now() >= end || isOver_)
                                return;
                            const FaultKind kind = drawKind();
                            if (bringAbout (kind))
                            {
                                world_.note ("fault: " + std::string (nameOf (kind)));
                                ++counts_[static_cast<std::size_t> (kind)];
                            }
                            scheduleNext (end);
                        });
}

FaultKind FaultPlan::drawKind()
{
    if (world_.options.onlyFault)
        return *world_.options.onlyFault;
    return static_cast<FaultKind> (
        world_.random.uniformInteger (0, static_cast<std::int64_t> (kFaultKinds) - 1));
}

base::Duration FaultPlan::draw (std::int64_t lowMilliseconds, std::int64_t highMilliseconds)
{
    return base::milliseconds (world_.random.uniformInteger (lowMilliseconds, highMilliseconds));
}

base::Duration FaultPlan::drawSilence()
{
    return world_.random.chance (0.4) ? draw (2000, 8000) : base::Duration::zero();
}

bool FaultPlan::bringAbout (FaultKind kind)
{
    return hitControllers (kind) || hitNetwork (kind) || hitRouter (kind) || hitEngine (kind)
           || hitPlatform (kind);
}

bool FaultPlan::hitControllers (FaultKind kind)
{
    ControllerNode* leader = world_.leader();
    const bool takesLeader = leader != nullptr && world_.random.chance (0.5);
    ControllerNode& controller = takesLeader ? *leader : pick (world_.controllers);
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
            return world_.random.chance (0.5) ? loseDisk() : loseDiskBehindPartition();
        case FaultKind::kSlowDisk:
            controller.setDiskDelay (kSlowSync);
            world_.queue.after (draw (500, 5000),
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
    process.kill (drawSilence());
    const auto pause = base::Duration (world_.random.uniformInteger (20'000, longestPause.count()));
    world_.queue.after (pause,
                        [&process, start, life = process.life()]
                        {
                            if (! process.isAlive() && process.life() == life)
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
    // Their machines lose power together, with entries on their way.
    slowDisks (base::seconds (1));
    world_.queue.after (draw (5, 40), [this] { world_.operators->applyNext(); });
    world_.queue.after (draw (20, 100),
                        [this]
                        {
                            for (const auto& controller : world_.controllers)
                                killController (*controller);
                        });
    return true;
}

void FaultPlan::slowDisks (base::Duration duration)
{
    for (const auto& controller : world_.controllers)
        controller->setDiskDelay (kSlowSync);
    world_.queue.after (duration,
                        [this]
                        {
                            for (const auto& controller : world_.controllers)
                                controller->setDiskDelay (kUsualSync);
                        });
}

bool FaultPlan::killVoters()
{
    ControllerNode* leader = world_.leader();
    if (leader == nullptr)
        return false;
    votersDieUntil_ = world_.now() + base::seconds (3);
    slowDisks (base::seconds (3));
    world_.network.setTurbulence ({ 0.02, 0.05, draw (50, 400) });
    killController (*leader);
    world_.queue.after (base::seconds (3), [this] { world_.network.setTurbulence ({}); });
    return true;
}

void FaultPlan::onVote (ControllerNode& controller)
{
    if (isOver_ || world_.now() >= votersDieUntil_ || ! world_.random.chance (0.6))
        return;
    world_.queue.after (base::milliseconds (1),
                        [this, &controller, life = controller.life()]
                        {
                            if (! controller.isAlive() || controller.life() != life)
                                return;
                            controller.kill (base::Duration::zero());
                            world_.queue.after (
                                draw (2, 30),
                                [&controller, life]
                                {
                                    if (! controller.isAlive() && controller.life() == life)
                                        controller.start();
                                });
                        });
}

bool FaultPlan::loseDisk()
{
    ControllerNode& controller = pick (world_.controllers);
    if (! controller.isAlive() || world_.operators->isReplacing())
        return false;
    controller.kill (drawSilence());
    world_.queue.after (draw (100, 2000),
                        [this, &controller, life = controller.life()]
                        {
                            if (! controller.isAlive() && controller.life() == life)
                                restartAfterDiskLoss (controller);
                        });
    return true;
}

void FaultPlan::restartAfterDiskLoss (ControllerNode& controller)
{
    if (world_.options.plantedFault != PlantedFault::kIdentityReused)
    {
        world_.operators->replaceMember (controller);
        return;
    }
    controller.replaceDisk (controller.member());
    consensus::MemberSet members;
    for (const auto& member : world_.controllers)
        members.members.push_back (member->asMember (true));
    controller.bootstrap (members);
    controller.start();
}

/// Two members fall behind, a third loses its disk, and then those that know everything go: what
/// was committed must outlive this.
bool FaultPlan::loseDiskBehindPartition()
{
    ControllerNode* leader = world_.leader();
    if (leader == nullptr || world_.operators->isReplacing())
        return false;
    std::vector<ControllerNode*> others;
    for (const auto& controller : world_.controllers)
    {
        if (! controller->isAlive() || controller->isFrozen())
            return false;
        if (controller.get() != leader)
            others.push_back (controller.get());
    }
    for (std::size_t last = others.size() - 1; last > 0; --last)
    {
        const auto chosen = world_.random.uniformInteger (0, static_cast<std::int64_t> (last));
        std::swap (others[last], others[static_cast<std::size_t> (chosen)]);
    }
    for (const auto& controller : world_.controllers)
    {
        cutBothFor (others[0]->node(), controller->node(), base::milliseconds (1500));
        cutBothFor (others[1]->node(), controller->node(), base::milliseconds (1500));
    }
    world_.operators->applyNext();
    ControllerNode* lost = others[2];
    world_.queue.after (base::milliseconds (1400),
                        [this, lost]
                        {
                            if (! lost->isAlive() || isOver_ || world_.operators->isReplacing())
                                return;
                            lost->kill (base::Duration::zero());
                            restartAfterDiskLoss (*lost);
                        });
    world_.queue.after (base::milliseconds (1450),
                        [this, leader, last = others[3]]
                        {
                            if (isOver_)
                                return;
                            killController (*leader);
                            killController (*last);
                        });
    return true;
}

bool FaultPlan::stepClock()
{
    const bool isLarge = world_.random.chance (0.1);
    const std::int64_t longest = isLarge ? 7'200'000 : 120'000;
    const std::int64_t step = world_.random.uniformInteger (-longest, longest);
    const bool isRouter = world_.random.chance (0.5);
    Process& process = isRouter ? static_cast<Process&> (pick (world_.routers))
                                : static_cast<Process&> (pick (world_.controllers));
    process.clock().step (step);
    world_.note (process.name() + ": clock steps by " + std::to_string (step) + " ms");
    return true;
}

bool FaultPlan::hitRouter (FaultKind kind)
{
    RouterNode& router = pick (world_.routers);
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
            const bool isOneWay = world_.random.chance (0.4);
            for (const auto& controller : world_.controllers)
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

bool FaultPlan::hitEngine (FaultKind kind)
{
    EngineNode& engine = pick (world_.engines);
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
            world_.queue.after (draw (500, 6000), [&engine] { engine.setFaults ({}); });
            return true;
        }
        case FaultKind::kEngineMisbehaves:
            return makeEngineMisbehave (engine);
        case FaultKind::kEngineCutOff:
        {
            const base::Duration duration = draw (300, 8000);
            const bool isOneWay = world_.random.chance (0.5);
            const bool fromRouters = world_.random.chance (0.5);
            for (const auto& controller : world_.controllers)
            {
                cutFor (engine.node(), controller->node(), duration);
                if (! isOneWay)
                    cutFor (controller->node(), engine.node(), duration);
            }
            for (const auto& router : world_.routers)
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
    const auto fault = world_.random.uniformInteger (0, 7);
    // Streams are short: to meet some, all engines get the faults of streams.
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
                static_cast<std::uint64_t> (world_.random.uniformInteger (1, 6));
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
    for (const auto& other : world_.engines)
    {
        if (! hitsAll && other.get() != &engine)
            continue;
        other->setFaults (faults);
        world_.queue.after (draw (1000, 6000), [node = other.get()] { node->setFaults ({}); });
    }
    return true;
}

bool FaultPlan::makeApplicationMisbehave()
{
    ApplicationNode& application = pick (world_.applications);
    if (! application.isAlive())
        return false;
    standin::ApplicationFaults faults;
    switch (world_.random.uniformInteger (0, 3))
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
    world_.queue.after (draw (500, 5000), [&application] { application.setFaults ({}); });
    return true;
}

void FaultPlan::heal()
{
    isOver_ = true;
    world_.note ("all faults end");
    world_.network.healAll();
    world_.platform->setLag (kUsualLag);
    world_.platform->setWeightStoreFaults ({});
    for (const auto& controller : world_.controllers)
    {
        controller->setDiskDelay (kUsualSync);
        if (! controller->isAlive())
            controller->start();
    }
    for (const auto& router : world_.routers)
    {
        if (! router->isAlive())
            router->start();
    }
    for (const auto& engine : world_.engines)
    {
        engine->setFaults ({});
        if (! engine->isAlive())
            engine->start();
    }
    for (const auto& application : world_.applications)
    {
        application->setFaults ({});
        if (! application->isAlive())
            application->start();
    }
}

}  // namespace fernlift::sim
