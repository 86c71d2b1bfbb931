// The quota of one tenant in a whole cell of routers and the controllers that serve them, while
// leaders change and messages are late or lost. No window may exceed the limit plus its tolerance.

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/Random.h"
#include "controller/QuotaRelay.h"
#include "quota/FallbackShare.h"
#include "quota/QuotaLedger.h"

namespace fernlift::controller
{
namespace
{

constexpr std::size_t kControllers = 5;
constexpr std::size_t kRouters = 20;
constexpr double kRate = 100'000;
constexpr std::uint64_t kClaim = 9000;
constexpr base::Duration kStep = base::milliseconds (5);
constexpr base::Duration kRun = base::seconds (20);
/// Time from the last grant of a leader to the end of its lease and the start of the next leader.
constexpr base::Duration kElection = base::milliseconds (500);
constexpr base::Duration kGrantTimeout = base::milliseconds (60);

enum class Fault : std::uint8_t
{
    kNone,
    kFullFirstBucket,  ///< A new leader starts with a full burst.
};

config::Tenant tenant()
{
    config::Tenant tenant;
    tenant.name = "farm";
    tenant.quota = { config::QuotaUnit::kTokens, kRate, kRate, 1 };
    return tenant;
}

quota::QuotaTolerance tolerance()
{
    quota::QuotaTolerance tolerance;
    tolerance.slack = 110'000;
    return tolerance;
}

/// A cell with a tenant that requests `load` times its limit.
class QuotaCell
{
public:
    QuotaCell (std::uint64_t seed, double load, Fault fault)
        : m_random (seed), m_load (load), m_fault (fault)
    {
        for (std::size_t i = 1; i < kControllers; ++i)
        {
            m_relays.push_back (std::make_unique<QuotaRelay> (tolerance()));
            m_relays.back()->setTenants ({ tenant() }, kControllers, m_now);
        }
        for (std::size_t i = 0; i < kRouters; ++i)
        {
            m_routers.push_back (std::make_unique<Router>());
            m_routers.back()->share.setRouters (kRouters);
        }
        beginLeader();
    }

    void run()
    {
        const base::TimePoint end = m_now + kRun;
        while (m_now < end)
            step();
    }

    /// Maximum of the units used within any window.
    [[nodiscard]] double maxInAnyWindow() const
    {
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto& [time, units] : m_used)
        {
            sum += units;
            while (m_used[first].first <= time - tolerance().window)
                sum -= m_used[first++].second;
            most = std::max (most, sum);
        }
        return most;
    }
    [[nodiscard]] double used() const
    {
        double sum = 0;
        for (const auto& [time, units] : m_used)
            sum += units;
        return sum;
    }

private:
    struct Router
    {
        quota::QuotaPool pool{ base::Duration::zero() };
        quota::FallbackShare share{ tolerance() };
        std::deque<quota::QuotaClaim> claims;
        bool isCutOff = false;
    };

    void beginLeader()
    {
        m_leader = std::make_unique<quota::QuotaLedger> (tolerance());
        m_leader->setPart (partOfLeader (kControllers), m_now);
        const base::Duration age =
            m_fault == Fault::kFullFirstBucket ? base::seconds (10) : base::seconds (0);
        m_leader->setTenants ({ tenant() }, m_now - age);
    }

    void schedule (base::Duration delay, std::function<void()> action)
    {
        m_events.emplace (m_now + delay, std::move (action));
    }

    /// Delivers a message, which is sometimes late and sometimes lost.
    void send (std::function<void()> action)
    {
        if (m_random.uniformReal() < 0.02)
            return;
        const bool isLate = m_random.uniformReal() < 0.05;
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
        if (m_random.uniformReal() < 0.003)
            changeLeader();
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            stepRouter (i);
        for (std::size_t i = 0; i < m_relays.size(); ++i)
            stepRelay (i);
    }

    void changeLeader()
    {
        m_leader.reset();
        for (auto& relay : m_relays)
            relay->onLeaderLost();
        schedule (kElection, [this] { beginLeader(); });
    }

    void stepRouter (std::size_t index)
    {
        Router& router = *m_routers[index];
        if (m_random.uniformReal() < 0.0005)
        {
            router.isCutOff = ! router.isCutOff;
            router.pool.onLinkLost();
        }
        const double arrivals =
            m_load * kRate / kClaim / kRouters * std::chrono::duration<double> (kStep).count();
        if (m_random.uniformReal() < arrivals)
            router.claims.push_back ({ "farm", kClaim, 0, {}, {} });
        std::erase_if (router.claims,
                       [&] (quota::QuotaClaim& claim) { return resolve (router, claim); });
        if (auto request = router.pool.takeRequest (m_now); request && ! router.isCutOff)
            send ([this, index, sent = *request] { onRouterRequest (index, sent); });
    }

    bool resolve (Router& router, quota::QuotaClaim& claim)
    {
        const quota::QuotaAnswer answer = router.pool.take (claim, m_now);
        if (answer == quota::QuotaAnswer::kGranted)
            m_used.emplace_back (m_now, kClaim);
        if (answer != quota::QuotaAnswer::kPending)
            return true;
        if (m_now - claim.requestedAt < kGrantTimeout)
            return false;
        router.pool.giveUp (claim);
        if (router.share.admits (tenant(), kClaim, m_now, m_random))
            m_used.emplace_back (m_now, kClaim);
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
        send ([this, answer] { m_routers[answer.router]->pool.onGrant (answer.grant); });
    }

    void stepRelay (std::size_t index)
    {
        auto request = m_relays[index]->takeRequest (m_now);
        if (! request)
            return;
        send (
            [this, index, sent = *request]
            {
                if (! m_leader)
                    return;
                send (
                    [this, index, grant = m_leader->answer (sent, m_now)]
                    {
                        for (const auto& answer : m_relays[index]->onGrant (grant, m_now))
                            answerRouter (answer);
                    });
            });
    }

    base::Random m_random;
    double m_load;
    Fault m_fault;
    base::TimePoint m_now = base::TimePoint{} + base::seconds (100);
    std::unique_ptr<quota::QuotaLedger> m_leader;
    std::vector<std::unique_ptr<QuotaRelay>> m_relays;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<std::pair<base::TimePoint, double>> m_used;
};

double windowLimit()
{
    const config::TenantQuota quota = tenant().quota;
    return kRate * 8 + kRate + tolerance().unitsFor (quota);
}

constexpr std::uint64_t kSeeds = 100;

TEST (QuotaBoundTest, NoWindowHoldsMoreThanTheLimitWhateverFails)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    {
        QuotaCell cell (seed, 5, Fault::kNone);
        cell.run();
        EXPECT_LE (cell.maxInAnyWindow(), windowLimit()) << "seed " << seed;
        EXPECT_GE (cell.used(), kRate * 20 / 3) << "seed " << seed;
    }
}

/// Whether at least one seed detects the planted fault.
bool isDetected (Fault fault)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    {
        QuotaCell cell (seed, 5, fault);
        cell.run();
        if (cell.maxInAnyWindow() > windowLimit())
            return true;
    }
    return false;
}

TEST (QuotaBoundTest, DetectsALeaderThatStartsWithAFullBurst)
{
    EXPECT_TRUE (isDetected (Fault::kFullFirstBucket));
}

}  // namespace
}  // namespace fernlift::controller
