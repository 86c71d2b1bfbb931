#pragma once

/**
 * Test support: simulates a cell without a network and one runner that states a rate limit.
 * Routers request permits, controllers relay the requests, and a leader grants them. Elections,
 * disconnected, frozen and restarted routers and late answers occur at random from a seed. Time
 * advances in fixed steps.
 */

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "controller/InstanceRateLedger.h"
#include "controller/RateRelay.h"
#include "lab/EventQueueTestSupport.h"
#include "proxy/RunnerRates.h"

namespace fernlift::lab::test
{

/** Injected implementation faults that the checks must detect. */
enum class RateFault : std::uint8_t
{
    kNone,
    kTwoLeaders,         ///< A former leader goes on granting beside its successor.
    kForgetsLimit,       ///< The leader drops a limit that the runner still states.
    kStaleAnswerWins,    ///< A late answer counts as the answer to a request sent at its arrival.
    kServesBeforeTable,  ///< A router sends before it has received the table of limited runners.
};

/** Options of a simulation. Probabilities apply to each step of 5 ms. */
struct RateCellOptions
{
    std::size_t routers = 7;
    std::size_t relays = 4;
    double rate = 1;     ///< Rate that the runner states, in requests per second.
    double demand = 30;  ///< Requests per second that would go to the runner without a limit.
    base::Duration statesFrom = base::seconds (2);
    base::Duration statesUntil = base::seconds (1000);
    base::Duration run = base::seconds (30);
    /// Start of faults, after all routers have received the rate. A router that is disconnected
    /// earlier cannot receive it.
    base::Duration faultsFrom = base::seconds (4);
    double electionChance = 0;
    double cutChance = 0;     ///< Probability of a router to lose its controller for up to 3 s.
    double freezeChance = 0;  ///< Probability of a router to freeze for up to 3 s.
    double restartChance = 0;
    double lateAnswerChance = 0.02;  ///< Probability of an answer to be up to 2 s late.
    RateFault fault = RateFault::kNone;
};

class RateCell
{
public:
    RateCell (std::uint64_t seed, RateCellOptions options) : m_random (seed), m_options (options)
    {
        m_relays.resize (options.relays);
        for (std::size_t number = 0; number < options.routers; ++number)
        {
            m_routers.push_back (std::make_unique<Router>());
            restart (number);
        }
        m_leader = std::make_unique<controller::InstanceRateLedger>();
        connectRelays();
    }

    void run()
    {
        const base::TimePoint end = m_begin + m_options.run;
        while (m_now < end)
            step();
    }
    /** Largest number of requests that arrived at the runner within 4 s, in the time from half a
        second after the first answer that stated the rate until the rate is withdrawn.
    */
    [[nodiscard]] std::size_t mostInAWindow() const
    {
        const auto counted = countedArrivals();
        std::size_t most = 0;
        for (auto first = counted.begin(); first != counted.end(); ++first)
        {
            const auto end = std::lower_bound (first, counted.end(), *first + kWindow);
            most = std::max (most, static_cast<std::size_t> (end - first));
        }
        return most;
    }
    [[nodiscard]] std::size_t boundOfAWindow() const
    {
        constexpr double kSlack = 2;
        return static_cast<std::size_t> (
            std::floor (m_options.rate * std::chrono::duration<double> (kWindow).count() + kSlack));
    }
    /** Requests per second that arrived while the rate was stated. */
    [[nodiscard]] double meanRate() const
    {
        const base::TimePoint end = std::min (m_now, m_begin + m_options.statesUntil);
        const double seconds =
            std::chrono::duration<double> (end - *m_firstStated - kSpreadTime).count();
        return static_cast<double> (countedArrivals().size()) / seconds;
    }
    /** Number of routers that treat the runner as limited. */
    [[nodiscard]] std::size_t limitingRouterCount() const
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            m_routers, [] (const auto& router) { return router->rates->isLimited (kRunner, 0); }));
    }
    /** Time when the last router lifted the limit; the end of the run if one did not. */
    [[nodiscard]] base::Duration limitedUntil() const { return m_limitedUntil - m_begin; }

private:
    static constexpr const char* kRunner = "runner";
    static constexpr base::Duration kStep = base::milliseconds (5);
    static constexpr base::Duration kWindow = base::seconds (4);
    static constexpr base::Duration kSpreadTime = base::milliseconds (500);
    static constexpr base::Duration kElection = base::milliseconds (500);

    struct Router
    {
        std::unique_ptr<proxy::RunnerRates> rates;
        std::deque<quota::QuotaClaim> waiting;  ///< Requests awaiting permits; no account if new.
        std::uint64_t incarnation = 0;          ///< Incremented at each restart.
        std::uint64_t connection = 0;           ///< Incremented at each connect and disconnect.
        bool isConnected = false;
        bool hasTable = false;
        base::TimePoint connectAt{};
        base::TimePoint frozenUntil{};
        std::vector<std::function<void()>> inbox;  ///< Messages; handled only while not frozen.
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
    /// Network delay between two machines; messages of a connection keep their order.
    base::Duration travel() { return base::milliseconds (2) + upTo (base::milliseconds (8)); }

    void step()
    {
        m_now += kStep;
        m_events.runUntil (m_now);
        if (m_now - m_begin >= m_options.faultsFrom)
            injectFaults();
        for (std::size_t number = 0; number < m_routers.size(); ++number)
            runRouter (number);
        sendChangedTables();
        if (limitingRouterCount() > 0)
            m_limitedUntil = m_now;
    }

    void injectFaults()
    {
        if (m_leader && happens (m_options.electionChance))
            elect();
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            Router& router = *m_routers[number];
            if (happens (m_options.cutChance))
                disconnect (number, upTo (base::seconds (3)));
            if (happens (m_options.freezeChance))
                router.frozenUntil = m_now + upTo (base::seconds (3));
            if (happens (m_options.restartChance))
                restart (number);
        }
        if (m_leader && m_options.fault == RateFault::kForgetsLimit && happens (0.005))
            m_leader->keepOnly ([] (const cell::InstanceRate&) { return false; });
    }

    // Controllers:
    void elect()
    {
        ++m_term;
        if (m_options.fault == RateFault::kTwoLeaders)
            m_formerLeader = std::move (m_leader);
        m_leader.reset();
        for (controller::RateRelay& relay : m_relays)
            relay.onLeaderLost();
        after (kElection,
               [this]
               {
                   const auto chosen = static_cast<std::size_t> (m_random.uniformInteger (
                       0, static_cast<std::int64_t> (m_relays.size()) - 1));
                   m_leader = std::make_unique<controller::InstanceRateLedger>();
                   m_leader->begin (m_relays[chosen].table (m_now).limited, m_now);
                   connectRelays();
               });
    }
    void connectRelays()
    {
        for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
        {
            after (travel(),
                   [this, relay]
                   {
                       m_relays[relay].onLeaderLost();
                       sendTable (relay);
                   });
        }
        m_sentVersion = m_leader->version();
    }
    void sendChangedTables()
    {
        if (! m_leader || m_sentVersion == m_leader->version())
            return;
        m_sentVersion = m_leader->version();
        for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
            sendTable (relay);
    }
    void sendTable (std::size_t relay)
    {
        if (! m_leader)
            return;
        cell::InstanceRateUpdate table{ m_term, m_leader->version(), true,
                                        m_leader->limited (m_now) };
        after (base::milliseconds (10),
               [this, relay, table, term = m_term]
               {
                   if (term != m_term)
                       return;
                   m_relays[relay].onUpdate (table, m_now);
                   for (std::size_t number = 0; number < m_routers.size(); ++number)
                   {
                       if (relayOf (number) == relay)
                           sendTableToRouter (number);
                   }
               });
    }
    std::size_t relayOf (std::size_t router) const { return router % m_relays.size(); }

    // Connections of routers:
    void restart (std::size_t number)
    {
        Router& router = *m_routers[number];
        router.rates = std::make_unique<proxy::RunnerRates> (number + 1, [] {});
        router.rates->setRouters (static_cast<std::uint32_t> (m_options.routers));
        router.waiting.clear();
        router.inbox.clear();
        ++router.incarnation;
        router.hasTable = m_options.fault == RateFault::kServesBeforeTable;
        disconnect (number, upTo (base::milliseconds (100)));
    }
    void disconnect (std::size_t number, base::Duration time)
    {
        Router& router = *m_routers[number];
        ++router.connection;
        router.isConnected = false;
        router.connectAt = m_now + time;
        router.rates->onLinkLost();
    }
    /// Sends the relay's table to a router on its current connection, if it has one.
    void sendTableToRouter (std::size_t number)
    {
        if (! m_routers[number]->isConnected)
            return;
        toRouter (number,
                  [this, number, table = m_relays[relayOf (number)].table (m_now)]
                  {
                      m_routers[number]->rates->apply (table, m_now);
                      m_routers[number]->hasTable = true;
                  });
    }
    void toRouter (std::size_t number, std::function<void()> work)
    {
        after (base::milliseconds (5),
               [this, number, work = std::move (work), connection = m_routers[number]->connection]
               {
                   Router& router = *m_routers[number];
                   if (router.connection == connection)
                       router.inbox.push_back (work);
               });
    }

    void runRouter (std::size_t number)
    {
        Router& router = *m_routers[number];
        if (m_now < router.frozenUntil)
            return;
        for (const auto& work : std::exchange (router.inbox, {}))
            work();
        if (! router.isConnected && m_now >= router.connectAt)
        {
            router.isConnected = true;
            ++router.connection;
            sendTableToRouter (number);
        }
        const double share = m_options.demand / static_cast<double> (m_options.routers)
                             * std::chrono::duration<double> (kStep).count();
        if (router.hasTable && happens (share))
            router.waiting.emplace_back();
        for (quota::QuotaClaim& claim : std::exchange (router.waiting, {}))
            tryRequest (number, std::move (claim));
        if (router.isConnected)
            exchangeMessages (number);
    }
    void tryRequest (std::size_t number, quota::QuotaClaim claim)
    {
        Router& router = *m_routers[number];
        const bool isNew = claim.account.empty();
        if (isNew && ! router.rates->isLimited (kRunner, 0))
        {
            send (number);
            return;
        }
        if (isNew && router.rates->waitFor (kRunner, 0, m_now) > base::Duration::zero())
            return;  // The request goes to another runner.
        claim.account = kRunner;
        const quota::QuotaAnswer answer = router.rates->take (claim, m_now);
        if (answer == quota::QuotaAnswer::kGranted)
            send (number);
        else if (answer == quota::QuotaAnswer::kPending)
            router.waiting.push_back (std::move (claim));
    }
    void exchangeMessages (std::size_t number)
    {
        Router& router = *m_routers[number];
        if (auto report = router.rates->takeReport (m_now))
            after (base::milliseconds (8),
                   [this, report = *report]
                   {
                       for (const auto& statement : report.statements)
                       {
                           if (m_leader)
                               m_leader->onStatement (statement, 0, m_now);
                       }
                   });
        auto request = router.rates->takeRequest (m_now);
        if (! request)
            return;
        after (travel(), [this, number, request = *request] { requestPermits (number, request); });
    }
    void requestPermits (std::size_t number, const cell::InstancePermitRequest& request)
    {
        controller::RateRelay& relay = m_relays[relayOf (number)];
        if (! relay.isLeaderGranting())
            return;
        const cell::InstancePermitRequest passed = relay.onRequest (number, request, m_now);
        // With two leaders, half of the routers get their grants from the former one.
        const bool usesFormerLeader = m_formerLeader && number % 2 == 0;
        controller::InstanceRateLedger* const leader =
            usesFormerLeader ? m_formerLeader.get() : m_leader.get();
        if (leader == nullptr)
            return;
        cell::InstancePermitGrant grant{ leader->answer (passed.claims, m_now) };
        after (travel(),
               [this, number, grant]
               {
                   if (auto answer = m_relays[relayOf (number)].onGrant (grant))
                       toRouter (number, [this, number, passedOn = answer->grant]
                                 { m_routers[number]->rates->onGrant (passedOn, m_now); });
               });
    }

    // Runner:
    void send (std::size_t number)
    {
        const base::TimePoint sentAt = m_now;
        after (travel(), [this, number, sentAt, incarnation = m_routers[number]->incarnation]
               { onArrival (number, sentAt, incarnation); });
    }
    void onArrival (std::size_t number, base::TimePoint sentAt, std::uint64_t incarnation)
    {
        m_arrivals.push_back (m_now);
        after (base::milliseconds (20) + upTo (base::milliseconds (100)),
               [this, number, sentAt, incarnation]
               {
                   const base::Duration passed = m_now - m_begin;
                   const bool isStated =
                       passed >= m_options.statesFrom && passed < m_options.statesUntil;
                   const base::Duration late = happens (m_options.lateAnswerChance)
                                                   ? upTo (base::seconds (2))
                                                   : base::Duration::zero();
                   after (travel() + late, [this, number, sentAt, incarnation, isStated]
                          { onAnswer (number, sentAt, incarnation, isStated); });
               });
    }
    void onAnswer (std::size_t number, base::TimePoint sentAt, std::uint64_t incarnation,
                   bool isStated)
    {
        Router& router = *m_routers[number];
        if (router.incarnation != incarnation)
            return;
        if (isStated && ! m_firstStated)
            m_firstStated = m_now;
        router.inbox.push_back (
            [this, number, sentAt, isStated]
            {
                proxy::RateObservation seen{ kRunner, 0, sentAt, true };
                if (m_options.fault == RateFault::kStaleAnswerWins)
                    seen.sentAt = m_now + base::seconds (1);
                proxy::StatedRate stated = proxy::UnlimitedRate{};
                if (isStated)
                    stated = proxy::LimitedRate{ m_options.rate };
                m_routers[number]->rates->onAnswer (seen, stated, m_now);
            });
    }
    [[nodiscard]] std::vector<base::TimePoint> countedArrivals() const
    {
        std::vector<base::TimePoint> counted;
        const base::TimePoint end = m_begin + m_options.statesUntil;
        std::ranges::copy_if (
            m_arrivals, std::back_inserter (counted),
            [&] (base::TimePoint at)
            { return m_firstStated && at >= *m_firstStated + kSpreadTime && at < end; });
        return counted;
    }

    base::Random m_random;
    RateCellOptions m_options;
    base::TimePoint m_begin = base::TimePoint (base::seconds (100));
    base::TimePoint m_now = m_begin;
    base::Term m_term = 1;
    std::uint64_t m_sentVersion = 0;
    std::unique_ptr<controller::InstanceRateLedger> m_leader;
    /// Leader before the last election, which still grants under RateFault::kTwoLeaders.
    std::unique_ptr<controller::InstanceRateLedger> m_formerLeader;
    std::vector<controller::RateRelay> m_relays;
    std::vector<std::unique_ptr<Router>> m_routers;
    EventQueue m_events;
    std::vector<base::TimePoint> m_arrivals;
    std::optional<base::TimePoint> m_firstStated;
    base::TimePoint m_limitedUntil = m_begin;
};

}  // namespace fernlift::lab::test
