#pragma once

/**
 * Test support: simulates a cell without a network whose routers share a reserve of retries at one
 * service, which breaks off most of its requests from some moment on. Routers, relays and the
 * leader use the code of the processes. Elections, routers that are disconnected, frozen,
 * restarted or moved to another relay, and late messages occur at random from a seed. Time advances
 * in fixed steps.
 */

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "controller/RetryReserveLedger.h"
#include "controller/RetryReserveRelay.h"
#include "dispatch/RetryBudget.h"
#include "lab/EventQueueTestSupport.h"
#include "proxy/RetryReserve.h"

namespace fernlift::lab::test
{

/** Injected implementation faults that the check must detect. */
enum class ReserveFault : std::uint8_t
{
    kNone,
    /// Each router divides the reserve by the number of routers at the time of its connection.
    kDividesByKnownRouters,
    kTwoLeaders,       ///< A former leader goes on granting beside its successor.
    kForgetsShares,    ///< A new leader does not wait until earlier shares have ended.
    kUsesEndedShares,  ///< Routers use their share beyond its end.
    kStartsWithPart,   ///< A router begins with its whole part in place of earning it.
};

/** Options of a simulation. Probabilities apply to each router, or leader, and second. */
struct ReserveCellOptions
{
    std::size_t routers = 8;
    std::size_t relays = 3;
    /// Further routers that the leader does not count, such as a second process with the same name.
    std::size_t uncounted = 0;
    /// Routers of an earlier build, which divide the reserve by the number of all routers.
    std::size_t earlierBuilds = 0;
    double reservePerRouter = 7;
    double requestsPerRouter = 7.5;  ///< Per second.
    double brokenShare = 0.9;
    std::uint32_t maxAttempts = 3;
    base::Duration startInterval =
        base::milliseconds (200);  ///< Between the starts of two routers.
    base::Duration brokenFrom = base::seconds (24);
    base::Duration run = base::seconds (44);
    std::optional<base::Duration> electionAt{};  ///< An election at this time.
    double cutAtElection = 0;  ///< Probability of a router to be cut off for 15 s with electionAt.
    std::optional<base::Duration> restartAllAt{};  ///< All routers restart at this time.
    double electionChance = 0;
    double cutChance = 0;     ///< Loss of all controllers for up to 15 s.
    double freezeChance = 0;  ///< Suspension for up to 9 s.
    double restartChance = 0;
    double moveChance = 0;   ///< Change to another relay.
    double lateChance = 0;   ///< Probability of a message to be up to 3 s late.
    bool isRegular = false;  ///< Whether requests arrive at equal intervals.
    ReserveFault fault = ReserveFault::kNone;
};

class ReserveCell
{
public:
    ReserveCell (std::uint64_t seed, ReserveCellOptions options)
        : m_random (seed), m_options (options)
    {
        m_relays.resize (options.relays);
        m_routers.resize (options.routers + options.uncounted);
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            const auto order = static_cast<std::int64_t> (number);
            after (order * options.startInterval, [this, number] { restart (number); });
        }
        lead();
    }

    void run()
    {
        while (m_now < m_begin + m_options.run)
            step();
    }

    /** Largest ratio of the retries within a window to those that are allowed in it. */
    [[nodiscard]] double mostUsed() const
    {
        double most = 0;
        for (auto begin = m_begin; begin + kWindow <= m_now; begin += kWindow / kStartsInWindow)
        {
            const std::size_t requests =
                std::max ({ countIn (m_requests, begin), countIn (m_requests, begin - kWindow / 2),
                            countIn (m_requests, begin - kWindow) });
            const double allowed = kRetryShare * static_cast<double> (requests) + reserve();
            most = std::max (most, static_cast<double> (countIn (m_retries, begin)) / allowed);
        }
        return most;
    }

    /** Largest sum of the shares of the reserve that routers could use at the same time. */
    [[nodiscard]] double mostShared() const { return m_mostShared; }

private:
    static constexpr double kRetryShare = 0.2;
    static constexpr base::Duration kStep = base::milliseconds (10);
    static constexpr base::Duration kWindow = base::seconds (10);
    static constexpr int kStartsInWindow = 40;
    /// Requests that earn any part of the reserve.
    static constexpr int kRequestsForPart = 1000;
    static constexpr base::Duration kElection = base::milliseconds (500);
    /// Longest time from an election to the connection of a relay to the new leader.
    static constexpr base::Duration kMaxRelayDelay = base::milliseconds (800);

    struct Router
    {
        std::unique_ptr<proxy::RetryReserve> reserve;
        std::unique_ptr<dispatch::ServiceRetryBudgets> budgets;
        std::uint64_t connection = 0;  ///< Drawn at each connection.
        std::size_t relay = 0;
        bool isConnected = false;
        base::TimePoint connectAt{};
        base::TimePoint frozenUntil{};
        double due = 0;         ///< Requests that are due, where they are regular.
        double filledPart = 0;  ///< Part that it got without earning it.
        std::vector<std::function<void()>> inbox;  ///< Messages and answers; read while not frozen.
    };

    [[nodiscard]] double reserve() const
    {
        return m_options.reservePerRouter * static_cast<double> (m_options.routers);
    }
    [[nodiscard]] static std::size_t countIn (const std::vector<base::TimePoint>& times,
                                              base::TimePoint begin)
    {
        const auto first = std::ranges::lower_bound (times, begin);
        return static_cast<std::size_t> (std::ranges::lower_bound (times, begin + kWindow) - first);
    }
    [[nodiscard]] bool isEarlierBuild (std::size_t number) const
    {
        return number < m_options.earlierBuilds;
    }

    base::Duration upTo (base::Duration longest)
    {
        return base::Duration (m_random.uniformInteger (0, longest.count()));
    }
    bool happens (double chancePerSecond)
    {
        return m_random.chance (chancePerSecond * base::toSeconds (kStep));
    }
    void after (base::Duration delay, std::function<void()> work)
    {
        m_events.add (m_now + delay, std::move (work));
    }
    base::Duration travel()
    {
        const bool isLate = m_random.chance (m_options.lateChance);
        return base::milliseconds (2)
               + upTo (isLate ? base::milliseconds (3000) : base::milliseconds (8));
    }

    void step()
    {
        m_now += kStep;
        m_events.runUntil (m_now);
        injectFaults();
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            if (m_routers[number].budgets)
                runRouter (number);
        }
        for (controller::RetryReserveRelay& relay : m_relays)
            forwardRequests (relay);
        m_mostShared = std::max (m_mostShared, shared());
    }
    [[nodiscard]] double shared() const
    {
        double sum = 0;
        for (const Router& router : m_routers)
        {
            const bool hasShare = router.budgets && router.budgets->limit().has_value()
                                  && m_now >= router.frozenUntil;
            sum += hasShare ? router.reserve->share() : 0;
        }
        return sum;
    }

    void injectFaults()
    {
        if (isDue (m_options.restartAllAt))
        {
            for (std::size_t number = 0; number < m_routers.size(); ++number)
                restart (number);
        }
        if (isDue (m_options.electionAt))
            electAndCut();
        if (m_leader && happens (m_options.electionChance))
            elect();
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            Router& router = m_routers[number];
            if (! router.budgets)
                continue;
            if (happens (m_options.cutChance))
                disconnect (router, upTo (base::seconds (15)));
            if (happens (m_options.moveChance))
                disconnect (router, upTo (base::milliseconds (50)));
            if (happens (m_options.freezeChance))
                router.frozenUntil = m_now + upTo (base::seconds (9));
            if (! isEarlierBuild (number) && happens (m_options.restartChance))
                restart (number);
        }
    }

    /// Whether the time of an event has come, which happens once.
    bool isDue (std::optional<base::Duration>& at) const
    {
        if (! at || m_now < m_begin + *at)
            return false;
        at.reset();
        return true;
    }
    void electAndCut()
    {
        elect();
        for (Router& router : m_routers)
        {
            if (m_random.chance (m_options.cutAtElection))
                disconnect (router, base::seconds (15));
        }
    }

    // Controllers:
    void elect()
    {
        m_formerLeader = std::move (m_leader);
        for (controller::RetryReserveRelay& relay : m_relays)
            relay.onLeaderLost();
        m_connectedRelays.clear();
        after (kElection, [this] { lead(); });
    }
    void lead()
    {
        const bool isWaiting = m_options.fault != ReserveFault::kForgetsShares;
        m_leader = std::make_unique<controller::RetryReserveLedger> (
            isWaiting ? m_now : m_now - base::seconds (60));
        for (std::size_t relay = 0; relay < m_relays.size(); ++relay)
        {
            // Empty grants are the leader's first message on a connection.
            after (upTo (kMaxRelayDelay),
                   [this, relay]
                   {
                       (void)m_relays[relay].onGrants ({});
                       m_connectedRelays.insert (relay);
                   });
        }
    }
    /// Routers that a leader counts: those of the relays that have connected to it.
    [[nodiscard]] std::uint32_t connectedRouters() const
    {
        const auto counted = m_routers.begin() + static_cast<std::ptrdiff_t> (m_options.routers);
        return static_cast<std::uint32_t> (std::count_if (
            m_routers.begin(), counted,
            [this] (const Router& router)
            { return router.isConnected && m_connectedRelays.contains (router.relay); }));
    }
    void forwardRequests (controller::RetryReserveRelay& relay)
    {
        auto requests = relay.takeRequests (m_now);
        if (! requests)
            return;
        after (travel(), [this, &relay, requests = *requests] { grant (relay, requests); });
    }
    void grant (controller::RetryReserveRelay& relay, const cell::RetryReserveRequests& requests)
    {
        cell::RetryReserveGrants grants;
        for (const cell::RetryReserveRequest& request : requests.requests)
        {
            // With two leaders, half of the routers get their grants from the former one.
            const bool usesFormer = m_options.fault == ReserveFault::kTwoLeaders && m_formerLeader
                                    && request.holder % 2 == 0;
            controller::RetryReserveLedger* const leader =
                usesFormer ? m_formerLeader.get() : m_leader.get();
            if (leader == nullptr)
                return;
            leader->setRouters (m_options.fault == ReserveFault::kTwoLeaders && m_formerLeader
                                    ? connectedRouters() / 2
                                    : connectedRouters());
            if (auto granted = leader->answer (request, m_now))
                grants.grants.push_back (*granted);
        }
        after (travel(),
               [this, &relay, grants]
               {
                   for (const auto& answer : relay.onGrants (grants))
                       sendToRouter (answer.router, answer.grants);
               });
    }
    void sendToRouter (std::uint64_t connection, const cell::RetryReserveGrants& grants)
    {
        after (travel(),
               [this, connection, grants]
               {
                   for (Router& router : m_routers)
                   {
                       const bool isReceiver =
                           router.isConnected && router.connection == connection;
                       if (isReceiver)
                           router.inbox.emplace_back ([this, &router, grants]
                                                      { applyGrants (router, grants); });
                   }
               });
    }

    // Routers:
    void restart (std::size_t number)
    {
        Router& router = m_routers[number];
        router = {};
        router.reserve = std::make_unique<proxy::RetryReserve> (reserve(), m_random.bits());
        router.budgets = std::make_unique<dispatch::ServiceRetryBudgets> (kRetryShare, 0);
        router.budgets->dropReserve();
        router.connectAt = m_now + upTo (base::milliseconds (100));
        if (isEarlierBuild (number))
            router.budgets->limitReserve (0.8 * m_options.reservePerRouter);
    }
    void disconnect (Router& router, base::Duration time)
    {
        if (std::exchange (router.isConnected, false))
            m_relays[router.relay].onRouterDisconnected (router.connection);
        router.connectAt = m_now + time;
        router.reserve->onLinkLost();
    }
    void connect (Router& router)
    {
        router.isConnected = true;
        router.connection = m_random.bits();
        router.relay = static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (m_relays.size()) - 1));
        if (m_options.fault == ReserveFault::kDividesByKnownRouters)
            router.budgets->limitReserve (0.8 * reserve() / connectedRouters());
        sendToRouter (router.connection, {});
    }
    void applyGrants (Router& router, const cell::RetryReserveGrants& grants)
    {
        if (m_options.fault == ReserveFault::kDividesByKnownRouters)
            return;
        if (! router.reserve->onGrants (grants))
            return;
        const bool isEndless = m_options.fault == ReserveFault::kUsesEndedShares;
        router.budgets->grantReserve (router.reserve->part(), isEndless
                                                                  ? m_now + base::seconds (1000)
                                                                  : router.reserve->end());
        const double part = router.reserve->part();
        const bool fills =
            m_options.fault == ReserveFault::kStartsWithPart && part > router.filledPart;
        router.filledPart = part;
        if (! fills)
            return;
        for (int request = 0; request < kRequestsForPart; ++request)
            router.budgets->of ("service").onFirstAttempt();
    }
    void runRouter (std::size_t number)
    {
        Router& router = m_routers[number];
        if (receives (router))
        {
            m_requests.push_back (m_now);
            router.inbox.emplace_back ([this, number] { attempt (number, 1); });
        }
        if (m_now < router.frozenUntil)
            return;
        for (const auto& work : std::exchange (router.inbox, {}))
            work();
        if (isEarlierBuild (number))
        {
            router.isConnected = true;
            return;
        }
        if (! router.isConnected && m_now >= router.connectAt)
            connect (router);
        router.budgets->expire (m_now);
        if (! router.isConnected)
            return;
        if (auto request = router.reserve->takeRequest (router.budgets->denied(), m_now))
        {
            after (travel(),
                   [this, relay = router.relay, connection = router.connection, request = *request]
                   { m_relays[relay].onRequests (connection, request); });
        }
    }
    bool receives (Router& router)
    {
        const double expected = m_options.requestsPerRouter * base::toSeconds (kStep);
        if (! m_options.isRegular)
            return m_random.chance (expected);
        router.due += expected;
        if (router.due < 1)
            return false;
        router.due -= 1;
        return true;
    }
    void attempt (std::size_t number, std::uint32_t attempts)
    {
        Router& router = m_routers[number];
        if (attempts == 1)
        {
            router.budgets->expire (m_now);
            router.budgets->of ("service").onFirstAttempt();
        }
        else
        {
            m_retries.push_back (m_now);
        }
        const bool isBroken =
            m_now - m_begin >= m_options.brokenFrom && m_random.chance (m_options.brokenShare);
        if (! isBroken || attempts == m_options.maxAttempts)
            return;
        after (base::milliseconds (5) + upTo (base::milliseconds (20)),
               [this, number, attempts, holder = router.budgets.get()]
               {
                   Router& same = m_routers[number];
                   if (same.budgets.get() == holder)
                       same.inbox.emplace_back ([this, number, attempts]
                                                { retry (number, attempts); });
               });
    }
    void retry (std::size_t number, std::uint32_t attempts)
    {
        Router& router = m_routers[number];
        router.budgets->expire (m_now);
        if (router.budgets->of ("service").tryRetry())
            attempt (number, attempts + 1);
    }

    base::Random m_random;
    ReserveCellOptions m_options;
    base::TimePoint m_begin = base::TimePoint (base::seconds (100));
    base::TimePoint m_now = m_begin;
    std::unique_ptr<controller::RetryReserveLedger> m_leader;
    std::unique_ptr<controller::RetryReserveLedger> m_formerLeader;
    std::vector<controller::RetryReserveRelay> m_relays;
    std::set<std::size_t> m_connectedRelays;  ///< Relays that are connected to the leader.
    std::vector<Router> m_routers;
    EventQueue m_events;
    double m_mostShared = 0;
    std::vector<base::TimePoint> m_requests;  ///< Times at which clients sent them, in order.
    std::vector<base::TimePoint> m_retries;   ///< Times at which they were sent, in order.
};

}  // namespace fernlift::lab::test
