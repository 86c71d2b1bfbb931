// Retries of all routers together in a simulated cell: in no window more than the rule allows,
// whatever happens to routers and controllers, and most of it while nothing happens.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "lab/RetryReserveCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr std::size_t kMaxRouters = 300;
/// The whole reserve, with an allowance for rounding.
constexpr double kWhole = 1 + 1e-9;

/// Number of seeds. FERNLIFT_RESERVE_SEEDS sets a larger number for manual runs.
std::uint64_t seeds()
{
    constexpr std::uint64_t kSeeds = 12;
    const char* const more = std::getenv ("FERNLIFT_RESERVE_SEEDS");
    return more == nullptr ? kSeeds : std::stoull (more);
}

/// A cell of 3 to `kMaxRouters` routers, most of them small.
std::size_t routersOf (base::Random& random)
{
    const auto most = static_cast<std::size_t> (random.uniformInteger (3, kMaxRouters));
    return static_cast<std::size_t> (
        random.uniformInteger (3, random.chance (0.2) ? static_cast<std::int64_t> (most) : 16));
}

ReserveCellOptions withEveryFault (std::uint64_t seed)
{
    base::Random random (seed);
    ReserveCellOptions options;
    options.routers = routersOf (random);
    options.relays = static_cast<std::size_t> (random.uniformInteger (1, 5));
    options.uncounted = random.chance (0.3) ? 1 : 0;
    options.reservePerRouter = 0.5 + 10 * random.uniformReal();
    options.requestsPerRouter = 1 + 15 * random.uniformReal();
    options.startInterval = milliseconds (random.uniformInteger (0, 1200) * 8
                                          / static_cast<std::int64_t> (options.routers));
    options.brokenFrom = seconds (random.uniformInteger (4, 30));
    options.electionChance = 0.2 * random.uniformReal();
    options.cutChance = 0.05 * random.uniformReal();
    options.freezeChance = 0.05 * random.uniformReal();
    options.restartChance = 0.05 * random.uniformReal();
    options.moveChance = 0.1 * random.uniformReal();
    options.lateChance = 0.1 * random.uniformReal();
    return options;
}

struct ReserveUse
{
    double used = 0;    ///< Largest use of the budget within a window.
    double shared = 0;  ///< Largest sum of the shares that routers could use at the same time.
};

ReserveUse useOf (std::uint64_t seed, const ReserveCellOptions& options)
{
    ReserveCell cell (seed, options);
    cell.run();
    return { cell.mostUsed(), cell.mostShared() };
}

TEST (RetryReservePropertyTest, NoWindowExceedsTheBudgetUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        const ReserveCellOptions options = withEveryFault (seed);
        const ReserveUse use = useOf (seed, options);
        EXPECT_LE (use.used, 1) << "seed " << seed << ", " << options.routers << " routers";
        EXPECT_LE (use.shared, kWhole) << "seed " << seed << ", " << options.routers << " routers";
    }
}

TEST (RetryReservePropertyTest, MostOfTheBudgetIsUsedWhileNothingHappens)
{
    constexpr double kMinUse = 0.9;
    for (const std::size_t routers : { 3U, 8U, 12U, 60U, 300U })
    {
        for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
        {
            ReserveCellOptions options;
            options.routers = routers;
            options.isRegular = true;
            options.startInterval = seconds (10) / static_cast<std::int64_t> (routers);
            options.brokenFrom = seconds (44);
            options.run = seconds (64);
            const double used = useOf (seed, options).used;
            EXPECT_GE (used, kMinUse) << "seed " << seed << ", " << routers << " routers";
            EXPECT_LE (used, 1) << "seed " << seed << ", " << routers << " routers";
        }
    }
}

TEST (RetryReservePropertyTest, RoutersOfAnEarlierBuildKeepTheirPart)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        ReserveCellOptions options = withEveryFault (seed);
        options.routers = 12;
        options.earlierBuilds = 5;
        options.uncounted = 0;
        options.restartChance = 0;
        EXPECT_LE (useOf (seed, options).used, 1) << "seed " << seed;
    }
}

/// Largest values over several seeds.
ReserveUse useOfSeeds (const ReserveCellOptions& options)
{
    ReserveUse most;
    for (std::uint64_t seed = 1; seed <= 2 * seeds(); ++seed)
    {
        const ReserveUse use = useOf (seed, options);
        most.used = std::max (most.used, use.used);
        most.shared = std::max (most.shared, use.shared);
    }
    return most;
}

struct FaultCase
{
    ReserveFault fault;
    ReserveCellOptions options;
};

/// Cells in which the faults show: with load enough to use all parts.
std::vector<FaultCase> faultCases()
{
    ReserveCellOptions busy;
    busy.routers = 12;
    busy.reservePerRouter = 10;
    busy.requestsPerRouter = 10;
    busy.brokenFrom = seconds (40);
    busy.run = seconds (60);
    ReserveCellOptions withCuts = busy;
    withCuts.cutChance = 0.05;
    ReserveCellOptions withElections = busy;
    withElections.electionChance = 0.1;
    ReserveCellOptions withCutElection = busy;
    withCutElection.isRegular = true;
    withCutElection.requestsPerRouter = 80;
    withCutElection.electionAt = busy.brokenFrom - seconds (4);
    withCutElection.cutAtElection = 0.7;
    ReserveCellOptions withRestarts = busy;
    withRestarts.isRegular = true;
    withRestarts.restartAllAt = busy.brokenFrom + seconds (1);
    return { { ReserveFault::kDividesByKnownRouters, busy },
             { ReserveFault::kTwoLeaders, withElections },
             { ReserveFault::kForgetsShares, withCutElection },
             { ReserveFault::kUsesEndedShares, withCuts },
             { ReserveFault::kStartsWithPart, withRestarts } };
}

TEST (RetryReservePropertyTest, InjectedFaultsAreDetected)
{
    for (FaultCase each : faultCases())
    {
        const ReserveUse sound = useOfSeeds (each.options);
        EXPECT_LE (std::max (sound.used, sound.shared), kWhole) << static_cast<int> (each.fault);
        each.options.fault = each.fault;
        const ReserveUse faulty = useOfSeeds (each.options);
        EXPECT_GT (std::max (faulty.used, faulty.shared), kWhole) << static_cast<int> (each.fault);
    }
}

/// Routers of a cell whose leader has answered the requests of all.
class LargeCell
{
public:
    LargeCell (std::uint32_t routers, double reserve)
    {
        m_ledger.setRouters (routers);
        for (std::uint32_t router = 0; router < routers; ++router)
        {
            m_reserves.emplace_back (reserve, router + 1);
            (void)m_reserves.back().onGrants ({});
            m_budgets.emplace_back (kShare, 0);
            m_budgets.back().dropReserve();
            request (router);
        }
    }

    [[nodiscard]] dispatch::RetryBudget& budget (std::size_t router)
    {
        return m_budgets[router].of ("service");
    }
    [[nodiscard]] std::size_t withReserve() const
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            m_budgets, [] (const auto& budgets) { return budgets.limit().has_value(); }));
    }
    [[nodiscard]] double sharesInUse() const { return m_ledger.sharesInUse (kNow); }

private:
    static constexpr double kShare = 0.2;
    static constexpr base::TimePoint kNow{ seconds (100) };

    void request (std::size_t router)
    {
        const auto requests = m_reserves[router].takeRequest (0, kNow);
        ASSERT_TRUE (requests);
        const auto grant = m_ledger.answer (requests->requests.front(), kNow);
        ASSERT_TRUE (grant);
        ASSERT_TRUE (m_reserves[router].onGrants ({ { *grant } }));
        m_budgets[router].grantReserve (m_reserves[router].part(), m_reserves[router].end());
    }

    controller::RetryReserveLedger m_ledger{ base::TimePoint() };
    std::vector<proxy::RetryReserve> m_reserves;
    std::vector<dispatch::ServiceRetryBudgets> m_budgets;
};

// Guards against equal parts of the reserve in a large cell: a part below one retry allows none, so
// that a cell of a thousand routers never retries a request.
TEST (RetryReservePropertyTest, ShareOfRoutersThatMayRetryFollowsTheReserveInALargeCell)
{
    struct Case
    {
        std::uint32_t routers;
        double reserve;
        double share;  ///< Share of the routers that must be able to retry.
    };
    for (const auto& [routers, reserve, share] :
         { Case{ 985, 1040, 0.75 }, Case{ 2000, 2080, 0.75 }, Case{ 2000, 1040, 0.35 } })
    {
        const LargeCell cell (routers, reserve);
        EXPECT_GE (static_cast<double> (cell.withReserve()), share * routers)
            << routers << " routers, reserve " << reserve;
    }
}

// A runner answers seven in fifty calls with an error, and each router has few of these calls.
TEST (RetryReservePropertyTest, RetriesMostFailedCallsInALargeCell)
{
    constexpr std::uint32_t kRouters = 1000;
    constexpr double kReserve = 1000;
    base::Random random (1);
    LargeCell cell (kRouters, kReserve);
    // The budgets have no retry before there were requests.
    for (std::uint32_t request = 0; request < 5 * kRouters; ++request)
        cell.budget (request % kRouters).onFirstAttempt();
    int failed = 0;
    int sentAgain = 0;
    for (int request = 0; request < 5000; ++request)
    {
        dispatch::RetryBudget& budget =
            cell.budget (static_cast<std::size_t> (random.uniformInteger (0, kRouters - 1)));
        budget.onFirstAttempt();
        // Share of all requests; one request in fifteen is such a call.
        constexpr double kErrorShare = 0.01;
        if (random.uniformReal() >= kErrorShare)
            continue;
        ++failed;
        sentAgain += budget.tryRetry() ? 1 : 0;
    }
    EXPECT_GE (sentAgain, 0.6 * failed);
}

RC_GTEST_PROP (RetryReservePropertyTest, PartsOfALargeCellStayWithinTheReserve, ())
{
    const auto routers = *rc::gen::inRange<std::uint32_t> (1, 1000);
    const double reserve = *rc::gen::inRange (0, 3000);
    const LargeCell cell (routers, reserve + 1);
    RC_ASSERT (cell.sharesInUse() <= 1 + 1e-6);
}

}  // namespace
}  // namespace fernlift::lab::test
