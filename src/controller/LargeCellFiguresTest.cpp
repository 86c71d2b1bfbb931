/**
 * Processor time of the controllers of a large cell: nine controllers, 300 routers and 3,000
 * runners that hold three of 330 models each. Prints, for each phase of the run, the processor time
 * of the leader and of the others, the longest time of one input, the number of whole tables sent,
 * and the bytes between controllers and to routers by kind of message, before compression. Sockets
 * and the platform's format are not included; no time is asserted.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "base/Random.h"
#include "consensus/ConsensusCodec.h"
#include "controller/ControlTraffic.h"
#include "controller/ControllerCore.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr std::size_t kControllers = 9;
constexpr std::size_t kRouters = 300;
constexpr std::size_t kRunners = 3000;
constexpr int kModels = 330;
constexpr int kBusyModels = 75;
constexpr int kAdapters = 12;
constexpr base::Duration kStep = milliseconds (5);
constexpr base::Duration kTickInterval = milliseconds (10);
constexpr base::Duration kHeartbeatInterval = milliseconds (1200);
constexpr base::Duration kDemandInterval = seconds (2);
constexpr base::Duration kLeaseInterval = milliseconds (667);
constexpr base::Duration kRetryDelay = milliseconds (100);
constexpr RouterConnection kFirstRouterConnection = 1'000'000;

std::string modelName (int number) { return "model-" + std::to_string (number); }

config::CatalogueOutcome parseCatalogueOfModels (std::string_view text)
{
    config::CatalogueOutcome outcome;
    outcome.catalogue.emplace();
    outcome.catalogue->version = std::stoull (std::string (text));
    config::Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 64;
    service.engine->memoryMb = 230'000;
    service.engine->adapterSlots = 8;
    service.engine->loadsPerSecond = 29;
    for (int number = 0; number < kModels; ++number)
    {
        config::EngineModel model;
        model.name = modelName (number);
        model.memoryMb = 72'700;
        model.loadTime = seconds (6);
        service.engine->models.push_back (model);
    }
    outcome.catalogue->services.services.push_back (service);
    return outcome;
}

double threadMilliseconds()
{
    timespec time{};
    clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double> (time.tv_sec) * 1e3 + static_cast<double> (time.tv_nsec) / 1e6;
}

/// A router that applies updates, requests leases and reports demand.
struct Router
{
    cell::RouterHello hello;
    std::size_t home = 0;  ///< Index of the controller that it connects to.
    RouterConnection connection = 0;
    std::uint64_t sequence = 0;
    base::TimePoint connectAt{};
    base::TimePoint leaseAt{};
    base::TimePoint demandAt{};
    base::TimePoint leaseUntil{};
    std::vector<cell::EngineDemand> demands;  ///< Demand of the last report.
};

struct Runner
{
    InstanceHeartbeat heartbeat;
    std::size_t home = 0;
    base::TimePoint heartbeatAt{};
    std::uint64_t orders = 0;
};

struct Controller
{
    std::unique_ptr<ControllerCore> core;
    std::deque<std::function<void (ControllerCore&)>> inputs;
    base::TimePoint tickAt{};
    double used = 0;     ///< Milliseconds of processor time since the phase began.
    double longest = 0;  ///< Longest processor time of one input, in milliseconds.
    RouterConnection link = 0;
    std::size_t linkedTo = 0;
};

/// Count and size of the messages of one kind.
struct Traffic
{
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

/** Messages arrive one step after they were sent; disks sync at once. */
class LargeCell
{
public:
    LargeCell();

    void run (base::Duration duration, const char* phase);
    /// Whether a new configuration is acknowledged within 10 s.
    bool configure (const std::string& version);
    void killLeader();
    [[nodiscard]] std::size_t leader() const;
    [[nodiscard]] std::size_t servingRouters() const;

private:
    using Input = std::function<void (ControllerCore&)>;

    void step();
    void processInputs (std::size_t number);
    void input (std::size_t number, Input input);
    void schedule (std::function<void()> event) { m_next.push_back (std::move (event)); }
    void recordTraffic (std::string_view from, std::string_view kind, std::size_t bytes,
                        std::size_t copies);
    void printTraffic (base::Duration duration) const;
    void stepOf (Router& router);
    void connect (Router& router);
    void reportDemand (Router& router);
    void stepOf (Runner& runner);
    void deliver (std::size_t from, RouterConnection connection,
                  const std::shared_ptr<const cell::ControllerToRouter>& message);
    void receive (Router& router, const cell::ControllerToRouter& message);
    void reconnectElsewhere (Router& router);
    void answer (Runner& runner, const ControlAnswer& answer);
    static engine::OrderOutcome carryOut (Runner& runner, const engine::ServiceOrder& order);
    [[nodiscard]] int draw (int bound)
    {
        return static_cast<int> (m_random.uniformInteger (0, bound - 1));
    }

    void apply (std::size_t from, const PersistEffect& effect);
    void apply (std::size_t from, const SendToMember& effect);
    void apply (std::size_t from, const ConnectToLeader& effect);
    void apply (std::size_t from, const SendToLeader& effect);
    void apply (std::size_t from, const SendToRouter& effect);
    void apply (std::size_t from, const BroadcastToRouters& effect);
    void apply (std::size_t from, const AnswerControl& effect);
    void apply (std::size_t from, const placement::SendEngineOrder& effect);
    void apply (std::size_t from, const placement::PollEngine& effect);
    template <class Other>
    void apply (std::size_t /*from*/, const Other& /*effect*/)
    {
    }

    base::TimePoint m_now{ seconds (1) };
    base::Random m_random{ 7 };
    std::vector<Controller> m_controllers{ kControllers };
    std::vector<Router> m_routers{ kRouters };
    std::vector<Runner> m_runners{ kRunners };
    std::vector<std::function<void()>> m_next;
    std::map<std::string, std::size_t> m_runnerById;
    RouterConnection m_links = 0;
    std::uint64_t m_configured = 0;
    std::size_t m_wholeTables = 0;
    std::map<std::string, Traffic> m_traffic;  ///< Traffic of the phase by sender and kind.
};

std::size_t numberAt (const std::string& address) { return std::stoul (address.substr (2)); }

LargeCell::LargeCell()
{
    ControllerOptions options;
    options.cell = base::CellId ("c");
    options.hasMachineList = false;
    options.catalogueParser = &parseCatalogueOfModels;
    consensus::RecoveredState recovered;
    for (std::size_t number = 0; number < kControllers; ++number)
    {
        const std::string address = "a:" + std::to_string (number);
        recovered.initialMembers.members.push_back ({ number + 1, address, address, "zone", true });
    }
    for (std::size_t number = 0; number < kControllers; ++number)
        m_controllers[number].core =
            std::make_unique<ControllerCore> (number + 1, options, recovered, number, m_now, 0);
    for (std::size_t number = 0; number < kRouters; ++number)
    {
        Router& router = m_routers[number];
        router.hello.router = base::RouterId ("r" + std::to_string (number));
        router.hello.cell = base::CellId ("c");
        router.hello.acceptsLastKnownState = true;
        router.home = number % kControllers;
        router.connectAt = m_now + seconds (1) + milliseconds (draw (100));
        router.demandAt = m_now + milliseconds (draw (2000));
    }
    for (std::size_t number = 0; number < kRunners; ++number)
    {
        Runner& runner = m_runners[number];
        cell::ServiceInstance& instance = runner.heartbeat.instance;
        instance.id = "i-" + std::to_string (100'000 + number);
        instance.service = "llm";
        instance.address = "10.0.0.1:" + std::to_string (number);
        instance.zone = "zone-" + std::to_string (number % 6);
        instance.slots = 64;
        m_runnerById[instance.id] = number;
        runner.home = number % kControllers;
        runner.heartbeatAt = m_now + seconds (1) + milliseconds (draw (1200));
        for (int place = 0; place < 3; ++place)
        {
            const int model = (static_cast<int> (number) * 3 + place) % kModels;
            runner.heartbeat.models.push_back (
                { modelName (model), 1, { "adapter-0", "adapter-1" } });
        }
        for (int place = 0; place < 2; ++place)
            runner.heartbeat.inMemory.push_back (modelName (draw (kModels)));
        for (int place = 0; place < 12; ++place)
            runner.heartbeat.onDisk.push_back (modelName (draw (kModels)));
    }
}

std::size_t LargeCell::leader() const
{
    for (std::size_t number = 0; number < kControllers; ++number)
    {
        if (m_controllers[number].core && m_controllers[number].core->holdsLease())
            return number;
    }
    return kControllers;
}

std::size_t LargeCell::servingRouters() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_routers, [this] (const Router& router) { return router.leaseUntil > m_now; }));
}

void LargeCell::killLeader()
{
    const std::size_t number = leader();
    m_controllers[number].core.reset();
    m_controllers[number].inputs.clear();
    for (Controller& other : m_controllers)
    {
        if (! other.core || other.link == 0 || other.linkedTo != number)
            continue;
        other.link = 0;
        other.inputs.emplace_back ([] (ControllerCore& core) { core.onLeaderLost(); });
    }
    for (Router& router : m_routers)
    {
        if (router.home == number)
            reconnectElsewhere (router);
    }
}

void LargeCell::input (std::size_t number, Input input)
{
    if (m_controllers[number].core)
        m_controllers[number].inputs.push_back (std::move (input));
}

void LargeCell::processInputs (std::size_t number)
{
    Controller& controller = m_controllers[number];
    if (! controller.core)
        return;
    if (m_now >= controller.tickAt)
    {
        controller.tickAt = m_now + kTickInterval;
        controller.inputs.emplace_front ([] (ControllerCore& core) { core.onTick(); });
    }
    while (! controller.inputs.empty())
    {
        const Input next = std::move (controller.inputs.front());
        controller.inputs.pop_front();
        const double began = threadMilliseconds();
        controller.core->setTime (m_now, base::toMilliseconds (m_now - base::TimePoint{}));
        next (*controller.core);
        for (const Effect& effect : controller.core->takeEffects())
            std::visit ([&] (const auto& value) { apply (number, value); }, effect);
        const double used = threadMilliseconds() - began;
        controller.used += used;
        controller.longest = std::max (controller.longest, used);
    }
}

void LargeCell::apply (std::size_t from, const PersistEffect& effect)
{
    input (from, [sequence = effect.request.sequence] (ControllerCore& core)
           { core.onPersisted (sequence); });
}

void LargeCell::apply (std::size_t /*from*/, const SendToMember& effect)
{
    const auto bytes = std::make_shared<std::string> (consensus::encode (effect.message));
    recordTraffic ("member", kindOf (effect.message.payload), bytes->size(), 1);
    const auto receive = [bytes] (ControllerCore& core)
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (message, consensus::decode (*bytes));
                core.onMemberMessage (message);
                return {};
            },
            [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    };
    schedule ([this, receive, to = numberAt (effect.address)] { input (to, receive); });
}

void LargeCell::apply (std::size_t from, const ConnectToLeader& effect)
{
    Controller& controller = m_controllers[from];
    controller.linkedTo = numberAt (effect.address);
    controller.link = m_controllers[controller.linkedTo].core ? ++m_links : 0;
    if (controller.link == 0)
        return;
    schedule (
        [this, from, link = controller.link]
        {
            if (m_controllers[from].link == link)
                input (from, [] (ControllerCore& core) { core.onLeaderConnected(); });
        });
}

void LargeCell::apply (std::size_t from, const SendToLeader& effect)
{
    const auto bytes = std::make_shared<std::string> (wire::encodeMessage (effect.message));
    recordTraffic ("relay", kindOf (effect.message), bytes->size(), 1);
    const RouterConnection link = m_controllers[from].link;
    const auto receive = [bytes, link] (ControllerCore& core)
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (message, wire::decodeMessage<cell::RouterToController> (*bytes));
                core.onRouterMessage (link, message);
                return {};
            },
            [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    };
    if (link != 0)
        schedule ([this, receive, to = m_controllers[from].linkedTo] { input (to, receive); });
}

void LargeCell::apply (std::size_t from, const SendToRouter& effect)
{
    apply (from, BroadcastToRouters{ { effect.connection }, effect.message });
}

void LargeCell::apply (std::size_t from, const BroadcastToRouters& effect)
{
    const std::size_t bytes = wire::encodeMessage (effect.message).size();
    const auto routers = static_cast<std::size_t> (
        std::ranges::count_if (effect.connections, [] (RouterConnection connection)
                               { return connection >= kFirstRouterConnection; }));
    recordTraffic ("leader to relays", kindOf (effect.message), bytes,
                   effect.connections.size() - routers);
    recordTraffic ("to routers", kindOf (effect.message), bytes, routers);
    const auto message = std::make_shared<const cell::ControllerToRouter> (effect.message);
    for (const RouterConnection connection : effect.connections)
        schedule ([this, from, connection, message] { deliver (from, connection, message); });
}

void LargeCell::deliver (std::size_t from, RouterConnection connection,
                         const std::shared_ptr<const cell::ControllerToRouter>& message)
{
    if (connection >= kFirstRouterConnection)
    {
        Router& router = m_routers[connection % kRouters];
        if (router.connection == connection)
            receive (router, *message);
        return;
    }
    for (std::size_t number = 0; number < kControllers; ++number)
    {
        const Controller& controller = m_controllers[number];
        if (controller.link == connection && controller.linkedTo == from)
            input (number, [message] (ControllerCore& core) { core.onLeaderMessage (*message); });
    }
}

void LargeCell::apply (std::size_t /*from*/, const AnswerControl& effect)
{
    schedule (
        [this, effect]
        {
            const bool isDone = effect.answer.verdict == ControlVerdict::kDone;
            if (effect.ticket < kRunners)
                answer (m_runners[effect.ticket], effect.answer);
            else if (isDone)
                m_configured = effect.ticket;
        });
}

void LargeCell::answer (Runner& runner, const ControlAnswer& answer)
{
    if (answer.verdict != ControlVerdict::kDone)
        runner.heartbeatAt = m_now + kRetryDelay;
    runner.home = answer.verdict == ControlVerdict::kUnavailable ? (runner.home + 1) % kControllers
                                                                 : numberAt (answer.leaderAddress);
}

void LargeCell::apply (std::size_t from, const placement::SendEngineOrder& effect)
{
    schedule (
        [this, from, order = effect.order]
        {
            const auto outcome = carryOut (m_runners[m_runnerById.at (order.instance)], order);
            input (from, [order, outcome] (ControllerCore& core)
                   { core.onEngineOrderAnswer (order, outcome); });
        });
}

engine::OrderOutcome LargeCell::carryOut (Runner& runner, const engine::ServiceOrder& order)
{
    if (order.expectedSequence.value_or (0) != runner.orders)
        return engine::OrderOutcome::kBusy;
    ++runner.orders;
    std::vector<cell::HeldModel>& models = runner.heartbeat.models;
    if (order.adapter.empty())
    {
        std::erase_if (models, [&] (const auto& held) { return held.model == order.model; });
        if (order.isLoad)
            models.push_back ({ order.model, 1, {} });
        return engine::OrderOutcome::kUnderWay;
    }
    const auto held = std::ranges::find (models, order.model, &cell::HeldModel::model);
    if (held == models.end())
        return engine::OrderOutcome::kInvalid;
    std::erase (held->adapters, order.adapter);
    if (order.isLoad)
        held->adapters.push_back (order.adapter);
    return engine::OrderOutcome::kUnderWay;
}

void LargeCell::apply (std::size_t from, const placement::PollEngine& effect)
{
    schedule (
        [this, from, id = effect.instance]
        {
            const Runner& runner = m_runners[m_runnerById.at (id)];
            engine::ServiceReport report;
            report.sequence = runner.orders;
            for (const cell::HeldModel& held : runner.heartbeat.models)
                report.models.push_back ({ held.model, held.version, held.adapters });
            input (from,
                   [id, report] (ControllerCore& core) { core.onEngineReport (id, &report); });
        });
}

void LargeCell::reconnectElsewhere (Router& router)
{
    router.connection = 0;
    router.home = (router.home + 1 + static_cast<std::size_t> (draw (8))) % kControllers;
    router.connectAt = m_now + kRetryDelay;
}

void LargeCell::receive (Router& router, const cell::ControllerToRouter& message)
{
    if (const auto* grant = std::get_if<cell::LeaseGrant> (&message))
    {
        router.leaseUntil = m_now + milliseconds (grant->durationMilliseconds);
    }
    else if (const auto* configuration = std::get_if<cell::ConfigurationUpdate> (&message))
    {
        router.hello.configurationVersion = configuration->version;
        router.hello.configurationDigest = configuration->digest;
        router.leaseAt = m_now;
    }
    else if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
    {
        m_wholeTables += instances->fromVersion == 0 ? 1 : 0;
        router.hello.instanceTerm = instances->term;
        router.hello.instanceVersion = instances->toVersion;
        if (instances->mustConfirm)
            router.leaseAt = m_now;
    }
    else if (std::holds_alternative<cell::NotLeaderReply> (message))
    {
        reconnectElsewhere (router);
    }
}

void LargeCell::stepOf (Router& router)
{
    if (router.connection == 0 && m_now >= router.connectAt)
        connect (router);
    if (router.connection == 0)
        return;
    if (m_now >= router.leaseAt)
    {
        router.leaseAt = m_now + kLeaseInterval;
        cell::LeaseRequest request;
        request.sequence = ++router.sequence;
        request.configurationVersion = router.hello.configurationVersion;
        request.configurationDigest = router.hello.configurationDigest;
        request.instanceTerm = router.hello.instanceTerm;
        request.instanceVersion = router.hello.instanceVersion;
        input (router.home, [connection = router.connection, request] (ControllerCore& core)
               { core.onRouterMessage (connection, request); });
    }
    if (m_now >= router.demandAt)
        reportDemand (router);
}

void LargeCell::connect (Router& router)
{
    if (! m_controllers[router.home].core)
        return reconnectElsewhere (router);
    // The remainder by kRouters is the router's index, by which messages find their router.
    const auto number = static_cast<RouterConnection> (&router - m_routers.data());
    router.connection = kFirstRouterConnection + ++router.sequence * kRouters + number
                        - kFirstRouterConnection % kRouters;
    router.leaseAt = m_now;
    input (router.home, [connection = router.connection, hello = router.hello] (
                            ControllerCore& core) { core.onRouterMessage (connection, hello); });
}

void LargeCell::reportDemand (Router& router)
{
    router.demandAt = m_now + kDemandInterval;
    cell::EngineDemandReport report;
    for (const cell::EngineDemand& ended : router.demands)
        report.demands.push_back ({ ended.service, ended.model, ended.adapter });
    router.demands.clear();
    for (int number = 0; number < 4; ++number)
    {
        cell::EngineDemand demand{ "llm", modelName (draw (kBusyModels)), "", 0, 1, 1, 1, 600 };
        if (draw (2) == 0)
            demand.adapter = "adapter-" + std::to_string (draw (kAdapters));
        router.demands.push_back (demand);
        report.demands.push_back (std::move (demand));
    }
    input (router.home, [connection = router.connection, report] (ControllerCore& core)
           { core.onRouterMessage (connection, report); });
}

void LargeCell::stepOf (Runner& runner)
{
    if (m_now < runner.heartbeatAt)
        return;
    if (! m_controllers[runner.home].core)
        runner.home = static_cast<std::size_t> (draw (kControllers));
    runner.heartbeatAt = m_now + kHeartbeatInterval;
    ++runner.heartbeat.sequence;
    const auto ticket = static_cast<ControlTicket> (&runner - m_runners.data());
    input (runner.home, [ticket, heartbeat = runner.heartbeat] (ControllerCore& core)
           { core.onControl (ticket, heartbeat); });
}

void LargeCell::recordTraffic (std::string_view from, std::string_view kind, std::size_t bytes,
                               std::size_t copies)
{
    if (copies == 0)
        return;
    Traffic& traffic = m_traffic[std::string (from) + ", " + std::string (kind)];
    traffic.messages += copies;
    traffic.bytes += copies * bytes;
}

void LargeCell::printTraffic (base::Duration duration) const
{
    const double perSecond = 1000 / static_cast<double> (base::toMilliseconds (duration));
    for (const auto& [name, traffic] : m_traffic)
    {
        std::cout << "    " << name << ": " << static_cast<double> (traffic.messages) * perSecond
                  << " messages, " << static_cast<double> (traffic.bytes) * perSecond / 1000
                  << " KB a second\n";
    }
}

void LargeCell::step()
{
    m_now += kStep;
    for (const auto& event : std::exchange (m_next, {}))
        event();
    for (Router& router : m_routers)
        stepOf (router);
    for (Runner& runner : m_runners)
        stepOf (runner);
    for (std::size_t number = 0; number < kControllers; ++number)
        processInputs (number);
}

void LargeCell::run (base::Duration duration, const char* phase)
{
    for (Controller& controller : m_controllers)
        controller.used = controller.longest = 0;
    m_wholeTables = 0;
    m_traffic.clear();
    for (const base::TimePoint until = m_now + duration; m_now < until;)
        step();
    const std::size_t leading = leader();
    double others = 0;
    for (std::size_t number = 0; number < kControllers; ++number)
    {
        if (number != leading)
            others = std::max (others, m_controllers[number].used);
    }
    const double perCent = 100 / static_cast<double> (base::toMilliseconds (duration));
    const Controller& controller = m_controllers.at (leading);
    std::cout << phase << ": leader " << controller.used * perCent << " % of a core, longest input "
              << controller.longest << " ms; busiest other " << others * perCent
              << " %; whole tables " << m_wholeTables << "\n";
    printTraffic (duration);
}

bool LargeCell::configure (const std::string& version)
{
    const ControlTicket ticket = kRunners + std::stoull (version);
    base::TimePoint sendAt = m_now;
    for (const base::TimePoint until = m_now + seconds (10);
         m_now < until && m_configured != ticket;)
    {
        const std::size_t to = leader();
        if (m_now >= sendAt && to < kControllers)
        {
            sendAt = m_now + seconds (2);
            input (to, [version, ticket] (ControllerCore& core)
                   { core.onControl (ticket, ReplaceConfiguration{ version }); });
        }
        step();
    }
    return m_configured == ticket;
}

TEST (LargeCellFigures, PrintsWhatTheControllersUse)
{
    LargeCell cell;
    cell.run (seconds (3), "begins");
    ASSERT_TRUE (cell.configure ("1"));
    cell.run (seconds (4), "first reports of engines");
    cell.run (seconds (6), "steady");
    EXPECT_EQ (cell.servingRouters(), kRouters);
    cell.killLeader();
    cell.run (seconds (4), "after the leader is gone");
    EXPECT_EQ (cell.servingRouters(), kRouters);
    EXPECT_TRUE (cell.configure ("2"));
}

}  // namespace
}  // namespace fernlift::controller
