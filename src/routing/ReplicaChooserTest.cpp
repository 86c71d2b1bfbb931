#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <numeric>

#include "routing/ReplicaChooser.h"
#include "routing/RoutingTestSupport.h"

namespace fernlift::routing
{
namespace
{

using testing::row;
using testing::wholeTable;

/// A chooser in zone z1 with all of its inputs.
class ChooserBench
{
public:
    explicit ChooserBench (const std::vector<cell::RoutableReplica>& rows)
    {
        table.apply (wholeTable (rows), now);
    }

    std::string choose (const ChoiceRequest& request = {})
    {
        const ReplicaState* chosen = chooser.choose (table.usableReplicas ("m"), request, table,
                                                     outliers, prefixes, now, random);
        return chosen == nullptr ? "" : chosen->info.runner.value;
    }
    std::map<std::string, int> chooseOften (int times = 400)
    {
        std::map<std::string, int> counts;
        for (int made = 0; made < times; ++made)
            counts[choose()] += 1;
        return counts;
    }
    void eject (const std::string& runner)
    {
        for (int failure = 0; failure < 3; ++failure)
            outliers.onFailure (base::RunnerId (runner), now);
    }

    base::TimePoint now{ base::seconds (100) };
    ReplicaTable table;
    OutlierDetector outliers;
    PrefixIndex prefixes;
    base::Random random{ 5 };
    ReplicaChooser chooser{ ChooserOptions{ .zone = base::ZoneName ("z1") } };
};

TEST (ReplicaChooserTest, WithoutCandidatesThereIsNoChoice)
{
    EXPECT_EQ (ChooserBench ({}).choose(), "");
}

TEST (ReplicaChooserTest, PrefersItsOwnZoneUntilItIsBusier)
{
    ChooserBench near ({ row ("r1", "m", 1, "z1"), row ("r2", "m", 0, "z2") });
    EXPECT_EQ (near.chooseOften()["r1"], 400);
    ChooserBench busy ({ row ("r1", "m", 6, "z1"), row ("r2", "m", 0, "z2") });
    EXPECT_GT (busy.chooseOften()["r2"], 350);
}

TEST (ReplicaChooserTest, ChoosesTheLeastLoadedAndSpreadsOverEquals)
{
    ChooserBench bench ({ row ("r1", "m", 3), row ("r2", "m", 1), row ("r3", "m", 1) });
    const auto counts = bench.chooseOften (1000);
    EXPECT_FALSE (counts.contains ("r1"));
    EXPECT_NEAR (counts.at ("r2"), 500, 80);
}

TEST (ReplicaChooserTest, OwnRequestsCountBeforeTheNextReport)
{
    ChooserBench bench ({ row ("r1"), row ("r2") });
    for (int made = 0; made < 8; ++made)
    {
        const std::string runner = bench.choose();
        bench.table.addInFlight (row (runner), 0);
    }
    EXPECT_EQ (totalOf (bench.table.inFlightAtRunner (base::RunnerId ("r1"))), 4U);
    EXPECT_EQ (totalOf (bench.table.inFlightAtRunner (base::RunnerId ("r2"))), 4U);
}

TEST (ReplicaChooserTest, PrefersACachedPrefixUnlessItsRunnerIsMuchBusier)
{
    ChooserBench bench ({ row ("r1", "m", 0), row ("r2", "m", 4), row ("r3", "m", 16) });
    std::vector<PrefixHash> prompt (60);
    std::iota (prompt.begin(), prompt.end(), PrefixHash{ 1 });
    bench.prefixes.onSent (base::RunnerId ("r3"), "m", prompt);
    EXPECT_NE (bench.choose ({ prompt, {}, {} }), "r3");
    prompt.pop_back();
    bench.prefixes.onSent (base::RunnerId ("r2"), "m", prompt);
    EXPECT_EQ (bench.choose ({ prompt, {}, {} }), "r2");
}

TEST (ReplicaChooserTest, LessUrgentRequestsAreNoLoadToAClassThatPausesThem)
{
    ChooserBench bench ({ row ("r1", "m", 8), row ("r2", "m", 8) });
    for (int made = 0; made < 6; ++made)
        bench.table.addInFlight (row ("r1"), 8);
    bench.table.addInFlight (row ("r2"), 0);
    EXPECT_EQ (bench.choose(), "r2");
    EXPECT_EQ (bench.choose ({ {}, {}, 0 }), "r1");
}

TEST (ReplicaChooserTest, RoutersAgreeOnThePreferredReplicaOfAnUnknownPrefix)
{
    std::map<std::string, int> homes;
    for (PrefixHash prefix = 1; prefix <= 60; ++prefix)
    {
        ChooserBench one ({ row ("r1"), row ("r2"), row ("r3") });
        ChooserBench other ({ row ("r3"), row ("r2"), row ("r1") });
        other.random = base::Random (99);
        const std::string home = one.choose ({ { prefix }, {}, {} });
        EXPECT_EQ (other.choose ({ { prefix }, {}, {} }), home);
        homes[home] += 1;
    }
    for (const auto& [runner, count] : homes)
        EXPECT_GT (count, 8) << runner;
}

TEST (ReplicaChooserTest, ChoosesEjectedAndAvoidedRunnersOnlyAsALastResort)
{
    ChooserBench bench ({ row ("r1"), row ("r2") });
    bench.eject ("r1");
    EXPECT_EQ (bench.chooseOften()["r2"], 400);
    EXPECT_EQ (bench.choose ({ {}, { base::RunnerId ("r2") }, {} }), "r1");
    bench.eject ("r2");
    EXPECT_NE (bench.choose(), "");
}

TEST (ReplicaChooserTest, AReturningRunnerGetsFewRequestsAtFirst)
{
    ChooserBench bench ({ row ("r1", "m", 0), row ("r2", "m", 4) });
    bench.eject ("r1");
    bench.now += base::seconds (1);
    EXPECT_FALSE (bench.chooseOften().contains ("r1"));
    bench.now += base::seconds (9);
    EXPECT_EQ (bench.chooseOften()["r1"], 400);
}

// The choice is always one of the candidates, and never an ejected one while there is another.
RC_GTEST_PROP (ReplicaChooserProperty, ChoosesACandidate, ())
{
    const auto loads =
        *rc::gen::nonEmpty (rc::gen::container<std::vector<int>> (rc::gen::inRange (0, 9)));
    std::vector<cell::RoutableReplica> rows;
    for (std::size_t number = 0; number < loads.size(); ++number)
    {
        rows.push_back (row ("r" + std::to_string (number), "m",
                             static_cast<std::uint32_t> (loads[number]),
                             number % 2 == 0 ? "z1" : "z2"));
    }
    ChooserBench bench (rows);
    const bool ejects = rows.size() > 1 && *rc::gen::arbitrary<bool>();
    if (ejects)
        bench.eject ("r0");
    const auto prefix =
        *rc::gen::container<std::vector<PrefixHash>> (rc::gen::inRange<PrefixHash> (0, 3));
    bench.prefixes.onSent (base::RunnerId ("r0"), "m", prefix);
    const std::string chosen = bench.choose ({ prefix, {}, {} });
    RC_ASSERT (! chosen.empty());
    RC_ASSERT (! ejects || chosen != "r0");
}

}  // namespace
}  // namespace fernlift::routing
