#include "controller/ControllerProcess.h"

#include <random>
#include <utility>

#include "base/Overloaded.h"
#include "consensus/ConsensusCodec.h"
#include "consensus/Membership.h"
#include "controller/CellFormation.h"
#include "controller/ConfigurationLog.h"
#include "controller/MemberStart.h"
#include "log/Log.h"

namespace fernlift::controller
{
namespace
{

constexpr base::milliseconds kTickInterval (10);
/// An input that arrives later than this after the last tick is preceded by a tick. Timers fire
/// late in an event loop with hundreds of ready sockets, and heartbeats to the other members must
/// be sent in time.
constexpr base::Duration kMaxTickPause = base::milliseconds (30);
constexpr base::Duration kLeaderlessTimeBeforeJoinRequest = base::seconds (2);
constexpr base::Duration kEngineCallTimeout = base::milliseconds (300);
constexpr double kMicrosecondsInSecond = 1e6;

std::uint64_t drawSeed()
{
    std::random_device device;
    constexpr unsigned kBitsInDraw = 32;
    return (static_cast<std::uint64_t> (device()) << kBitsInDraw) | device();
}

void appendCounter (std::string& text, std::string_view name, std::string_view help,
                    const std::string& value)
{
    text.append ("# HELP ").append (name).append (" ").append (help).append ("\n# TYPE ");
    text.append (name)
        .append (" counter\n")
        .append (name)
        .append (" ")
        .append (value)
        .append ("\n");
}

void logDone (const placement::EngineOrderDone& done)
{
    log::write (log::Event::kEngineOrderDone,
                { { "instance", done.order.instance },
                  { "operation", done.order.isLoad ? "load" : "unload" },
                  { "model", done.order.model },
                  { "store", done.isFromStore },
                  { "took_ms", base::toMilliseconds (done.duration) },
                  { "store_loads", done.storeLoads },
                  { "store_limit", done.storeLoadLimit } });
}

void logQuarantine (const cell::Suspect& suspect)
{
    std::string runners;
    for (const cell::RunnerCrash& crash : suspect.crashes)
        runners.append (runners.empty() ? "" : ",").append (crash.instance);
    log::write (log::Event::kRequestQuarantined, { { "identity", suspect.request.digest },
                                                   { "ends", suspect.consecutiveCrashCount },
                                                   { "runners", runners } });
}

}  // namespace

ControllerProcess::ControllerProcess (ControllerSettings settings, const ServiceProtocol& protocol,
                                      std::function<void (int)> onFinished)
    : m_settings (std::move (settings)),
      m_onFinished (std::move (onFinished)),
      m_transport (drawSeed()),
      m_runners (m_settings.callTimeout, &m_traffic),
      m_leaderLink ({}, 0,
                    { [this] { feed ([] (ControllerCore& core) { core.onLeaderConnected(); }); },
                      [this] (const cell::ControllerToRouter& message)
                      { feed ([&] (ControllerCore& core) { core.onLeaderMessage (message); }); },
                      [this] { feed ([] (ControllerCore& core) { core.onLeaderLost(); }); } }),
      m_listener (
          { [this] (const consensus::Message& message) { onMemberMessage (message); },
            [this] (RouterConnection connection, const cell::RouterToController& message)
            { feed ([&] (ControllerCore& core) { core.onRouterMessage (connection, message); }); },
            [this] (RouterConnection connection)
            { feed ([&] (ControllerCore& core) { core.onRouterDisconnected (connection); }); } },
          &m_traffic),
      m_admin ({ [this] (AdminTicket ticket, const AdminRequest& request)
                 { feed ([&] (ControllerCore& core) { core.onAdmin (ticket, request); }); },
                 [this] { return m_core && m_core->raftSummary().leader != 0; } },
               m_metrics)
{
    if (! protocol.control || m_settings.controlAddress.host.empty())
        return;
    const auto onUnusable = [this] (std::string_view source, std::string_view reason)
    { recordUnusable (source, reason); };
    m_engines = std::make_unique<EngineClient> (protocol.engine, kEngineCallTimeout, onUnusable);
    m_control = std::make_unique<ControlHttp> (
        protocol.control,
        [this] (ControlTicket ticket, const ControlRequest& request)
        { feed ([&] (ControllerCore& core) { core.onControl (ticket, request); }); },
        onUnusable);
}

base::Result<void> ControllerProcess::start()
{
    BOOST_LEAF_ASSIGN (m_openedStorage, storage::openFileStorage (m_settings.dataDirectory));
    BOOST_LEAF_AUTO (recovered, m_openedStorage->recover());
    if (formsFromSeeds (m_settings))
        m_settings = withIdentity (m_settings, recovered, drawSeed());
    BOOST_LEAF_AUTO (state, startMember (*m_openedStorage, m_settings, std::move (recovered)));
    createCore (std::move (state));
    createMetrics();
    BOOST_LEAF_CHECK (listen());
    if (formsFromSeeds (m_settings))
        startJoiner();
    QObject::connect (&m_ticker, &QTimer::timeout, &m_context,
                      [this]
                      {
                          if (! m_isFinished)
                              tick();
                          logLeadershipChange();
                          logRelayChange();
                          checkStop();
                      });
    m_ticker.setTimerType (Qt::PreciseTimer);
    m_ticker.start (kTickInterval);
    return {};
}

base::Result<void> ControllerProcess::listen()
{
    BOOST_LEAF_AUTO (peerAddress, m_listener.listen (m_settings.peerAddress));
    BOOST_LEAF_AUTO (httpAddress, m_admin.listen (m_settings.httpAddress));
    if (m_control)
        BOOST_LEAF_CHECK (m_control->listen (m_settings.controlAddress));
    log::write (log::Event::kControllerListening, { { "peer_address", peerAddress.toString() },
                                                    { "http_address", httpAddress.toString() } });
    return {};
}

void ControllerProcess::startJoiner()
{
    m_leaderSeenAt = m_clock.now();
    cell::MemberJoinRequest request{ base::CellId (m_settings.cell), selfMember (m_settings),
                                     m_settings.isFounding };
    CellJoiner::Handlers handlers;
    handlers.mustRequest = [this] { return mustRequestToJoin(); };
    handlers.controllers = [this] { return knownControllers(); };
    handlers.onLeaderFound = [this] (const std::string& address)
    { feed ([&] (ControllerCore& core) { core.addContact (address); }); };
    m_joiner = std::make_unique<CellJoiner> (std::move (request), std::move (handlers));
    m_joiner->start();
}

bool ControllerProcess::mustRequestToJoin() const
{
    const consensus::RaftStatus status = m_core->raftStatus();
    const auto self = static_cast<base::MemberId> (m_settings.id);
    if (! consensus::isVoter (status.members, self))
        return true;
    // A voter without contact to a leader for long may have been removed without being notified.
    return status.leader == 0 && m_clock.now() - m_leaderSeenAt > kLeaderlessTimeBeforeJoinRequest;
}

std::vector<base::SocketAddress> ControllerProcess::knownControllers() const
{
    std::vector<base::SocketAddress> controllers = seedPeers (m_settings);
    for (const consensus::Member& member : m_core->raftStatus().members.members)
    {
        if (auto address = base::SocketAddress::tryParse (member.peerAddress))
            controllers.push_back (std::move (*address));
    }
    std::erase (controllers, m_settings.peerAddress);
    return controllers;
}

void ControllerProcess::createCore (consensus::RecoveredState recovered)
{
    const auto self = static_cast<base::MemberId> (m_settings.id);
    log::write (log::Event::kControllerRecovered,
                { { "member", self },
                  { "snapshot_index", recovered.snapshot.lastIndex },
                  { "entries", recovered.entries.size() },
                  { "term", recovered.hardState.term } });
    ControllerOptions options = coreOptions (m_settings);
    options.workClock = [this] { return m_clock.now(); };
    if (formsFromSeeds (m_settings))
        options.contacts = seedContacts (m_settings);
    m_core.emplace (self, std::move (options), std::move (recovered), drawSeed(), m_clock.now(),
                    m_clock.unixNow());
    StorageThread::Handlers handlers;
    handlers.onPersisted = [this] (std::uint64_t sequence)
    { feed ([&] (ControllerCore& core) { core.onPersisted (sequence); }); };
    handlers.onFailed = [this] (const base::Error& error) { onStorageFailed (error); };
    m_storage = std::make_unique<StorageThread> (std::move (m_openedStorage), &m_context,
                                                 std::move (handlers));
}

void ControllerProcess::createMetrics()
{
    m_metrics.addProcessMetrics();
    m_metrics.addText ([this] { return m_core->metricsText(); });
    m_metrics.addText ([this] { return m_traffic.metricsText(); });
    m_metrics.addText ([this] { return storageMetrics(); });
}

std::string ControllerProcess::storageMetrics() const
{
    const StorageCounters work = m_storage->work();
    std::string text;
    appendCounter (text, "fernlift_storage_requests_total", "Writes asked for by consensus.",
                   std::to_string (work.requests));
    appendCounter (text, "fernlift_storage_syncs_total", "Synced writes to the data folder.",
                   std::to_string (work.syncs));
    appendCounter (
        text, "fernlift_storage_write_seconds_total", "Time spent in synced writes.",
        std::to_string (static_cast<double> (work.microseconds) / kMicrosecondsInSecond));
    return text;
}

void ControllerProcess::feed (const std::function<void (ControllerCore&)>& input)
{
    if (m_isFinished)
        return;
    m_core->setTime (m_clock.now(), m_clock.unixNow());
    if (m_clock.now() - m_tickedAt > kMaxTickPause)
        tick();
    input (*m_core);
    carryOutEffects();
}

void ControllerProcess::tick()
{
    m_tickedAt = m_clock.now();
    const base::Duration suspended = m_suspensions.observe (m_tickedAt, m_clock.runningTime());
    if (suspended > base::Duration::zero())
    {
        log::write (log::Event::kProcessResumed,
                    { { "suspended_ms", base::toMilliseconds (suspended) } });
    }
    m_core->setTime (m_tickedAt, m_clock.unixNow());
    m_core->onTick();
    carryOutEffects();
}

void ControllerProcess::carryOutEffects()
{
    for (const Effect& effect : m_core->takeEffects())
        carryOut (effect);
}

void ControllerProcess::carryOut (const Effect& effect)
{
    std::visit (
        base::Overloaded{
            [this] (const PersistEffect& persistEffect) { persist (persistEffect); },
            [this] (const SendToMember& send) { sendToMember (send); },
            [this] (const ConnectToLeader& connect) { m_leaderLink.connect (connect.address); },
            [this] (const SendToLeader& send) { sendToLeader (send); },
            [this] (const SendToRouter& send) {
                m_listener.sendToRouters ({ &send.connection, 1 }, send.message);
            },
            [this] (const BroadcastToRouters& send)
            { m_listener.sendToRouters (send.connections, send.message); },
            [this] (const SendOrder& send) { sendOrder (send); },
            [this] (const PollRunner& poll) { pollRunner (poll); },
            [this] (const PollMachineList&) { pollMachineList(); },
            [this] (const AnswerAdmin& answer) { m_admin.answer (answer); },
            [this] (const AnswerControl& answer)
            {
                if (m_control)
                    m_control->answer (answer.ticket, answer.answer);
            },
            [this] (const placement::SendEngineOrder& send) { sendEngineOrder (send); },
            [this] (const placement::PollEngine& poll) { pollEngine (poll); },
            [] (const placement::EngineOrderDone& done) { logDone (done); },
            [] (const ConfigurationEvent& event) { logConfigurationEvent (event); },
            [] (const RequestQuarantined& quarantined) { logQuarantine (quarantined.suspect); },
            [this] (const RunnerMessageUnusable& message)
            { recordUnusable (message.instance, message.reason); },
            [] (const InstanceReportedUnreachable& report)
            {
                log::write (log::Event::kInstanceReportedUnreachable,
                            { { "runner", report.instance }, { "router", report.reporter } });
            },
        },
        effect);
}

void ControllerProcess::persist (const PersistEffect& effect)
{
    m_storage->submit (effect.request);
}

void ControllerProcess::sendToMember (const SendToMember& effect)
{
    std::string payload = consensus::encode (effect.message);
    m_traffic.record (Direction::kOut, kindOf (effect.message.payload), payload.size());
    m_transport.send (effect.address, std::move (payload));
}

void ControllerProcess::sendToLeader (const SendToLeader& effect)
{
    m_traffic.record (Direction::kOut, kindOf (effect.message), m_leaderLink.send (effect.message));
}

void ControllerProcess::sendOrder (const SendOrder& effect)
{
    const base::RunnerId runner = effect.runner;
    const engine::Order order = effect.order;
    m_runners.sendOrder (
        effect.address, order,
        [this, runner, order] (const engine::OrderAnswer& answer)
        { feed ([&] (ControllerCore& core) { core.onOrderAnswer (runner, order, answer); }); },
        [this, runner, order]
        { feed ([&] (ControllerCore& core) { core.onOrderFailed (runner, order); }); });
}

void ControllerProcess::pollRunner (const PollRunner& effect)
{
    const base::RunnerId runner = effect.runner;
    m_runners.pollReport (
        effect.address,
        [this, runner] (const engine::Report& report)
        { feed ([&] (ControllerCore& core) { core.onReport (runner, report); }); },
        [this, runner] { feed ([&] (ControllerCore& core) { core.onReportFailed (runner); }); });
}

void ControllerProcess::pollMachineList()
{
    m_runners.pollMachineList (
        m_settings.machinesAddress,
        [this] (const engine::MachineList& list)
        { feed ([&] (ControllerCore& core) { core.onMachineList (list); }); },
        [this] { feed ([] (ControllerCore& core) { core.onMachineListFailed(); }); });
}

void ControllerProcess::sendEngineOrder (const placement::SendEngineOrder& effect)
{
    if (! m_engines)
        return;
    const engine::ServiceOrder order = effect.order;
    log::write (log::Event::kEngineOrdered, { { "instance", order.instance },
                                              { "operation", order.isLoad ? "load" : "unload" },
                                              { "model", order.model },
                                              { "adapter", order.adapter },
                                              { "fence", order.fence },
                                              { "sequence", order.expectedSequence.value_or (0) },
                                              { "reason", effect.reason } });
    m_engines->sendOrder (
        effect.address, order,
        [this, order] (engine::OrderOutcome outcome)
        {
            log::write (log::Event::kEngineOrderAnswered,
                        { { "instance", order.instance },
                          { "model", order.model },
                          { "adapter", order.adapter },
                          { "outcome", engine::toString (outcome) } });
            feed ([&] (ControllerCore& core) { core.onEngineOrderAnswer (order, outcome); });
        });
}

void ControllerProcess::pollEngine (const placement::PollEngine& effect)
{
    if (! m_engines)
        return;
    const std::string instance = effect.instance;
    m_engines->pollReport (
        instance, effect.address,
        [this, instance] (const engine::ServiceReport* report)
        { feed ([&] (ControllerCore& core) { core.onEngineReport (instance, report); }); });
}

void ControllerProcess::onMemberMessage (const consensus::Message& message)
{
    // The address may have belonged to another member, whose messages are not for this one.
    if (message.to != static_cast<base::MemberId> (m_settings.id))
        return;
    feed ([&] (ControllerCore& core) { core.onMemberMessage (message); });
}

void ControllerProcess::recordUnusable (std::string_view source, std::string_view reason)
{
    m_unusableMessages.add();
    log::write (log::Event::kRunnerMessageUnusable, { { "source", source }, { "error", reason } });
}

void ControllerProcess::onStorageFailed (const base::Error& error)
{
    log::write (log::Event::kStorageWriteFailed,
                { { "kind", base::traitsOf (error.kind).name }, { "error", error.message } });
    feed ([] (ControllerCore& core) { core.onStorageFailed(); });
    finish (base::traitsOf (error.kind).exitCode);
}

void ControllerProcess::logLeadershipChange()
{
    const consensus::RaftSummary status = m_core->raftSummary();
    if (status.leader != 0)
        m_leaderSeenAt = m_clock.now();
    if (status.role == m_lastRole && status.leader == m_lastLeader)
        return;
    const bool isLeader = status.role == consensus::Role::kLeader;
    const bool wasLeader = m_lastRole == consensus::Role::kLeader;
    if (isLeader && ! wasLeader)
        log::write (log::Event::kBecameLeader, { { "term", status.term } });
    if (! isLeader && wasLeader)
        log::write (log::Event::kLostLeadership, { { "term", status.term } });
    if (status.leader != m_lastLeader)
    {
        log::write (log::Event::kLeaderChanged,
                    { { "leader", status.leader }, { "term", status.term } });
    }
    m_lastRole = status.role;
    m_lastLeader = status.leader;
}

void ControllerProcess::logRelayChange()
{
    const RelayStatus status = m_core->relayStatus();
    if (status.mayServe == m_lastRelayServes)
        return;
    m_lastRelayServes = status.mayServe;
    log::write (status.mayServe ? log::Event::kRelayServes : log::Event::kRelayCannotServe,
                { { "routers", status.routers },
                  { "configuration", status.configuration },
                  { "table", status.instanceVersion },
                  { "term", status.term } });
}

void ControllerProcess::beginStop()
{
    if (m_stopDeadline)
        return;
    log::write (log::Event::kProcessStopping);
    m_stopDeadline = m_clock.now() + m_settings.stopTimeout;
    m_admin.stopListening();
    if (m_control)
        m_control->stopListening();
    feed ([] (ControllerCore& core) { core.beginStop(); });
}

void ControllerProcess::checkStop()
{
    if (! m_stopDeadline || m_isFinished)
        return;
    const std::size_t openRequests =
        m_admin.openRequests() + (m_control ? m_control->openRequests() : 0);
    const bool isDone = m_core->isStopped() && openRequests == 0;
    if (isDone)
    {
        finish (0);
    }
    else if (m_clock.now() >= *m_stopDeadline)
    {
        log::write (log::Event::kStopTimedOut, { { "open_requests", openRequests } });
        finish (0);
    }
}

void ControllerProcess::finish (int exitCode)
{
    if (std::exchange (m_isFinished, true))
        return;
    m_ticker.stop();
    m_onFinished (exitCode);
}

}  // namespace fernlift::controller
