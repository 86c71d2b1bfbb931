#include <gtest/gtest.h>

#include "placement/StoreConcurrency.h"

namespace fernlift::placement
{
namespace
{

constexpr base::Duration kNominal = base::seconds (6);

std::string engineName (std::size_t number) { return "e" + std::to_string (number); }

/// Runs `loads` concurrent loads on a store that serves `atFullSpeed` of them without slowing down.
void loadTogether (StoreConcurrency& store, std::size_t loads, std::size_t atFullSpeed,
                   base::TimePoint& now)
{
    for (std::size_t number = 0; number < loads; ++number)
        store.onBegin (engineName (number), now);
    const double share = static_cast<double> (loads) / static_cast<double> (atFullSpeed);
    now += std::chrono::duration_cast<base::Duration> (kNominal * std::max (share, 1.0));
    for (std::size_t number = 0; number < loads; ++number)
        store.onEnd (engineName (number), kNominal, now);
}

TEST (StoreConcurrency, FindsHowManyLoadsASlowStoreServesAtFullSpeed)
{
    StoreConcurrency store;
    base::TimePoint now{ base::seconds (100) };
    // The first round is on time and doubles the limit; the second one is slow.
    loadTogether (store, store.limit(), 4, now);
    EXPECT_GT (store.limit(), 4U);
    loadTogether (store, store.limit(), 4, now);
    EXPECT_EQ (store.limit(), 4U);
}

TEST (StoreConcurrency, GrowsWhileTheLimitIsReachedAndLoadsAreOnTime)
{
    StoreConcurrency store;
    base::TimePoint now{ base::seconds (100) };
    for (int round = 0; round < 3; ++round)
        loadTogether (store, store.limit(), 13, now);
    EXPECT_GE (store.limit(), 12U);
    EXPECT_LE (store.limit(), 26U);
}

TEST (StoreConcurrency, DoesNotGrowBelowTheLimit)
{
    StoreConcurrency store;
    base::TimePoint now{ base::seconds (100) };
    const std::size_t limit = store.limit();
    loadTogether (store, 1, 4, now);
    EXPECT_EQ (store.limit(), limit);
}

TEST (StoreConcurrency, AtMostHalvesWithEachSlowLoadAndStaysAtLeastTwo)
{
    StoreConcurrency store;
    base::TimePoint now{ base::seconds (100) };
    std::size_t before = store.limit();
    for (int load = 0; load < 5; ++load)
    {
        store.onBegin ("e1", now);
        now += 20 * kNominal;  // The store stalls.
        store.onEnd ("e1", kNominal, now);
        EXPECT_GE (store.limit(), std::max<std::size_t> (before / 2, 2));
        before = store.limit();
    }
    EXPECT_EQ (store.limit(), 2U);
}

TEST (StoreConcurrency, IgnoresAbandonedLoads)
{
    StoreConcurrency store;
    base::TimePoint now{ base::seconds (100) };
    const std::size_t limit = store.limit();
    store.onBegin ("e1", now);
    now += 20 * kNominal;
    store.onAbandoned ("e1");
    store.onEnd ("e1", kNominal, now);
    EXPECT_EQ (store.underWay(), 0U);
    EXPECT_EQ (store.limit(), limit);
}

}  // namespace
}  // namespace fernlift::placement
