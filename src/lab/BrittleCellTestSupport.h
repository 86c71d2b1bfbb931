#pragma once

/**
 * Test support: simulates a cell without a network whose runners are brittle. Routers report uses
 * and claims, controllers relay them, and a leader assigns the slots. Elections, disconnected,
 * frozen and restarted routers and late answers occur at random from a seed. Time advances in fixed
 * steps.
 */

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "controller/BrittlenessTable.h"
#include "controller/SlotLedger.h"
#include "controller/SlotRelay.h"
#include "lab/EventQueueTestSupport.h"
#include "proxy/RunnerSlots.h"

namespace fernlift::lab::test
{

/** Injected implementation faults that the checks must detect. */
enum class SlotFault : std::uint8_t
{
    kNone,
    kTwoLeaders,       ///< A former leader goes on assigning beside its successor.
    kDoesNotCollect,   ///< A new leader assigns before routers and relays have reported.
    kForgetsServices,  ///< The leader drops services whose runners are still brittle.
    kLosesReports,     ///< The leader takes each router for idle now and then.
};

/** Options of a simulation. Probabilities apply to each step of 5 ms. */
struct BrittleCellOptions
{
    std::size_t routers = 7;
    std::size_t relays = 4;
    std::size_t runners = 4;
    std::uint32_t slots = 4;
    std::uint32_t maxWaiting = 1;   ///< Requests that a brittle runner lets wait.
    std::uint32_t maxDeclines = 1;  ///< Declines in a second that it bears.
    base::Duration work = base::milliseconds (300);
    double demand = 100;  ///< Requests per second of all routers.
    base::Duration statesFrom = base::seconds (2);
    base::Duration statesUntil = base::seconds (1000);
    base::Duration run = base::seconds (30);
    base::Duration faultsFrom = base::seconds (6);
    double electionChance = 0;
    double cutChance = 0;
    double freezeChance = 0;
    double restartChance = 0;
    double lateAnswerChance = 0;
    SlotFault fault = SlotFault::kNone;
};

class BrittleCell
{
public:
    BrittleCell (std::uint64_t seed, BrittleCellOptions options)
        : m_random (seed), m_options (options)
    {
        m_relays.resize (options.relays);
        m_routers.resize (options.routers);
        m_runners.resize (options.runners);
        for (std::size_t number = 0; number < options.runners; ++number)
        {
            cell::ServiceInstance& instance = m_runners[number].instance;
            instance.id = "runner" + std::to_string (number);
            instance.service = kService;
            instance.slots = options.slots;
            instance.startedAt = 1;
        }
        for (std::size_t number = 0; number < options.routers; ++number)
            restart (number);
        beginLeader();
    }

    void run()
    {
        const base::TimePoint end = m_begin + m_options.run;
        while (m_now < end)
            step();
    }
    /** Falls of all runners. */
    [[nodiscard]] std::size_t falls() const { return m_falls; }
    [[nodiscard]] std::size_t declines() const { return m_declines; }
    /** Share of the slots that were used from `begin` on. */
    [[nodiscard]] double usedShare() const
    {
        const double room = static_cast<double> (m_options.runners) * m_options.slots;
        return m_usedSlotSeconds / (room * m_countedSeconds);
    }
    /** Number of routers that send requests only with a slot. */
    [[nodiscard]] std::size_t limitedRouters() const
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            m_routers, [] (const Router& router) { return router.slots->isNeeded (kService); }));
    }
    /** When the last router ceased to need slots; the end of the run if one did not. */
    [[nodiscard]] base::Duration limitedUntil() const { return m_limitedUntil - m_begin; }

private:
    static constexpr const char* kService = "service";
    static constexpr base::Duration kStep = base::milliseconds (5);
    static constexpr base::Duration kElection = base::milliseconds (500);
    static constexpr base::Duration kContactTime = base::seconds (3);
    static constexpr base::Duration kCountedFrom = base::seconds (6);
    static constexpr base::Duration kRequestTime = base::seconds (3);
    static constexpr base::Duration kMaxWait = base::milliseconds (1300);
    static constexpr base::Duration kDownTime = base::seconds (4);
    static constexpr std::uint32_t kMaxWaitingSound = 12;

    struct Request
    {
        std::size_t router = 0;
        std::uint64_t incarnation = 0;  ///< Of the router.
        cell::Incarnation runner;
        base::TimePoint sentAt{};
        base::TimePoint endsAt{};  ///< End of the work; set once it has a slot.
        base::TimePoint deadline{};
        bool isWorkedOn = false;
    };
    struct Waiting
    {
        proxy::SlotTicket ticket;
        base::TimePoint until{};
    };
    struct Router
    {
        std::unique_ptr<proxy::RunnerSlots> slots;
        std::deque<Waiting> waiting;
        std::uint64_t incarnation = 0;
        std::uint64_t connection = 0;
        bool isConnected = false;
        bool hasServices = false;
        base::TimePoint connectAt{};
        base::TimePoint frozenUntil{};
        std::vector<std::function<void()>> inbox;
        std::vector<std::shared_ptr<Request>> open;
    };
    struct Runner
    {
        cell::ServiceInstance instance;
        std::deque<std::shared_ptr<Request>> requests;  ///< In the order of their arrival.
        std::vector<base::TimePoint> declines;
        bool isUp = true;
    };

    base::Duration upTo (base::Duration longest)
    {
        return base::Duration (m_random.uniformInteger (0, longest.count()));
    }
    bool happens (double chance) { return m_random.uniformReal() < chance; }
    void after (base::Duration delay, std::function<void()> work)
    {
        m_events.add (m_now + delay, std::move (work));
    }
    base::Duration travel() { return base::milliseconds (1) + upTo (base::milliseconds (4)); }
    [[nodiscard]] base::Duration passed() const { return m_now - m_begin; }
    [[nodiscard]] bool isBrittle() const
    {
        return passed() >= m_options.statesFrom && passed() < m_options.statesUntil;
    }
    [[nodiscard]] bool isInForce() const
    {
        return isBrittle() && passed() >= m_options.statesFrom + kContactTime;
    }

    void step()
    {
        m_now += kStep;
        m_events.runUntil (m_now);
        if (passed() >= m_options.faultsFrom)
            injectFaults();
        for (Runner& runner : m_runners)
            runRunner (runner);
        for (std::size_t number = 0; number < m_routers.size(); ++number)
            runRouter (number);
        runControllers();
        if (limitedRouters() > 0)
            m_limitedUntil = m_now;
    }

    void injectFaults()
    {
        if (m_leader && happens (m_options.electionChance))
            elect();
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            if (happens (m_options.cutChance))
                disconnect (number, upTo (base::seconds (3)));
            if (happens (m_options.freezeChance))
                m_routers[number].frozenUntil = m_now + upTo (base::seconds (3));
            if (happens (m_options.restartChance))
                restart (number);
        }
        if (m_leader && m_options.fault == SlotFault::kForgetsServices && happens (0.005))
            forgetServices();
    }
    void forgetServices()
    {
        constexpr std::int64_t kAgeMilliseconds = -10'000;  // From the future, so that it counts.
        for (const Runner& runner : m_runners)
            m_table.onStatement (
                kService,
                { runner.instance.id, runner.instance.startedAt, false, false, kAgeMilliseconds },
                m_now);
    }

    // Controllers:
    void beginLeader()
    {
        const base::Duration early = m_options.fault == SlotFault::kDoesNotCollect
                                         ? base::seconds (10)
                                         : base::Duration::zero();
        m_leader = std::make_unique<controller::SlotLedger> (
            m_term, m_now - early, [this] (const std::string& id) { return findRunner (id); });
        for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
            sendServices (relay, travel());
    }
    const cell::ServiceInstance* findRunner (const std::string& id) const
    {
        const auto found = std::ranges::find_if (
            m_runners, [&] (const Runner& runner) { return runner.instance.id == id; });
        return found == m_runners.end() ? nullptr : &found->instance;
    }
    void elect()
    {
        ++m_term;
        if (m_options.fault == SlotFault::kTwoLeaders)
            m_formerLeader = std::move (m_leader);
        m_leader.reset();
        for (controller::SlotRelay& relay : m_relays)
            relay.onLeaderLost();
        after (kElection,
               [this, term = m_term]
               {
                   if (term != m_term)
                       return;
                   const std::vector<std::string> services = m_table.services();
                   m_table = controller::BrittlenessTable();
                   m_table.begin (services, m_now);
                   beginLeader();
               });
    }
    void sendServices (std::size_t relay, base::Duration delay)
    {
        const cell::BrittleServices services{ m_term, m_table.version(), true, m_table.services() };
        m_sentVersion = m_table.version();
        after (delay,
               [this, relay, services]
               {
                   if (services.term != m_term)
                       return;
                   m_relays[relay].onServices (services, m_now);
                   for (std::size_t number = 0; number < m_routers.size(); ++number)
                   {
                       if (relayOf (number) == relay)
                           sendServicesToRouter (number);
                   }
               });
    }
    [[nodiscard]] std::size_t relayOf (std::size_t router) const
    {
        return router % m_relays.size();
    }
    void runControllers()
    {
        if (! m_leader)
            return;
        if (m_sentVersion != m_table.version())
        {
            for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
                sendServices (relay, travel());
        }
        for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
        {
            if (auto reports = m_relays[relay].takeReports (m_now))
                after (travel(), [this, relay, sent = *reports, term = m_term]
                       { onReports (relay, sent, term); });
        }
        m_leader->poll (m_now);
        sendGrants (*m_leader, m_term);
        if (m_formerLeader)
        {
            m_formerLeader->poll (m_now);
            sendGrants (*m_formerLeader, m_term);
        }
    }
    void onReports (std::size_t relay, const cell::SlotReports& reports, base::Term term)
    {
        if (! m_leader || term != m_term)
            return;
        for (const cell::BrittleStatement& statement : reports.statements)
        {
            const cell::ServiceInstance* const known = findRunner (statement.instance);
            if (known->startedAt != statement.startedAt)
                continue;
            m_table.onStatement (kService, statement, m_now);
            if (statement.isDecline)
                m_leader->onDecline (statement.instance, statement.startedAt, m_now);
        }
        for (cell::SlotReport report : reports.reports)
        {
            if (m_options.fault == SlotFault::kLosesReports && happens (0.02))
                report.uses.clear();
            m_relayOfHolder[report.holder] = relay;
            // With two leaders, half of the routers get their slots from the former one.
            const bool usesFormer = m_formerLeader && report.holder % 2 == 0;
            (usesFormer ? *m_formerLeader : *m_leader).onReport (report, m_now);
        }
        sendGrants (*m_leader, m_term);
    }
    void sendGrants (controller::SlotLedger& leader, base::Term term)
    {
        std::map<std::size_t, cell::SlotGrants> byRelay;
        for (const cell::SlotGrant& grant : leader.takeGrants())
        {
            cell::SlotGrants& grants = byRelay[m_relayOfHolder.at (grant.holder)];
            grants.term = term;
            grants.grants.push_back (grant);
        }
        for (auto& [relay, grants] : byRelay)
        {
            after (travel(),
                   [this, relay = relay, sent = std::move (grants)] { relayGrants (relay, sent); });
        }
    }
    void relayGrants (std::size_t relay, const cell::SlotGrants& grants)
    {
        if (grants.term != m_term)
            return;
        for (const auto& answer : m_relays[relay].onGrants (grants, m_now))
        {
            const auto number = static_cast<std::size_t> (answer.router % kConnections);
            if (m_routers[number].connection == answer.router / kConnections)
                toRouter (number, [this, number, sent = answer.grants]
                          { m_routers[number].slots->onGrants (sent, m_now); });
        }
    }

    // Connections of routers; the relay knows them by connection and router in one number.
    static constexpr std::uint64_t kConnections = 1000;
    [[nodiscard]] std::uint64_t connectionOf (std::size_t number) const
    {
        return m_routers[number].connection * kConnections + number;
    }
    void restart (std::size_t number)
    {
        Router& router = m_routers[number];
        router.waiting.clear();
        // The connections of a process that has ended close; its runners notice a little later.
        for (const std::shared_ptr<Request>& request : std::exchange (router.open, {}))
            after (upTo (base::milliseconds (50)), [this, request] { drop (request); });
        router.inbox.clear();
        ++router.incarnation;
        router.hasServices = false;
        disconnect (number, upTo (base::milliseconds (100)));
        router.slots = std::make_unique<proxy::RunnerSlots> ("router" + std::to_string (number),
                                                             ++m_nextHolder, [] {});
    }
    void disconnect (std::size_t number, base::Duration time)
    {
        Router& router = m_routers[number];
        m_relays[relayOf (number)].onRouterDisconnected (connectionOf (number));
        ++router.connection;
        router.isConnected = false;
        router.connectAt = m_now + time;
        if (router.slots)
            router.slots->onLinkLost();
    }
    void sendServicesToRouter (std::size_t number)
    {
        if (! m_routers[number].isConnected)
            return;
        toRouter (number,
                  [this, number, services = m_relays[relayOf (number)].services()]
                  {
                      m_routers[number].slots->apply (services);
                      m_routers[number].hasServices = true;
                  });
    }
    void toRouter (std::size_t number, std::function<void()> work)
    {
        after (travel(),
               [this, number, work = std::move (work), connection = m_routers[number].connection]
               {
                   Router& router = m_routers[number];
                   if (router.connection == connection)
                       router.inbox.push_back (work);
               });
    }

    void runRouter (std::size_t number)
    {
        Router& router = m_routers[number];
        if (m_now < router.frozenUntil)
            return;
        for (const auto& work : std::exchange (router.inbox, {}))
            work();
        if (! router.isConnected && m_now >= router.connectAt)
        {
            router.isConnected = true;
            ++router.connection;
            sendServicesToRouter (number);
        }
        endOverdue (number);
        const double share =
            m_options.demand / static_cast<double> (m_options.routers) * base::toSeconds (kStep);
        if (router.hasServices && happens (share))
            beginRequest (number);
        useGrants (number);
        if (! router.isConnected)
            return;
        if (auto reports = router.slots->takeReport (m_now))
            after (travel(),
                   [this, number, sent = *reports, connection = connectionOf (number)]
                   {
                       if (connection == connectionOf (number))
                           m_relays[relayOf (number)].onReports (connection, sent, m_now);
                   });
    }
    /// Ends requests at their deadlines; their connections close.
    void endOverdue (std::size_t number)
    {
        Router& router = m_routers[number];
        std::vector<std::shared_ptr<Request>> overdue;
        for (const std::shared_ptr<Request>& request : router.open)
        {
            if (m_now >= request->deadline)
                overdue.push_back (request);
        }
        for (const std::shared_ptr<Request>& request : overdue)
        {
            endAtRouter (number, request);
            drop (request);
        }
    }
    void beginRequest (std::size_t number)
    {
        Router& router = m_routers[number];
        if (! router.slots->isNeeded (kService))
        {
            const auto runner = static_cast<std::size_t> (
                m_random.uniformInteger (0, static_cast<std::int64_t> (m_runners.size()) - 1));
            send (number, runner, 0);
            return;
        }
        proxy::SlotNeed need;
        need.service = kService;
        need.waitsSince = m_now;
        need.lasts = kRequestTime;
        for (const Runner& runner : m_runners)
        {
            if (runner.isUp)
                need.instances.push_back (runner.instance.id);
        }
        if (! need.instances.empty())
            router.waiting.push_back (
                { proxy::SlotTicket (*router.slots, router.slots->addClaim (std::move (need))),
                  m_now + kMaxWait });
    }
    void useGrants (std::size_t number)
    {
        Router& router = m_routers[number];
        for (Waiting& waiting : router.waiting)
        {
            const auto granted = waiting.ticket.grant (m_now);
            if (! granted)
                continue;
            const std::size_t runner = std::stoul (granted->substr (std::string ("runner").size()));
            send (number, runner, waiting.ticket.release());
            waiting.until = m_now;
        }
        std::erase_if (router.waiting,
                       [&] (const Waiting& waiting) { return m_now >= waiting.until; });
    }
    void send (std::size_t number, std::size_t runner, std::uint64_t claim)
    {
        Router& router = m_routers[number];
        auto request = std::make_shared<Request>();
        request->router = number;
        request->incarnation = router.incarnation;
        request->runner = { m_runners[runner].instance.id, m_runners[runner].instance.startedAt };
        request->sentAt = m_now;
        request->deadline = m_now + kRequestTime;
        router.open.push_back (request);
        router.slots->onAttemptBegin (request->runner, kService, request->deadline, claim);
        after (travel(), [this, runner, request] { onArrival (m_runners[runner], request); });
    }
    void endAtRouter (std::size_t number, const std::shared_ptr<Request>& request)
    {
        Router& router = m_routers[number];
        if (std::erase (router.open, request) > 0)
            router.slots->onAttemptEnd (request->runner);
    }

    // Runners:
    void onArrival (Runner& runner, const std::shared_ptr<Request>& request)
    {
        const bool isSame = runner.isUp && runner.instance.startedAt == request->runner.startedAt;
        const std::uint32_t most =
            m_options.slots + (isInForce() ? m_options.maxWaiting : kMaxWaitingSound);
        if (! isSame || runner.requests.size() >= most)
        {
            if (isSame)
                decline (runner);
            answer (request, ! isSame);
            return;
        }
        if (m_routers[request->router].incarnation == request->incarnation)
            runner.requests.push_back (request);
    }
    void decline (Runner& runner)
    {
        if (! isInForce())
            return;
        ++m_declines;
        runner.declines.push_back (m_now);
        const base::TimePoint begin = m_now - base::seconds (1);
        const auto recent = std::ranges::count_if (runner.declines,
                                                   [&] (base::TimePoint at) { return at > begin; });
        if (recent > m_options.maxDeclines)
            fall (runner);
    }
    void fall (Runner& runner)
    {
        ++m_falls;
        runner.isUp = false;
        for (const std::shared_ptr<Request>& request : std::exchange (runner.requests, {}))
            answer (request, true);
        after (kDownTime,
               [&runner]
               {
                   runner.isUp = true;
                   ++runner.instance.startedAt;
               });
    }
    void runRunner (Runner& runner)
    {
        std::vector<std::shared_ptr<Request>> done;
        std::uint32_t inUse = 0;
        for (const std::shared_ptr<Request>& request : runner.requests)
        {
            if (inUse == m_options.slots)
                break;
            ++inUse;
            if (! std::exchange (request->isWorkedOn, true))
                request->endsAt = m_now + m_options.work / 2 + upTo (m_options.work);
            if (m_now >= request->endsAt)
                done.push_back (request);
        }
        if (passed() >= kCountedFrom)
        {
            m_usedSlotSeconds += inUse * base::toSeconds (kStep);
            m_countedSeconds += base::toSeconds (kStep) / static_cast<double> (m_runners.size());
        }
        for (const std::shared_ptr<Request>& request : done)
        {
            std::erase (runner.requests, request);
            answer (request, false);
        }
    }
    void drop (const std::shared_ptr<Request>& request)
    {
        for (Runner& runner : m_runners)
            std::erase (runner.requests, request);
    }
    void answer (const std::shared_ptr<Request>& request, bool isBroken)
    {
        const bool isStated = isBrittle() && ! isBroken;
        const bool isDecline = ! isBroken && ! request->isWorkedOn;
        const base::Duration late = happens (m_options.lateAnswerChance)
                                        ? upTo (base::milliseconds (500))
                                        : base::Duration::zero();
        after (
            travel() + late,
            [this, request, isStated, isBroken, isDecline]
            {
                Router& router = m_routers[request->router];
                if (router.incarnation == request->incarnation)
                    router.inbox.push_back ([this, request, isStated, isBroken, isDecline]
                                            { onAnswer (request, isStated, isBroken, isDecline); });
            });
    }
    void onAnswer (const std::shared_ptr<Request>& request, bool isStated, bool isBroken,
                   bool isDecline)
    {
        Router& router = m_routers[request->router];
        if (! isBroken)
            router.slots->onAnswer (
                { request->runner, kService, request->sentAt, isStated, isDecline, ! isDecline },
                m_now);
        endAtRouter (request->router, request);
    }

    base::Random m_random;
    BrittleCellOptions m_options;
    base::TimePoint m_begin = base::TimePoint (base::seconds (100));
    base::TimePoint m_now = m_begin;
    base::Term m_term = 1;
    std::uint64_t m_sentVersion = 0;
    std::uint64_t m_nextHolder = 0;
    controller::BrittlenessTable m_table;
    std::unique_ptr<controller::SlotLedger> m_leader;
    /// Leader before the last election, which still assigns under SlotFault::kTwoLeaders.
    std::unique_ptr<controller::SlotLedger> m_formerLeader;
    std::vector<controller::SlotRelay> m_relays;
    std::map<std::uint64_t, std::size_t> m_relayOfHolder;
    std::vector<Router> m_routers;
    std::vector<Runner> m_runners;
    EventQueue m_events;
    std::size_t m_falls = 0;
    std::size_t m_declines = 0;
    double m_usedSlotSeconds = 0;
    double m_countedSeconds = 0;
    base::TimePoint m_limitedUntil = m_begin;
};

}  // namespace fernlift::lab::test
