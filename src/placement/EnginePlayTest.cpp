// Latencies of callers in simulations of whole cells with EnginePlacement. Each test prints the
// shares of late streams.

#include <gtest/gtest.h>

#include <iostream>

#include "placement/EnginePlayTestSupport.h"

namespace fernlift::placement
{
namespace
{

using base::milliseconds;
using base::seconds;

/// Longest time between events that counts as in time.
constexpr base::Duration kGapTarget = milliseconds (150);
/// Target of the time to the first event on the route of the highest value.
constexpr base::Duration kTarget = milliseconds (2500);
/// Limit of the share of late callers.
constexpr double kMaxLateShare = 0.04;
constexpr std::size_t kEngines = 9;

/// Adds `count` models from number `first` on, each with the same request rate.
void addRates (std::vector<PlayedRate>& rates, std::size_t first, std::size_t count,
               double perSecond)
{
    for (std::size_t number = first; number < first + count; ++number)
        rates.push_back ({ EnginePlay::modelName (number), perSecond });
}

/// A cell with models assigned to the engines in rotation, three on each, and with copies of other
/// models, so that each model has two or three copies.
EnginePlay placedInTurn (std::uint64_t seed)
{
    constexpr std::size_t kModels = 30;
    EnginePlay play (kEngines, kModels, seed);
    for (std::size_t engine = 0; engine < kEngines; ++engine)
    {
        std::vector<std::string> held;
        std::set<std::string> copies;
        for (std::size_t place = 0; place < 3; ++place)
        {
            held.push_back (EnginePlay::modelName ((3 * engine + place) % kModels));
            copies.insert (EnginePlay::modelName ((3 * (engine + 4) + place) % kModels));
            copies.insert (EnginePlay::modelName ((3 * (engine + 7) + place) % kModels));
        }
        play.place (engine, held, copies);
    }
    return play;
}

/// Seeds of the request arrivals.
constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 4, 5 };

TEST (EnginePlayTest, HotModelsThatShareAnEngineAreSpreadOverIdleOnes)
{
    for (const std::uint64_t seed : kSeeds)
    {
        SCOPED_TRACE (seed);
        EnginePlay play = placedInTurn (seed);
        std::vector<PlayedRate> rates;
        addRates (rates, 0, 3, 15);  // All three models of the first engine.
        addRates (rates, 3, 24, 0.1);
        play.run (rates, seconds (30));
        const double late = play.shareWithPausesOver (kGapTarget, seconds (10));
        std::cout << "share with pauses over 150 ms " << late << "\n";
        EXPECT_LE (late, kMaxLateShare);
    }
}

TEST (EnginePlayTest, RareModelsFindAPlaceInTime)
{
    for (const std::uint64_t seed : kSeeds)
    {
        SCOPED_TRACE (seed);
        EnginePlay play = placedInTurn (seed);
        std::vector<PlayedRate> rates;
        addRates (rates, 0, 1, 20);
        addRates (rates, 5, 1, 12);
        addRates (rates, 10, 1, 8);
        addRates (rates, 15, 1, 4);
        for (const std::size_t first : { 1U, 6U, 11U, 16U })
            addRates (rates, first, 4, 0.4);
        addRates (rates, 20, 10, 0.4);
        play.run (rates, seconds (40));
        const double waiting = play.shareWaitingOver (kTarget, seconds (5));
        const double slow = play.shareWithPausesOver (kGapTarget, seconds (5));
        std::cout << "share that waits over 2.5 s " << waiting << ", with pauses over 150 ms "
                  << slow << "\n";
        EXPECT_LE (waiting, kMaxLateShare);
        EXPECT_LE (slow, kMaxLateShare);
    }
}

TEST (EnginePlayTest, StoreLoadsLeaveEnginesFreeForLoadsFromCopies)
{
    for (const std::uint64_t seed : kSeeds)
    {
        SCOPED_TRACE (seed);
        EnginePlay play = placedInTurn (seed);
        std::vector<PlayedRate> rates;
        addRates (rates, 0, 1, 20);
        addRates (rates, 5, 1, 12);
        addRates (rates, 6, 24, 0.5);
        play.run (rates, seconds (10));
        for (const std::size_t lost : { 1U, 2U, 3U })
        {
            play.replace (lost);
            play.run (rates, seconds (2));
        }
        play.run (rates, seconds (20));
        std::cout << "loads from the store at a time " << play.mostStoreLoads() << "\n";
        EXPECT_LE (play.mostStoreLoads(), kEngines / 2);
        EXPECT_LE (play.shareWaitingOver (seconds (10), base::Duration::zero()), kMaxLateShare);
    }
}

}  // namespace
}  // namespace fernlift::placement
