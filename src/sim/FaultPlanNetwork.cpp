// Faults of the network and of the platform.

#include <string>

#include "sim/ApplicationNode.h"
#include "sim/Callers.h"
#include "sim/EngineNode.h"
#include "sim/FaultPlan.h"
#include "sim/Platform.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kUsualLag = base::seconds (1);

}  // namespace

void FaultPlan::cutFor (NodeId from, NodeId to, base::Duration duration)
{
    if (from == to || isOver_)
        return;
    world_.network.cut (from, to);
    world_.queue.after (duration,
                        [this, from, to]
                        {
                            if (! isOver_)
                                world_.network.heal (from, to);
                        });
}

void FaultPlan::cutBothFor (NodeId first, NodeId second, base::Duration duration)
{
    cutFor (first, second, duration);
    cutFor (second, first, duration);
}

bool FaultPlan::hitNetwork (FaultKind kind)
{
    switch (kind)
    {
        case FaultKind::kLeaderCutOff:
            return cutLeaderOff();
        case FaultKind::kLeaderAndMemberCut:
            return cutLeaderFromMember();
        case FaultKind::kOneWayCut:
            return cutOneWay();
        case FaultKind::kPartition:
            return partition();
        case FaultKind::kConnectionReset:
        {
            const NodeId node = static_cast<NodeId> (world_.random.uniformInteger (
                0,
                static_cast<std::int64_t> (world_.controllers.size() + world_.routers.size()) - 1));
            for (NodeId other = 0; other < world_.platform->node(); ++other)
            {
                if (other != node)
                    world_.network.resetBetween (node, other);
            }
            return true;
        }
        case FaultKind::kTurbulence:
            world_.network.setTurbulence ({ world_.random.uniformReal() * 0.2,
                                            world_.random.uniformReal() * 0.2, draw (1, 200) });
            world_.queue.after (draw (500, 4000), [this] { world_.network.setTurbulence ({}); });
            return true;
        case FaultKind::kSlowLink:
            return slowLinks();
        default:
            return false;
    }
}

/// The leader and its engines' and routers' words no longer reach each other; only its operators
/// still do.
bool FaultPlan::cutLeaderOff()
{
    ControllerNode* leader = world_.leader();
    if (leader == nullptr)
        return false;
    const base::Duration duration = draw (300, 6000);
    const bool keepsOthers = world_.random.chance (0.6);
    for (const auto& controller : world_.controllers)
    {
        cutBothFor (leader->node(), controller->node(), duration);
    }
    if (keepsOthers)
        return true;  // Routers and engines can still reach it.
    for (const auto& router : world_.routers)
        cutBothFor (leader->node(), router->node(), duration);
    for (const auto& engine : world_.engines)
        cutBothFor (leader->node(), engine->node(), duration);
    return true;
}

bool FaultPlan::cutLeaderFromMember()
{
    ControllerNode* leader = world_.leader();
    ControllerNode& member = pick (world_.controllers);
    if (leader == nullptr || leader == &member)
        return false;
    cutBothFor (leader->node(), member.node(), draw (700, 4000));
    return true;
}

bool FaultPlan::cutOneWay()
{
    ControllerNode& controller = pick (world_.controllers);
    const base::Duration duration = draw (200, 5000);
    const bool isOutgoing = world_.random.chance (0.5);
    for (const auto& other : world_.controllers)
    {
        if (world_.random.chance (0.3))
            continue;
        if (isOutgoing)
        {
            cutFor (controller.node(), other->node(), duration);
        }
        else
        {
            cutFor (other->node(), controller.node(), duration);
        }
    }
    return true;
}

bool FaultPlan::partition()
{
    const base::Duration duration = draw (300, 5000);
    std::vector<bool> isInside (world_.platform->node() + 1);
    for (NodeId node = 0; node < isInside.size(); ++node)
    {
        isInside[node] = world_.random.chance (0.4);
    }
    for (NodeId first = 0; first < isInside.size(); ++first)
    {
        for (NodeId second = 0; second < first; ++second)
        {
            if (isInside[first] != isInside[second])
                cutBothFor (first, second, duration);
        }
    }
    return true;
}

/// Orders and reports of some controllers take seconds.
bool FaultPlan::slowLinks()
{
    ControllerNode* leader = world_.leader();
    if (leader == nullptr)
        return false;
    const NodeId node = leader->node();
    const base::Duration extra = draw (100, 4000);
    for (const auto& engine : world_.engines)
    {
        world_.network.slow (node, engine->node(), extra);
        if (world_.random.chance (0.5))
            world_.network.slow (engine->node(), node, extra);
    }
    world_.queue.after (draw (1000, 5000),
                        [this, node]
                        {
                            for (const auto& engine : world_.engines)
                            {
                                world_.network.slow (node, engine->node(), base::Duration::zero());
                                world_.network.slow (engine->node(), node, base::Duration::zero());
                            }
                        });
    return true;
}

bool FaultPlan::hitPlatform (FaultKind kind)
{
    switch (kind)
    {
        case FaultKind::kMachineLeaves:
            return makeMachineLeave();
        case FaultKind::kApplicationKilled:
        {
            ApplicationNode& application = pick (world_.applications);
            if (! application.isAlive())
                return false;
            killAndRestart (application, base::seconds (3),
                            [&application] { application.start(); });
            return true;
        }
        case FaultKind::kApplicationMisbehaves:
            return makeApplicationMisbehave();
        case FaultKind::kWeightStoreSlow:
            world_.platform->setWeightStoreFaults (
                { world_.random.chance (0.3), 2 + world_.random.uniformReal() * 10 });
            world_.queue.after (draw (1000, 5000),
                                [this] { world_.platform->setWeightStoreFaults ({}); });
            return true;
        case FaultKind::kMachineListLags:
            world_.platform->setLag (draw (2000, 10000));
            world_.queue.after (draw (1000, 8000), [this] { world_.platform->setLag (kUsualLag); });
            return true;
        case FaultKind::kRequestBurst:
            world_.callers->burst();
            return true;
        default:
            return false;
    }
}

/// A machine is announced to leave, is reclaimed after a while, and another one takes its place.
bool FaultPlan::makeMachineLeave()
{
    const bool isApplication = world_.random.chance (0.2);
    BackEnd& backEnd = isApplication ? static_cast<BackEnd&> (pick (world_.applications))
                                     : static_cast<BackEnd&> (pick (world_.engines));
    if (! backEnd.isAlive() || backEnd.isLeaving())
        return false;
    world_.platform->setLeaving (backEnd.machine().runner);
    // The engine itself may hear of it earlier or later than the list shows it.
    world_.queue.after (draw (0, 2000), [&backEnd, life = backEnd.life()]
                        { backEnd.postTo (life, [&backEnd] { backEnd.setLeaving (true); }); });
    world_.queue.after (draw (3000, 7000), [this, &backEnd] { reclaim (backEnd); });
    return true;
}

void FaultPlan::reclaim (BackEnd& backEnd)
{
    backEnd.kill (draw (2000, 6000));
    world_.platform->remove (backEnd.machine().runner);
    const std::string number = std::to_string (++lastMachine_);
    const std::string address = "127.3.9." + number + ":9000";
    world_.backEndsByAddress.erase (backEnd.machine().address);
    const std::string& name = backEnd.machine().runner.value;
    const std::string stem = name.substr (0, name.find ('/'));
    backEnd.replaceMachine (base::RunnerId (stem + "/" + number), address);
    world_.backEndsByAddress[address] = &backEnd;
    world_.queue.after (draw (300, 2000),
                        [this, &backEnd]
                        {
                            world_.platform->put (backEnd.machine());
                            if (! backEnd.isAlive())
                                backEnd.start();
                        });
}

}  // namespace fernlift::sim
