#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "base/Random.h"
#include "routing/PrefixIndex.h"

namespace fernlift::routing
{
namespace
{

const base::RunnerId kRunner ("r1");
const std::vector<PrefixHash> kBlocks{ 11, 12, 13 };

CacheEvent stored (std::uint64_t sequence, PrefixHash block)
{
    return { sequence, true, "m", block };
}
CacheEvent removed (std::uint64_t sequence, PrefixHash block)
{
    return { sequence, false, "m", block };
}

TEST (PrefixIndexTest, CountsLeadingBlocksOnly)
{
    PrefixIndex index;
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 0U);
    index.onEvents (kRunner, 1, { stored (1, 11), stored (2, 13) });
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 1U);
    index.onEvents (kRunner, 1, { stored (3, 12) });
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 3U);
    EXPECT_EQ (index.matchingBlocks (kRunner, "other", kBlocks), 0U);
    EXPECT_EQ (index.matchingBlocks (base::RunnerId ("r2"), "m", kBlocks), 0U);
}

TEST (PrefixIndexTest, OwnRequestsAreKnownBeforeTheirEvents)
{
    PrefixIndex index;
    index.onSent (kRunner, "m", kBlocks);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 3U);
    index.onEvents (kRunner, 1, { stored (1, 99) });
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 3U);
}

TEST (PrefixIndexTest, LateAndRepeatedEventsChangeNothing)
{
    PrefixIndex index;
    index.onEvents (kRunner, 1, { stored (1, 11), stored (2, 12), removed (3, 11) });
    EXPECT_EQ (index.onEvents (kRunner, 1, { stored (1, 11), stored (2, 12) }), 3U);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 0U);
}

TEST (PrefixIndexTest, AGapClearsTheBlocksOfTheRunner)
{
    PrefixIndex index;
    index.onEvents (kRunner, 1, { stored (1, 11), stored (2, 12) });
    EXPECT_EQ (index.onEvents (kRunner, 1, { stored (5, 12), stored (6, 13) }), 6U);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 0U);
    index.onEvents (kRunner, 1, { stored (7, 11) });
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 3U);
}

TEST (PrefixIndexTest, ARestartedRunnerHoldsNothing)
{
    PrefixIndex index;
    index.onEvents (kRunner, 1, { stored (1, 11), stored (2, 12) });
    EXPECT_EQ (index.onEvents (kRunner, 2, {}), 0U);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 0U);
    index.onEvents (kRunner, 2, { stored (1, 11) });
    index.forget (kRunner);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", kBlocks), 0U);
}

TEST (PrefixIndexTest, EvictsLeastRecentBlocksAndTheStartOfAPromptLast)
{
    PrefixIndex index (4);
    index.onSent (kRunner, "m", { 1, 2, 3 });
    index.onSent (kRunner, "m", { 7, 8 });
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", { 1, 2, 3 }), 2U);
    EXPECT_EQ (index.matchingBlocks (kRunner, "m", { 7, 8 }), 2U);
}

// Events of one incarnation, delivered in order in batches that may overlap, reproduce the engine's
// cache.
RC_GTEST_PROP (PrefixIndexProperty, RepeatedDeliveryGivesTheEnginesCache, ())
{
    const auto changes = *rc::gen::container<std::vector<int>> (rc::gen::inRange (-5, 6));
    std::vector<CacheEvent> events;
    std::set<PrefixHash> cache;
    for (const int change : changes)
    {
        const auto block = static_cast<PrefixHash> (std::abs (change));
        const std::uint64_t sequence = events.size() + 1;
        events.push_back (change >= 0 ? stored (sequence, block) : removed (sequence, block));
        if (change >= 0)
            cache.insert (block);
        if (change < 0)
            cache.erase (block);
    }
    PrefixIndex index;
    base::Random random (*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t known = 0;
    while (known < events.size())
    {
        const std::int64_t from = random.uniformInteger (0, static_cast<std::int64_t> (known));
        const std::int64_t until =
            random.uniformInteger (from, static_cast<std::int64_t> (events.size()));
        const std::vector<CacheEvent> batch (events.begin() + from, events.begin() + until);
        known = index.onEvents (kRunner, 1, batch);
    }
    for (PrefixHash block = 0; block < 6; ++block)
    {
        RC_ASSERT (index.matchingBlocks (kRunner, "m", { block })
                   == (cache.contains (block) ? 1U : 0U));
    }
}

}  // namespace
}  // namespace fernlift::routing
