// Tests counting, expiry, eviction and updates of requests that were running when runners crashed.

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "cell/QuarantineTable.h"
#include "wire/Codec.h"

namespace fernlift::cell
{
namespace
{

RunnerCrash crashOf (const std::string& request, const std::string& instance,
                     base::UnixMilliseconds sentAt, base::UnixMilliseconds crashedAt)
{
    return { { 1, request }, instance, sentAt, crashedAt };
}

TEST (QuarantineTableTest, ThreeConsecutiveCrashesLeadToQuarantine)
{
    QuarantineTable table;
    EXPECT_TRUE (table.note (1, crashOf ("r", "a", 0, 50)));
    EXPECT_TRUE (table.note (2, crashOf ("r", "b", 60, 110)));
    EXPECT_FALSE (table.find ("r")->isInQuarantine());
    EXPECT_TRUE (table.note (3, crashOf ("r", "c", 300, 350)));
    EXPECT_TRUE (table.find ("r")->isInQuarantine());
}

TEST (QuarantineTableTest, SimultaneousCrashesCountAsOne)
{
    QuarantineTable table;
    for (int copy = 0; copy < 6; ++copy)
        table.note (1, crashOf ("r", "rack" + std::to_string (copy), copy, 100));
    EXPECT_EQ (table.find ("r")->consecutiveCrashes(), 1);
}

TEST (QuarantineTableTest, PromptPartThatARunnerHadBorneBeforeThePreviousCrashCountsOnce)
{
    const std::string part = std::string (kPromptPartPrefix) + "head";
    QuarantineTable table;
    table.note (1, crashOf (part, "a", 0, 50));
    EXPECT_TRUE (table.note (2, crashOf (part, "b", 60, 110)));
    EXPECT_EQ (table.updateSince (1).upserts.size(), 1U);
    EXPECT_TRUE (table.note (3, crashOf (part, "b", 10, 110)));
    EXPECT_EQ (table.find (part)->consecutiveCrashes(), 1);
    EXPECT_EQ (table.updateSince (2).removals, std::vector<std::string>{ part });
    EXPECT_FALSE (table.note (4, crashOf (part, "b", 20, 110)));
    EXPECT_TRUE (table.note (5, crashOf (part, "c", 120, 170)));
    EXPECT_TRUE (table.updateSince (2).removals.empty());
    EXPECT_EQ (table.updateSince (2).upserts.size(), 1U);
}

TEST (QuarantineTableTest, ACrashReportedTwiceCountsOnce)
{
    QuarantineTable table;
    EXPECT_TRUE (table.note (1, crashOf ("r", "a", 0, 50)));
    EXPECT_FALSE (table.note (2, crashOf ("r", "a", 60, 110)));
    EXPECT_EQ (table.find ("r")->consecutiveCrashes(), 1);
    EXPECT_EQ (table.version(), 1);
}

TEST (QuarantineTableTest, OrderOfReportsDoesNotMatter)
{
    std::vector<RunnerCrash> crashes{ crashOf ("r", "a", 0, 50), crashOf ("r", "b", 10, 60),
                                      crashOf ("r", "c", 55, 90), crashOf ("r", "d", 95, 120) };
    std::mt19937 random (1);
    for (int round = 0; round < 24; ++round)
    {
        std::ranges::shuffle (crashes, random);
        QuarantineTable table;
        for (const RunnerCrash& crash : crashes)
            table.note (1, crash);
        EXPECT_EQ (table.find ("r")->consecutiveCrashes(), 3);
    }
}

TEST (QuarantineTableTest, ManySimultaneousCrashesDoNotDisplaceLaterOnes)
{
    QuarantineTable table;
    for (int copy = 0; copy < 20; ++copy)
        table.note (1, crashOf ("r", "wave" + std::to_string (copy), 0, 100));
    table.note (2, crashOf ("r", "b", 200, 250));
    table.note (3, crashOf ("r", "c", 300, 350));
    EXPECT_TRUE (table.find ("r")->isInQuarantine());
    EXPECT_LE (table.find ("r")->crashes.size(), QuarantineTable::kMaxCrashes);
}

TEST (QuarantineTableTest, AReleasedRequestStartsWithoutCrashes)
{
    QuarantineTable table;
    table.note (1, crashOf ("r", "a", 0, 50));
    EXPECT_TRUE (table.release (2, "r"));
    EXPECT_FALSE (table.release (3, "r"));
    EXPECT_EQ (table.find ("r"), nullptr);
    table.note (4, crashOf ("r", "b", 60, 110));
    EXPECT_EQ (table.find ("r")->consecutiveCrashes(), 1);
}

TEST (QuarantineTableTest, SuspectsExpireSoonerThanRequestsInQuarantine)
{
    QuarantineTable table;
    table.note (1, crashOf ("once", "a", 0, 50));
    for (int end = 0; end < 3; ++end)
        table.note (1, crashOf ("thrice", std::to_string (end), 100 * end, 100 * end + 50));
    EXPECT_TRUE (table.hasExpired (QuarantineTable::kSuspectLifetime + 50));
    EXPECT_TRUE (table.expire (2, QuarantineTable::kSuspectLifetime + 250));
    EXPECT_EQ (table.find ("once"), nullptr);
    EXPECT_NE (table.find ("thrice"), nullptr);
    EXPECT_TRUE (table.expire (3, QuarantineTable::kQuarantineLifetime + 250));
    EXPECT_TRUE (table.all().empty());
}

TEST (QuarantineTableTest, AFullTableEvictsTheOldestWithTheFewestCrashes)
{
    QuarantineTable table;
    for (int end = 0; end < 3; ++end)
        table.note (1, crashOf ("old", std::to_string (end), 100 * end, 100 * end + 50));
    for (std::size_t each = 0; each < QuarantineTable::kMaxSuspects; ++each)
        table.note (2, crashOf ("s" + std::to_string (each), "a", 1000,
                                1000 + static_cast<base::UnixMilliseconds> (each)));
    EXPECT_EQ (table.all().size(), QuarantineTable::kMaxSuspects);
    EXPECT_TRUE (table.find ("old")->isInQuarantine());
    EXPECT_EQ (table.find ("s0"), nullptr);
}

TEST (QuarantineTableTest, AnUpdateContainsTheChangesSinceAVersion)
{
    QuarantineTable table;
    table.note (4, crashOf ("r", "a", 0, 50));
    table.note (5, crashOf ("r", "b", 60, 110));
    table.note (5, crashOf ("s", "a", 0, 50));
    table.note (6, crashOf ("s", "b", 60, 110));
    table.note (6, crashOf ("once", "b", 0, 110));
    table.release (7, "r");
    const SuspectUpdate whole = table.updateSince (0);
    EXPECT_EQ (whole.fromVersion, 0);
    ASSERT_EQ (whole.upserts.size(), 1);
    EXPECT_EQ (whole.upserts[0].request.digest, "s");
    const SuspectUpdate change = table.updateSince (6);
    EXPECT_EQ (change.fromVersion, 6);
    EXPECT_EQ (change.toVersion, 7);
    EXPECT_TRUE (change.upserts.empty());
    EXPECT_EQ (change.removals, std::vector<std::string>{ "r" });
}

TEST (QuarantineTableTest, RequestsWithOneCrashAreNotSentToRouters)
{
    QuarantineTable table;
    table.note (5, crashOf ("r", "a", 0, 50));
    EXPECT_TRUE (table.updateSince (0).upserts.empty());
    table.release (6, "r");
    EXPECT_TRUE (table.updateSince (5).removals.empty());
    EXPECT_EQ (table.version(), 6);
}

TEST (QuarantineTableTest, ARestoredTableIsSentWholeToRoutersWithAnEarlierVersion)
{
    QuarantineTable table;
    table.note (4, crashOf ("r", "a", 0, 50));
    table.note (5, crashOf ("r", "b", 60, 110));
    table.note (5, crashOf ("s", "a", 0, 50));
    table.note (6, crashOf ("s", "b", 60, 110));
    table.note (6, crashOf ("once", "b", 0, 110));
    table.release (7, "r");
    auto restored = wire::decodeValue<QuarantineTable> (wire::encodeValue (table));
    ASSERT_TRUE (restored);
    EXPECT_EQ (restored.value().version(), 7);
    EXPECT_EQ (restored.value().updateSince (6).fromVersion, 0)
        << "removals before the restored version are not known";
}

}  // namespace
}  // namespace fernlift::cell
