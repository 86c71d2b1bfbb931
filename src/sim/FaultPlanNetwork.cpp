// Network and platform faults of FaultPlan.

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
    if (from == to || m_isOver)
        return;
    m_world.network.cut (from, to);
    m_world.queue.after (duration,
                         [this, from, to]
                         {
                             if (! m_isOver)
                                 m_world.network.heal (from, to);
                         });
}

void FaultPlan::cutBothFor (NodeId first, NodeId second, base::Duration duration)
{
    cutFor (first, second, duration);
    cutFor (second, first, duration);
}

bool FaultPlan::injectNetworkFault (FaultKind kind)
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
            const NodeId node = static_cast<NodeId> (m_world.random.uniformInteger (
                0, static_cast<std::int64_t> (m_world.controllers.size() + m_world.routers.size())
                       - 1));
            for (NodeId other = 0; other < m_world.platform->node(); ++other)
            {
                if (other != node)
                    m_world.network.resetBetween (node, other);
            }
            return true;
        }
        case FaultKind::kTurbulence:
            m_world.network.setConditions ({ m_world.random.uniformReal() * 0.2,
                                             m_world.random.uniformReal() * 0.2, draw (1, 200) });
            m_world.queue.after (draw (500, 4000), [this] { m_world.network.setConditions ({}); });
            return true;
        case FaultKind::kSlowLink:
            return slowLinks();
        default:
            return false;
    }
}

/// Cuts the leader off from the other controllers and, in 40 % of cases, also from routers and
/// engines. Operators can always reach it.
bool FaultPlan::cutLeaderOff()
{
    ControllerNode* leader = m_world.leader();
    if (leader == nullptr)
        return false;
    const base::Duration duration = draw (300, 6000);
    const bool keepsOthers = m_world.random.chance (0.6);
    for (const auto& controller : m_world.controllers)
    {
        cutBothFor (leader->node(), controller->node(), duration);
    }
    if (keepsOthers)
        return true;  // Routers and engines can still reach the leader.
    for (const auto& router : m_world.routers)
        cutBothFor (leader->node(), router->node(), duration);
    for (const auto& engine : m_world.engines)
        cutBothFor (leader->node(), engine->node(), duration);
    return true;
}

bool FaultPlan::cutLeaderFromMember()
{
    ControllerNode* leader = m_world.leader();
    ControllerNode& member = pick (m_world.controllers);
    if (leader == nullptr || leader == &member)
        return false;
    cutBothFor (leader->node(), member.node(), draw (700, 4000));
    return true;
}

bool FaultPlan::cutOneWay()
{
    ControllerNode& controller = pick (m_world.controllers);
    const base::Duration duration = draw (200, 5000);
    const bool isOutgoing = m_world.random.chance (0.5);
    for (const auto& other : m_world.controllers)
    {
        if (m_world.random.chance (0.3))
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
    std::vector<bool> isInside (m_world.platform->node() + 1);
    for (NodeId node = 0; node < isInside.size(); ++node)
    {
        isInside[node] = m_world.random.chance (0.4);
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

/// Delays the leader's orders to engines, and the reports of half of the engines, by up to 4 s.
bool FaultPlan::slowLinks()
{
    ControllerNode* leader = m_world.leader();
    if (leader == nullptr)
        return false;
    const NodeId node = leader->node();
    const base::Duration extra = draw (100, 4000);
    for (const auto& engine : m_world.engines)
    {
        m_world.network.slow (node, engine->node(), extra);
        if (m_world.random.chance (0.5))
            m_world.network.slow (engine->node(), node, extra);
    }
    m_world.queue.after (
        draw (1000, 5000),
        [this, node]
        {
            for (const auto& engine : m_world.engines)
            {
                m_world.network.slow (node, engine->node(), base::Duration::zero());
                m_world.network.slow (engine->node(), node, base::Duration::zero());
            }
        });
    return true;
}

bool FaultPlan::injectPlatformFault (FaultKind kind)
{
    switch (kind)
    {
        case FaultKind::kMachineLeaves:
            return makeMachineLeave();
        case FaultKind::kApplicationKilled:
        {
            ApplicationNode& application = pick (m_world.applications);
            if (! application.isAlive())
                return false;
            killAndRestart (application, base::seconds (3),
                            [&application] { application.start(); });
            return true;
        }
        case FaultKind::kApplicationMisbehaves:
            return makeApplicationMisbehave();
        case FaultKind::kWeightStoreSlow:
            m_world.platform->setWeightStoreFaults (
                { m_world.random.chance (0.3), 2 + m_world.random.uniformReal() * 10 });
            m_world.queue.after (draw (1000, 5000),
                                 [this] { m_world.platform->setWeightStoreFaults ({}); });
            return true;
        case FaultKind::kMachineListLags:
            m_world.platform->setLag (draw (2000, 10000));
            m_world.queue.after (draw (1000, 8000),
                                 [this] { m_world.platform->setLag (kUsualLag); });
            return true;
        case FaultKind::kRequestBurst:
            m_world.callers->burst();
            return true;
        default:
            return false;
    }
}

/// Announces that a machine is leaving, reclaims it after 3 to 7 s and then adds a replacement.
bool FaultPlan::makeMachineLeave()
{
    const bool isApplication = m_world.random.chance (0.2);
    BackEnd& backEnd = isApplication ? static_cast<BackEnd&> (pick (m_world.applications))
                                     : static_cast<BackEnd&> (pick (m_world.engines));
    if (! backEnd.isAlive() || backEnd.isLeaving())
        return false;
    m_world.platform->setLeaving (backEnd.machine().runner);
    // The back end may be notified before or after the machine list shows the change.
    m_world.queue.after (
        draw (0, 2000), [&backEnd, runNumber = backEnd.runNumber()]
        { backEnd.postTo (runNumber, [&backEnd] { backEnd.setLeaving (true); }); });
    m_world.queue.after (draw (3000, 7000), [this, &backEnd] { reclaim (backEnd); });
    return true;
}

void FaultPlan::reclaim (BackEnd& backEnd)
{
    backEnd.kill (draw (2000, 6000));
    m_world.platform->remove (backEnd.machine().runner);
    const std::string number = std::to_string (++m_lastMachine);
    const std::string address = "127.3.9." + number + ":9000";
    m_world.backEndsByAddress.erase (backEnd.machine().address);
    const std::string& name = backEnd.machine().runner.value;
    const std::string stem = name.substr (0, name.find ('/'));
    backEnd.replaceMachine (base::RunnerId (stem + "/" + number), address);
    m_world.backEndsByAddress[address] = &backEnd;
    m_world.queue.after (draw (300, 2000),
                         [this, &backEnd]
                         {
                             m_world.platform->put (backEnd.machine());
                             if (! backEnd.isAlive())
                                 backEnd.start();
                         });
}

}  // namespace fernlift::sim
