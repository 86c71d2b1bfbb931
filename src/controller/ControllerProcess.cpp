#include "controller/ControllerProcess.h"

#include <random>
#include <utility>

#include "base/Overloaded.h"
#include "consensus/Durable.h"
#include "consensus/Membership.h"
#include "controller/CellFormation.h"
#include "controller/MemberStart.h"
#include "log/Log.h"

namespace fernlift::controller
{
namespace
{

constexpr base::milliseconds kTickInterval (10);
constexpr base::Duration kLeaderlessBeforeAsking = base::seconds (2);
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

}  // namespace

ControllerProcess::ControllerProcess (ControllerSettings settings, const ServiceProtocol& protocol,
                                      std::function<void (int)> onFinished)
    : settings_ (std::move (settings)),
      onFinished_ (std::move (onFinished)),
      transport_ (drawSeed()),
      runners_ (settings_.callTimeout, &traffic_),
      listener_ (
          { [this] (const consensus::Message& message) { onMemberMessage (message); },
            [this] (RouterConnection connection, const cell::RouterToController& message)
            { feed ([&] (ControllerCore& core) { core.onRouterMessage (connection, message); }); },
            [this] (RouterConnection connection)
            { feed ([&] (ControllerCore& core) { core.onRouterGone (connection); }); } },
          &traffic_),
      admin_ ({ [this] (AdminTicket ticket, const AdminRequest& request)
                { feed ([&] (ControllerCore& core) { core.onAdmin (ticket, request); }); },
                [this] { return core_ && core_->raftStatus().leader != 0; } },
              metrics_)
{
    if (! protocol.control || settings_.controlAddress.host.empty())
        return;
    engines_ = std::make_unique<EngineClient> (protocol.engine, kEngineCallTimeout);
    control_ = std::make_unique<ControlHttp> (
        protocol.control, [this] (ControlTicket ticket, const ControlRequest& request)
        { feed ([&] (ControllerCore& core) { core.onControl (ticket, request); }); });
}

base::Result<void> ControllerProcess::start()
{
    BOOST_LEAF_ASSIGN (openedStorage_, storage::openFileStorage (settings_.dataDirectory));
    BOOST_LEAF_AUTO (recovered, openedStorage_->recover());
    if (formsFromSeeds (settings_))
        settings_ = withIdentity (settings_, recovered, drawSeed());
    BOOST_LEAF_AUTO (state, startMember (*openedStorage_, settings_, std::move (recovered)));
    createCore (std::move (state));
    createMetrics();
    BOOST_LEAF_CHECK (listen());
    if (formsFromSeeds (settings_))
        startJoiner();
    QObject::connect (&ticker_, &QTimer::timeout, &context_,
                      [this]
                      {
                          feed ([] (ControllerCore& core) { core.onTick(); });
                          noteLeadership();
                          checkStop();
                      });
    ticker_.setTimerType (Qt::PreciseTimer);
    ticker_.start (kTickInterval);
    return {};
}

base::Result<void> ControllerProcess::listen()
{
    BOOST_LEAF_AUTO (peerAddress, listener_.listen (settings_.peerAddress));
    BOOST_LEAF_AUTO (httpAddress, admin_.listen (settings_.httpAddress));
    if (control_)
        BOOST_LEAF_CHECK (control_->listen (settings_.controlAddress));
    log::write (log::Event::kControllerListening, { { "peer_address", peerAddress.toString() },
                                                    { "http_address", httpAddress.toString() } });
    return {};
}

void ControllerProcess::startJoiner()
{
    leaderSeenAt_ = clock_.now();
    cell::MemberJoinRequest request{ base::CellId (settings_.cell), selfMember (settings_),
                                     settings_.isFounding };
    CellJoiner::Handlers handlers;
    handlers.mustAsk = [this] { return mustAskToJoin(); };
    handlers.controllers = [this] { return knownControllers(); };
    handlers.onLeaderFound = [this] (const std::string& address)
    { feed ([&] (ControllerCore& core) { core.addContact (address); }); };
    joiner_ = std::make_unique<CellJoiner> (std::move (request), std::move (handlers));
    joiner_->start();
}

bool ControllerProcess::mustAskToJoin() const
{
    const consensus::RaftStatus status = core_->raftStatus();
    const auto self = static_cast<base::MemberId> (settings_.id);
    if (! consensus::isVoter (status.members, self))
        return true;
    // A voter that hears no leader for long may have been removed without having learnt it.
    return status.leader == 0 && clock_.now() - leaderSeenAt_ > kLeaderlessBeforeAsking;
}

std::vector<base::SocketAddress> ControllerProcess::knownControllers() const
{
    std::vector<base::SocketAddress> controllers = seedPeers (settings_);
    for (const consensus::Member& member : core_->raftStatus().members.members)
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (address, base::SocketAddress::parse (member.peerAddress));
                controllers.push_back (address);
                return {};
            },
            [] (const base::Error&) {});
    }
    std::erase (controllers, settings_.peerAddress);
    return controllers;
}

void ControllerProcess::createCore (consensus::RecoveredState recovered)
{
    const auto self = static_cast<base::MemberId> (settings_.id);
    log::write (log::Event::kControllerRecovered,
                { { "member", self },
                  { "snapshot_index", recovered.snapshot.lastIndex },
                  { "entries", recovered.entries.size() },
                  { "term", recovered.hardState.term } });
    ControllerOptions options = coreOptions (settings_);
    if (formsFromSeeds (settings_))
        options.contacts = seedContacts (settings_);
    core_.emplace (self, std::move (options), std::move (recovered), drawSeed(), clock_.now(),
                   clock_.unixNow());
    StorageThread::Handlers handlers;
    handlers.onPersisted = [this] (std::uint64_t sequence)
    { feed ([&] (ControllerCore& core) { core.onPersisted (sequence); }); };
    handlers.onFailed = [this] (const base::Error& error) { onStorageFailed (error); };
    storage_ = std::make_unique<StorageThread> (std::move (openedStorage_), &context_,
                                                std::move (handlers));
}

void ControllerProcess::createMetrics()
{
    metrics_.addProcessMetrics();
    metrics_.addText ([this] { return core_->metricsText(); });
    metrics_.addText ([this] { return traffic_.metricsText(); });
    metrics_.addText ([this] { return storageMetrics(); });
}

std::string ControllerProcess::storageMetrics() const
{
    const StorageWork work = storage_->work();
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
    if (isFinished_)
        return;
    core_->setTime (clock_.now(), clock_.unixNow());
    input (*core_);
    for (const Effect& effect : core_->takeEffects())
        carryOut (effect);
}

void ControllerProcess::carryOut (const Effect& effect)
{
    std::visit (
        base::Overloaded{
            [this] (const PersistEffect& persistEffect) { persist (persistEffect); },
            [this] (const SendToMember& send) { sendToMember (send); },
            [this] (const SendToRouter& send)
            { listener_.sendToRouter (send.connection, send.message); },
            [this] (const SendOrder& send) { sendOrder (send); },
            [this] (const PollRunner& poll) { pollRunner (poll); },
            [this] (const PollMachineList&) { pollMachineList(); },
            [this] (const AnswerAdmin& answer) { admin_.answer (answer); },
            [this] (const AnswerControl& answer)
            {
                if (control_)
                    control_->answer (answer.ticket, answer.answer);
            },
            [this] (const placement::SendEngineOrder& send) { sendEngineOrder (send); },
            [this] (const placement::PollEngine& poll) { pollEngine (poll); },
        },
        effect);
}

void ControllerProcess::persist (const PersistEffect& effect) { storage_->submit (effect.request); }

void ControllerProcess::sendToMember (const SendToMember& effect)
{
    std::string payload = consensus::encode (effect.message);
    traffic_.record (Direction::kOut, kindOf (effect.message.payload), payload.size());
    transport_.send (effect.address, std::move (payload));
}

void ControllerProcess::sendOrder (const SendOrder& effect)
{
    const base::RunnerId runner = effect.runner;
    const engine::Order order = effect.order;
    runners_.sendOrder (
        effect.address, order,
        [this, runner, order] (const engine::OrderAnswer& answer)
        { feed ([&] (ControllerCore& core) { core.onOrderAnswer (runner, order, answer); }); },
        [this, runner, order]
        { feed ([&] (ControllerCore& core) { core.onOrderFailed (runner, order); }); });
}

void ControllerProcess::pollRunner (const PollRunner& effect)
{
    const base::RunnerId runner = effect.runner;
    runners_.pollReport (
        effect.address,
        [this, runner] (const engine::Report& report)
        { feed ([&] (ControllerCore& core) { core.onReport (runner, report); }); },
        [this, runner] { feed ([&] (ControllerCore& core) { core.onReportFailed (runner); }); });
}

void ControllerProcess::pollMachineList()
{
    runners_.pollMachineList (
        settings_.machinesAddress,
        [this] (const engine::MachineList& list)
        { feed ([&] (ControllerCore& core) { core.onMachineList (list); }); },
        [this] { feed ([] (ControllerCore& core) { core.onMachineListFailed(); }); });
}

void ControllerProcess::sendEngineOrder (const placement::SendEngineOrder& effect)
{
    if (! engines_)
        return;
    const engine::ServiceOrder order = effect.order;
    log::write (log::Event::kEngineOrdered, { { "instance", order.instance },
                                              { "operation", order.isLoad ? "load" : "unload" },
                                              { "model", order.model },
                                              { "adapter", order.adapter },
                                              { "fence", order.fence },
                                              { "sequence", order.expectedSequence.value_or (0) },
                                              { "reason", effect.reason } });
    engines_->sendOrder (
        effect.address, order,
        [this, order] (engine::OrderOutcome outcome)
        {
            log::write (log::Event::kEngineOrderAnswered,
                        { { "instance", order.instance },
                          { "model", order.model },
                          { "adapter", order.adapter },
                          { "outcome", engine::nameOf (outcome) } });
            feed ([&] (ControllerCore& core) { core.onEngineOrderAnswer (order, outcome); });
        });
}

void ControllerProcess::pollEngine (const placement::PollEngine& effect)
{
    if (! engines_)
        return;
    const std::string instance = effect.instance;
    engines_->pollReport (
        instance, effect.address,
        [this, instance] (const engine::ServiceReport* report)
        { feed ([&] (ControllerCore& core) { core.onEngineReport (instance, report); }); });
}

void ControllerProcess::onMemberMessage (const consensus::Message& message)
{
    // An address may have belonged to another member before: its messages are not for this one.
    if (message.to != static_cast<base::MemberId> (settings_.id))
        return;
    feed ([&] (ControllerCore& core) { core.onMemberMessage (message); });
}

void ControllerProcess::onStorageFailed (const base::Error& error)
{
    log::write (log::Event::kStorageWriteFailed,
                { { "kind", base::traitsOf (error.kind).name }, { "error", error.message } });
    feed ([] (ControllerCore& core) { core.onStorageFailed(); });
    finish (base::traitsOf (error.kind).exitCode);
}

void ControllerProcess::noteLeadership()
{
    const consensus::RaftStatus status = core_->raftStatus();
    if (status.leader != 0)
        leaderSeenAt_ = clock_.now();
    if (status.role == lastRole_ && status.leader == lastLeader_)
        return;
    const bool isLeader = status.role == consensus::Role::kLeader;
    const bool wasLeader = lastRole_ == consensus::Role::kLeader;
    if (isLeader && ! wasLeader)
        log::write (log::Event::kBecameLeader, { { "term", status.term } });
    if (! isLeader && wasLeader)
        log::write (log::Event::kLostLeadership, { { "term", status.term } });
    if (status.leader != lastLeader_)
    {
        log::write (log::Event::kLeaderChanged,
                    { { "leader", status.leader }, { "term", status.term } });
    }
    lastRole_ = status.role;
    lastLeader_ = status.leader;
}

void ControllerProcess::beginStop()
{
    if (stopDeadline_)
    {
        finish (0);
        return;
    }
    log::write (log::Event::kProcessStopping);
    stopDeadline_ = clock_.now() + settings_.stopTimeout;
    admin_.stopListening();
    if (control_)
        control_->stopListening();
    feed ([] (ControllerCore& core) { core.beginStop(); });
}

void ControllerProcess::checkStop()
{
    if (! stopDeadline_ || isFinished_)
        return;
    const std::size_t openRequests =
        admin_.openRequests() + (control_ ? control_->openRequests() : 0);
    const bool isDone = core_->isStopped() && openRequests == 0;
    if (isDone)
    {
        finish (0);
    }
    else if (clock_.now() >= *stopDeadline_)
    {
        log::write (log::Event::kStopTimedOut, { { "open_requests", openRequests } });
        finish (0);
    }
}

void ControllerProcess::finish (int exitCode)
{
    if (std::exchange (isFinished_, true))
        return;
    ticker_.stop();
    onFinished_ (exitCode);
}

}  // namespace fernlift::controller
