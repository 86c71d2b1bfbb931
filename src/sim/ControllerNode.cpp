#include "sim/ControllerNode.h"

#include <utility>

#include "sim/BackEnd.h"
#include "sim/ConsensusChecker.h"
#include "sim/FaultPlan.h"
#include "sim/LeavingChecker.h"
#include "sim/Platform.h"
#include "sim/RouterNode.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kTickInterval = base::milliseconds (10);
constexpr base::Duration kCallTimeout = base::milliseconds (2000);
constexpr base::Duration kUsualSync = base::microseconds (1500);
constexpr std::int64_t kMinSyncMicroseconds = 200;
constexpr std::int64_t kMaxRestartMicroseconds = 400'000;

consensus::PlantedFault consensusFault (PlantedFault fault)
{
    switch (fault)
    {
        case PlantedFault::kVoteBeforeSync:
            return consensus::PlantedFault::kVoteBeforeSync;
        case PlantedFault::kAppendReplyBeforeSync:
            return consensus::PlantedFault::kAppendReplyBeforeSync;
        case PlantedFault::kLeaseWithoutMajority:
            return consensus::PlantedFault::kLeaseWithoutMajority;
        case PlantedFault::kLeaseWithoutVoteDelay:
            return consensus::PlantedFault::kLeaseWithoutVoteDelay;
        default:
            return consensus::PlantedFault::kNone;
    }
}

cell::PlantedFault cellFault (PlantedFault fault)
{
    switch (fault)
    {
        case PlantedFault::kOrderWithoutFence:
            return cell::PlantedFault::kOrderWithoutFence;
        case PlantedFault::kReplicaReleasedOnSilence:
            return cell::PlantedFault::kReplicaReleasedOnSilence;
        case PlantedFault::kConfigurationByVersionOnly:
            return cell::PlantedFault::kConfigurationByVersionOnly;
        case PlantedFault::kLeaseWithoutLeaderLease:
            return cell::PlantedFault::kLeaseWithoutLeaderLease;
        case PlantedFault::kStaleRead:
            return cell::PlantedFault::kStaleRead;
        case PlantedFault::kMemoryCountedWhenReady:
            return cell::PlantedFault::kMemoryCountedWhenReady;
        case PlantedFault::kClaimsNotSnapshotted:
            return cell::PlantedFault::kClaimsNotSnapshotted;
        default:
            return cell::PlantedFault::kNone;
    }
}

}  // namespace

ControllerNode::ControllerNode (World& world, NodeId node, base::MemberId member)
    : Process (world.network, world.trace, node, "controller-" + std::to_string (node),
               drawDrift (world.random)),
      m_world (world),
      m_member (member),
      m_address ("127.1.0." + std::to_string (node) + ":7000"),
      m_entriesBetweenSnapshots (world.random.chance (0.5) ? 60 : 4096),
      m_longestSync (kUsualSync)
{
    if (world.options.plantedFault == PlantedFault::kClockStopsInSuspension)
        stopClockInSuspension();
}

controller::ControllerOptions ControllerNode::coreOptions() const
{
    controller::ControllerOptions options;
    options.cell = base::CellId ("simulated");
    options.keepAlive = base::seconds (4);
    options.entriesBetweenSnapshots = m_entriesBetweenSnapshots;
    options.raft.snapshotChunkBytes = 8UL * 1024;
    options.raft.plantedFault = consensusFault (m_world.options.plantedFault);
    options.plantedFault = cellFault (m_world.options.plantedFault);
    for (const auto& controller : m_world.controllers)
    {
        options.contacts.push_back (controller->asMember (true));
    }
    return options;
}

void ControllerNode::start()
{
    begin();
    m_isStopping = false;
    consensus::RecoveredState recovered = m_disk.recover();
    addToTrace ("starts as member " + std::to_string (m_member) + " with "
                + std::to_string (recovered.entries.size()) + " entries");
    m_world.consensus->onStarted (m_member, recovered);
    m_core.emplace (m_member, coreOptions(), std::move (recovered), random().bits(), clock().now(),
                    clock().unixNow());
    feed ([] (controller::ControllerCore&) {});
    tick (runNumber());
}

void ControllerNode::replaceDisk (base::MemberId member)
{
    addToTrace ("disk lost");
    m_disk.wipe();
    m_member = member;
}

void ControllerNode::stopAndRestart()
{
    if (! isAlive() || isFrozen() || m_isStopping)
        return;
    addToTrace ("planned stop");
    m_isStopping = true;
    feed ([] (controller::ControllerCore& core) { core.beginStop(); });
}

void ControllerNode::onKilled()
{
    if (m_disk.crash (random()))
        addToTrace ("record torn");
    m_world.consensus->onEnded (m_member);
    m_core.reset();
    m_routers.clear();
    m_tickets.clear();
}

void ControllerNode::tick (std::uint64_t runNumber)
{
    if (! isAlive() || runNumber != this->runNumber())
        return;
    queue().after (kTickInterval, [this, runNumber] { tick (runNumber); });
    if (isFrozen())
        return;
    feed ([] (controller::ControllerCore& core) { core.onTick(); });
    if (! m_isStopping || ! m_core || ! m_core->isStopped())
        return;
    kill (base::Duration::zero());
    const auto pause = base::Duration (random().uniformInteger (0, kMaxRestartMicroseconds));
    queue().after (pause,
                   [this, stopped = this->runNumber()]
                   {
                       if (! isAlive() && stopped == this->runNumber())
                           start();
                   });
}

void ControllerNode::feed (const Input& input)
{
    if (! m_core)
        return;
    m_core->setTime (clock().now(), clock().unixNow());
    input (*m_core);
    const std::uint64_t current = runNumber();
    const std::vector<controller::Effect> effects = m_core->takeEffects();
    for (const controller::Effect& effect : effects)
    {
        if (const auto* persist = std::get_if<controller::PersistEffect> (&effect))
        {
            m_world.consensus->onPersist (m_member, persist->request);
        }
    }
    m_world.consensus->onProgress (*this);
    for (const controller::Effect& effect : effects)
    {
        if (! isAlive() || current != runNumber())
            return;
        carryOut (effect);
    }
}

bool ControllerNode::leadsNow()
{
    if (! isAlive() || isFrozen())
        return false;
    m_core->setTime (clock().now(), clock().unixNow());
    return m_core->holdsLease();
}

consensus::Member ControllerNode::asMember (bool isVoter) const
{
    return { m_member, m_address, m_address, "z" + std::to_string (node() % 3 + 1), isVoter };
}

controller::RouterConnection ControllerNode::accept (RouterNode& router,
                                                     ConnectionPointer connection)
{
    const controller::RouterConnection number = ++m_lastConnection;
    connection->onEnded (
        Side::kAcceptor, [this, number, runNumber = runNumber()]
        { postTo (runNumber, [this, number] { onRouterDisconnected (number); }); });
    m_routers[number] = { &router, std::move (connection) };
    return number;
}

void ControllerNode::onRouterMessage (controller::RouterConnection connection,
                                      const cell::RouterToController& message)
{
    if (! m_routers.contains (connection))
        return;
    feed ([&] (controller::ControllerCore& core) { core.onRouterMessage (connection, message); });
}

void ControllerNode::onRouterDisconnected (controller::RouterConnection connection)
{
    if (m_routers.erase (connection) == 0)
        return;
    feed ([&] (controller::ControllerCore& core) { core.onRouterDisconnected (connection); });
}

void ControllerNode::admin (const controller::AdminRequest& request,
                            std::function<void (const controller::AnswerAdmin&)> onAnswer)
{
    const controller::AdminTicket ticket = ++m_lastTicket;
    m_tickets[ticket] = std::move (onAnswer);
    feed ([&] (controller::ControllerCore& core) { core.onAdmin (ticket, request); });
}

void ControllerNode::carryOut (const controller::Effect& effect)
{
    std::visit ([this] (const auto& content) { apply (content); }, effect);
}

void ControllerNode::apply (const controller::PersistEffect& effect)
{
    m_disk.submit (effect.request);
    writeIfIdle();
}

void ControllerNode::writeIfIdle()
{
    if (! m_disk.isIdle() || ! m_disk.hasWaiting())
        return;
    m_disk.beginWrite();
    const auto length =
        base::Duration (random().uniformInteger (kMinSyncMicroseconds, m_longestSync.count()));
    queue().after (length,
                   [this, runNumber = runNumber()]
                   {
                       if (! isAlive() || runNumber != this->runNumber())
                           return;
                       // The kernel completes a sync in progress even while the process is frozen.
                       const std::uint64_t sequence = m_disk.endWrite();
                       postTo (runNumber,
                               [this, sequence]
                               {
                                   writeIfIdle();
                                   feed ([&] (controller::ControllerCore& core)
                                         { core.onPersisted (sequence); });
                               });
                   });
}

void ControllerNode::apply (const controller::SendToMember& effect)
{
    ControllerNode* receiver = m_world.controllerAt (effect.address);
    if (receiver == nullptr)
        return;
    network().datagram (node(), receiver->node(),
                        [receiver, message = effect.message]
                        {
                            receiver->post (
                                [receiver, message]
                                {
                                    if (message.to != receiver->m_member)
                                        return;
                                    receiver->feed ([&] (controller::ControllerCore& core)
                                                    { core.onMemberMessage (message); });
                                });
                        });
    const auto* vote = std::get_if<consensus::VoteReply> (&effect.message.payload);
    if (vote == nullptr || ! vote->granted || vote->isPreVote)
        return;
    m_world.consensus->onVoteSent (effect.message);
    m_world.faults->onVote (*this);
}

void ControllerNode::apply (const controller::SendToRouter& effect)
{
    const auto found = m_routers.find (effect.connection);
    if (found == m_routers.end())
        return;
    m_world.consensus->onRouterMessageSent (*this, effect.message);
    RouterNode* router = found->second.router;
    const ConnectionPointer connection = found->second.connection;
    connection->send (
        Side::kAcceptor,
        [router, connection, runNumber = router->runNumber(), message = effect.message]
        {
            router->postTo (runNumber, [router, connection, message]
                            { router->onControllerMessage (connection, message); });
        });
}

void ControllerNode::apply (const controller::BroadcastToRouters& effect)
{
    for (const controller::RouterConnection connection : effect.connections)
        apply (controller::SendToRouter{ connection, effect.message });
}

/// Reports a failed call after the timeout; used when no machine has the address.
void ControllerNode::failLater (const Action& onFailed)
{
    queue().after (kCallTimeout,
                   [this, onFailed, runNumber = runNumber()] { postTo (runNumber, onFailed); });
}

void ControllerNode::apply (const controller::SendOrder& effect)
{
    m_world.consensus->onOrderSent (*this, effect.order);
    BackEnd* backEnd = m_world.backEndAt (effect.address);
    const auto onFailed = [this, runner = effect.runner, order = effect.order]
    { feed ([&] (controller::ControllerCore& core) { core.onOrderFailed (runner, order); }); };
    if (backEnd == nullptr)
    {
        failLater (onFailed);
        return;
    }
    const auto serve =
        [backEnd, order = effect.order, runner = effect.runner, this] (const Respond& respond)
    {
        const engine::OrderAnswer answer = backEnd->onOrder (order);
        respond (
            [this, runner, order, answer] {
                feed ([&] (controller::ControllerCore& core)
                      { core.onOrderAnswer (runner, order, answer); });
            });
    };
    call (network(), *this, *backEnd, kCallTimeout, serve, onFailed);
    // An order may arrive a second time when it is resent over a new connection.
    if (! random().chance (m_world.faults->orderDuplication()))
        return;
    network().queue().after (
        base::Duration (random().uniformInteger (0, 3'000'000)), [backEnd, order = effect.order]
        { backEnd->post ([backEnd, order] { (void)backEnd->onOrder (order); }); });
}

void ControllerNode::apply (const controller::PollRunner& effect)
{
    BackEnd* backEnd = m_world.backEndAt (effect.address);
    const auto onFailed = [this, runner = effect.runner]
    { feed ([&] (controller::ControllerCore& core) { core.onReportFailed (runner); }); };
    if (backEnd == nullptr)
    {
        failLater (onFailed);
        return;
    }
    const auto serve = [backEnd, runner = effect.runner, this] (const Respond& respond)
    {
        respond (
            [this, runner, report = backEnd->report()]
            {
                m_world.leaving->onReport (*this, report);
                feed ([&] (controller::ControllerCore& core) { core.onReport (runner, report); });
            });
    };
    call (network(), *this, *backEnd, kCallTimeout, serve, onFailed);
}

void ControllerNode::apply (const controller::PollMachineList& /*effect*/)
{
    const auto serve = [this] (const Respond& respond)
    {
        respond (
            [this, list = m_world.platform->machineList()]
            {
                m_world.leaving->onMachineList (*this, list);
                feed ([&] (controller::ControllerCore& core) { core.onMachineList (list); });
            });
    };
    call (network(), *this, *m_world.platform, kCallTimeout, serve,
          [this] { feed ([] (controller::ControllerCore& core) { core.onMachineListFailed(); }); });
}

void ControllerNode::apply (const controller::AnswerAdmin& effect)
{
    const auto found = m_tickets.find (effect.ticket);
    if (found == m_tickets.end())
        return;
    const auto onAnswer = std::move (found->second);
    m_tickets.erase (found);
    onAnswer (effect);
}

}  // namespace fernlift::sim
