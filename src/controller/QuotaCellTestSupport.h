#pragma once

/**
 * Test support: the quotas of tenants in a simulated cell without a network. Routers admit
 * requests, controllers grant units to them, the leader is replaced at times, and messages are late
 * or lost. Runs are deterministic for a seed; time advances in steps.
 */

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "controller/QuotaRelay.h"
#include "quota/FallbackShare.h"
#include "quota/QuotaLedger.h"

namespace fernlift::controller::testing
{

/** One kind of request of a tenant. */
struct QuotaClass
{
    std::uint64_t units = 9000;
    double share = 1;  ///< Share of the tenant's requests.
};

/** Limit and demand of one tenant. */
struct QuotaTraffic
{
    std::string tenant = "farm";
    double rate = 100'000;
    double burst = 100'000;
    double load = 5;  ///< Units requested per second, as a multiple of the rate.
    std::vector<QuotaClass> classes{ {} };

    [[nodiscard]] config::Tenant asTenant() const
    {
        config::Tenant tenant;
        tenant.name = this->tenant;
        tenant.quota = { config::QuotaUnit::kTokens, rate, burst, 1 };
        return tenant;
    }
    [[nodiscard]] double requestsPerSecond() const
    {
        double units = 0;
        for (const QuotaClass& kind : classes)
            units += kind.share * static_cast<double> (kind.units);
        return load * rate / units;
    }
};

/** Size of the cell and the faults in it. Chances are per step of 5 ms. */
struct QuotaCellOptions
{
    std::size_t controllers = 5;  ///< Including the leader, which serves no routers.
    std::size_t routers = 20;
    std::vector<QuotaTraffic> traffic{ {} };
    /// Share of the traffic that arrives at the routers of one controller; the other routers share
    /// the rest. With 0, all routers have equal traffic.
    double shareOfOneController = 0;
    double lossChance = 0;  ///< Chance that a message is lost.
    double lateChance = 0;  ///< Chance that a message is late, by up to 400 ms.
    double electionChance = 0;
    double routerCutChance = 0;  ///< Chance that a router is disconnected or connected again.
    /// Chance that a controller other than the leader is cut off from the leader or connected
    /// again.
    double controllerCutChance = 0;
    /// Chance that such a controller stops or resumes receiving, while its messages still arrive.
    double controllerReceiveCutChance = 0;
    double routerFreezeChance = 0;  ///< Chance that a router freezes for 0.2 to 3 s.
    base::Duration run = base::seconds (20);
    bool hasFullFirstBucket = false;  ///< Planted fault: a new leader starts with a full burst.
};

/** Outcome of one request. */
struct QuotaOutcome
{
    base::TimePoint at{};
    std::size_t traffic = 0;  ///< Index of the tenant.
    std::size_t kind = 0;     ///< Index of the class.
    std::uint64_t units = 0;
    bool isAdmitted = false;
};

inline quota::QuotaTolerance cellTolerance()
{
    quota::QuotaTolerance tolerance;
    tolerance.slack = 110'000;
    return tolerance;
}

class QuotaCell
{
public:
    QuotaCell (std::uint64_t seed, QuotaCellOptions options)
        : m_random (seed), m_options (std::move (options))
    {
        for (const QuotaTraffic& traffic : m_options.traffic)
            m_tenants.push_back (traffic.asTenant());
        for (std::size_t i = 1; i < m_options.controllers; ++i)
        {
            m_relays.push_back (std::make_unique<QuotaRelay> (cellTolerance()));
            m_relays.back()->setTenants (m_tenants, m_options.controllers, m_now);
        }
        for (std::size_t i = 0; i < m_options.routers; ++i)
        {
            m_routers.push_back (std::make_unique<Router>());
            m_routers.back()->share.setRouters (static_cast<std::uint32_t> (m_options.routers));
        }
        beginLeader();
    }

    void run()
    {
        const base::TimePoint end = m_now + m_options.run;
        while (m_now < end)
            step();
    }

    /** Outcomes of all requests, in the order in which they ended. */
    [[nodiscard]] const std::vector<QuotaOutcome>& outcomes() const { return m_outcomes; }
    [[nodiscard]] base::TimePoint now() const { return m_now; }

    /** Maximum of a tenant's units used within any window. */
    [[nodiscard]] double maxInAnyWindow (std::size_t traffic = 0) const
    {
        const std::vector<QuotaOutcome> used = admitted (traffic);
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const QuotaOutcome& outcome : used)
        {
            sum += static_cast<double> (outcome.units);
            while (used[first].at <= outcome.at - cellTolerance().window)
                sum -= static_cast<double> (used[first++].units);
            most = std::max (most, sum);
        }
        return most;
    }
    /** A tenant's units used from `begin` until `end`. */
    [[nodiscard]] double usedWithin (base::TimePoint begin, base::TimePoint end,
                                     std::size_t traffic = 0) const
    {
        double sum = 0;
        for (const QuotaOutcome& outcome : admitted (traffic))
            sum +=
                outcome.at >= begin && outcome.at < end ? static_cast<double> (outcome.units) : 0;
        return sum;
    }
    [[nodiscard]] double windowLimit (std::size_t traffic = 0) const
    {
        const config::TenantQuota& quota = m_tenants[traffic].quota;
        return quota.ratePerSecond * 8 + quota.burst + cellTolerance().unitsFor (quota);
    }

private:
    static constexpr base::Duration kStep = base::milliseconds (5);
    /// Time from the last grant of a leader to the end of its lease and the start of the next
    /// leader.
    static constexpr base::Duration kElection = base::milliseconds (500);
    static constexpr base::Duration kGrantTimeout = base::milliseconds (60);
    /// A request is refused if no controller has answered within this time.
    static constexpr base::Duration kMaxWait = base::seconds (1);
    /// A router that cannot reach any controller stops serving after this time (isolated_grace_ms).
    static constexpr base::Duration kIsolatedRouterLifetime = base::seconds (10);

    struct Request
    {
        quota::QuotaClaim claim;
        std::size_t traffic = 0;
        std::size_t kind = 0;
        bool hasDrawn = false;
    };
    struct Router
    {
        quota::QuotaPool pool{ base::Duration::zero() };
        quota::FallbackShare share{ cellTolerance() };
        std::deque<Request> requests;
        bool isCutOff = false;
        base::TimePoint cutAt{};
        base::TimePoint frozenUntil{};
    };

    /** Connection to the leader of a controller that does not lead. */
    struct LeaderLink
    {
        bool isCut = false;
        bool isReceiveCut = false;
    };

    [[nodiscard]] std::vector<QuotaOutcome> admitted (std::size_t traffic) const
    {
        std::vector<QuotaOutcome> used;
        std::ranges::copy_if (m_outcomes, std::back_inserter (used),
                              [&] (const QuotaOutcome& outcome)
                              { return outcome.isAdmitted && outcome.traffic == traffic; });
        return used;
    }

    void beginLeader()
    {
        m_leader = std::make_unique<quota::QuotaLedger> (cellTolerance());
        m_leader->setPart (partOfLeader (m_options.controllers), m_now);
        const base::Duration age = base::seconds (m_options.hasFullFirstBucket ? 10 : 0);
        m_leader->setTenants (m_tenants, m_now - age);
    }

    void schedule (base::Duration delay, std::function<void()> action)
    {
        m_events.emplace (m_now + delay, std::move (action));
    }

    void send (std::function<void()> action)
    {
        if (m_random.chance (m_options.lossChance))
            return;
        const bool isLate = m_random.chance (m_options.lateChance);
        schedule (base::milliseconds (m_random.uniformInteger (1, isLate ? 400 : 4)),
                  std::move (action));
    }

    void step()
    {
        m_now += kStep;
        while (! m_events.empty() && m_events.begin()->first <= m_now)
        {
            const auto action = std::move (m_events.begin()->second);
            m_events.erase (m_events.begin());
            action();
        }
        if (m_random.chance (m_options.electionChance))
            changeLeader();
        if (m_leader)
            m_leader->setRouters (connectedRouters(), m_now);
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            stepRouter (i);
        for (std::size_t i = 0; i < m_relays.size(); ++i)
            stepRelay (i);
    }

    [[nodiscard]] std::uint32_t connectedRouters() const
    {
        const auto connected = std::ranges::count_if (
            m_routers, [] (const auto& router) { return ! router->isCutOff; });
        return static_cast<std::uint32_t> (connected);
    }

    void changeLeader()
    {
        m_leader.reset();
        for (auto& relay : m_relays)
            relay->onLeaderLost();
        schedule (kElection, [this] { beginLeader(); });
    }

    /// Share of the traffic that arrives at one router.
    [[nodiscard]] double shareOf (std::size_t router) const
    {
        const auto routers = static_cast<double> (m_routers.size());
        if (m_options.shareOfOneController == 0)
            return 1 / routers;
        const std::size_t relays = m_relays.size();
        const std::size_t atOne = (m_routers.size() + relays - 1) / relays;
        const auto favoured = static_cast<double> (atOne);
        return router % relays == 0 ? m_options.shareOfOneController / favoured
                                    : (1 - m_options.shareOfOneController) / (routers - favoured);
    }

    void stepRouter (std::size_t index)
    {
        Router& router = *m_routers[index];
        if (m_random.chance (m_options.routerFreezeChance))
            router.frozenUntil = m_now + base::milliseconds (m_random.uniformInteger (200, 3000));
        if (m_now < router.frozenUntil)
            return;
        if (m_random.chance (m_options.routerCutChance))
        {
            router.isCutOff = ! router.isCutOff;
            router.cutAt = m_now;
            router.pool.onLinkLost();
        }
        const bool isServing = ! router.isCutOff || m_now - router.cutAt < kIsolatedRouterLifetime;
        for (std::size_t i = 0; isServing && i < m_options.traffic.size(); ++i)
            addArrivals (router, i, shareOf (index));
        std::erase_if (router.requests,
                       [&] (Request& request) { return resolve (router, request); });
        if (auto request = router.pool.takeRequest (m_now); request && ! router.isCutOff)
            send ([this, index, sent = *request] { onRouterRequest (index, sent); });
    }

    void addArrivals (Router& router, std::size_t index, double share)
    {
        const QuotaTraffic& traffic = m_options.traffic[index];
        double expected =
            traffic.requestsPerSecond() * share * std::chrono::duration<double> (kStep).count();
        for (; expected > 0; expected -= 1)
        {
            if (m_random.chance (std::min (expected, 1.0)))
                router.requests.push_back (drawRequest (index));
        }
    }

    [[nodiscard]] Request drawRequest (std::size_t index)
    {
        const QuotaTraffic& traffic = m_options.traffic[index];
        Request request;
        request.traffic = index;
        double left = m_random.uniformReal();
        while (request.kind + 1 < traffic.classes.size()
               && left >= traffic.classes[request.kind].share)
            left -= traffic.classes[request.kind++].share;
        request.claim.account = traffic.tenant;
        request.claim.units = traffic.classes[request.kind].units;
        return request;
    }

    bool resolve (Router& router, Request& request)
    {
        const quota::QuotaAnswer answer = router.pool.take (request.claim, m_now);
        if (answer != quota::QuotaAnswer::kPending)
            return end (request, answer == quota::QuotaAnswer::kGranted);
        const base::Duration waited = m_now - request.claim.requestedAt;
        if (waited < kGrantTimeout)
            return false;
        if (! std::exchange (request.hasDrawn, true)
            && router.share.admits (m_tenants[request.traffic], request.claim.units, m_now,
                                    m_random))
        {
            router.pool.giveUp (request.claim);
            return end (request, true);
        }
        if (waited < kMaxWait)
            return false;
        router.pool.giveUp (request.claim);
        return end (request, false);
    }

    bool end (const Request& request, bool isAdmitted)
    {
        m_outcomes.push_back (
            { m_now, request.traffic, request.kind, request.claim.units, isAdmitted });
        return true;
    }

    void onRouterRequest (std::size_t index, const cell::QuotaRequest& request)
    {
        QuotaRelay& relay = *m_relays[index % m_relays.size()];
        if (auto answer = relay.onRequest (index, request, m_now))
            answerRouter (*answer);
    }

    void answerRouter (const QuotaRelay::Answer& answer)
    {
        send (
            [this, answer]
            {
                m_routers[answer.router]->pool.onGrant (answer.grant);
                m_routers[answer.router]->share.onControllerAnswer (m_now);
            });
    }

    void stepRelay (std::size_t index)
    {
        LeaderLink& link = m_leaderLinks[index];
        if (m_random.chance (m_options.controllerCutChance))
            link.isCut = ! link.isCut;
        if (m_random.chance (m_options.controllerReceiveCutChance))
            link.isReceiveCut = ! link.isReceiveCut;
        auto request = m_relays[index]->takeRequest (m_now);
        if (! request || link.isCut)
            return;
        send (
            [this, index, sent = *request]
            {
                if (m_leader)
                    answerRelay (index, m_leader->answer (sent, m_now));
            });
    }

    void answerRelay (std::size_t index, const cell::QuotaGrant& grant)
    {
        send (
            [this, index, grant]
            {
                if (m_leaderLinks[index].isCut || m_leaderLinks[index].isReceiveCut)
                    return;
                for (const auto& answer : m_relays[index]->onGrant (grant, m_now))
                    answerRouter (answer);
            });
    }

    base::Random m_random;
    QuotaCellOptions m_options;
    std::vector<config::Tenant> m_tenants;
    base::TimePoint m_now = base::TimePoint{} + base::seconds (100);
    std::unique_ptr<quota::QuotaLedger> m_leader;
    std::vector<std::unique_ptr<QuotaRelay>> m_relays;
    std::map<std::size_t, LeaderLink> m_leaderLinks;  ///< By controller.
    std::vector<std::unique_ptr<Router>> m_routers;
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<QuotaOutcome> m_outcomes;
};

}  // namespace fernlift::controller::testing
