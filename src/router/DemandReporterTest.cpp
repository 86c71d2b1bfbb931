#include <gtest/gtest.h>

#include "base/Digest.h"
#include "router/ActiveConfiguration.h"
#include "router/DemandReporter.h"
#include "router/RouterTestHarness.h"

namespace fernlift::router
{
namespace
{

constexpr base::TimePoint kNow{ base::seconds (100) };

DemandByTarget demand (std::uint32_t running, std::uint32_t waiting = 0)
{
    DemandByTarget demands;
    if (running + waiting == 0)
        return demands;
    demands["m"].running = running;
    demands["m"].waiting = waiting;
    return demands;
}

TEST (DemandReporterTest, SmallChangesAreNotReported)
{
    DemandReporter reporter (base::milliseconds (200));
    ASSERT_TRUE (reporter.report (demand (20), kNow));
    EXPECT_FALSE (reporter.report (demand (24), kNow));
    const auto report = reporter.report (demand (25), kNow);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->demands.at (0).running, 25U);
}

TEST (DemandReporterTest, WaitingRequestsAreReportedEachTime)
{
    DemandReporter reporter (base::milliseconds (200));
    EXPECT_TRUE (reporter.report (demand (0, 1), kNow));
    EXPECT_TRUE (reporter.report (demand (0, 1), kNow));
    EXPECT_TRUE (reporter.report (demand (1, 0), kNow));
}

TEST (DemandReporterTest, TheEndOfDemandIsReportedOnce)
{
    DemandReporter reporter (base::milliseconds (200));
    ASSERT_TRUE (reporter.report (demand (1), kNow));
    EXPECT_TRUE (reporter.hasReportedDemand ("m"));
    const auto report = reporter.report (demand (0), kNow);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->demands.at (0).running, 0U);
    EXPECT_FALSE (reporter.hasReportedDemand ("m"));
    EXPECT_FALSE (reporter.report (demand (0), kNow));
}

/// The controller discards reported demand after 30 s without repetition.
TEST (DemandReporterTest, SteadyDemandIsRepeatedInTime)
{
    DemandReporter reporter (base::milliseconds (200));
    ASSERT_TRUE (reporter.report (demand (20), kNow));
    EXPECT_FALSE (reporter.report (demand (20), kNow + base::seconds (9)));
    EXPECT_TRUE (reporter.report (demand (20), kNow + base::seconds (10)));
}

TEST (DemandReporterTest, ArrivalsAddUpUntilTheirTargetIsReported)
{
    DemandReporter reporter (base::milliseconds (200));
    ASSERT_TRUE (reporter.report (demand (20), kNow));
    reporter.onArrival ("m");
    EXPECT_FALSE (reporter.report (demand (21), kNow));
    reporter.onArrival ("m");
    const auto report = reporter.report (demand (30), kNow);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->demands.at (0).arrivals, 2U);
}

TEST (DemandReporterTest, ReportsEverythingOnANewConnection)
{
    DemandReporter reporter (base::milliseconds (200));
    ASSERT_TRUE (reporter.report (demand (20), kNow));
    reporter.onConnected();
    EXPECT_TRUE (reporter.report (demand (20), kNow));
}

std::string textOfVersion (int version)
{
    std::string text = testing::kCatalogueText;
    const std::string line = "version = 1\nzones";
    return text.replace (text.find (line), line.size(),
                         "version = " + std::to_string (version) + "\nzones");
}

/// A delta from `base` to `text` that keeps only the first 5 and the last 10 bytes.
cell::ConfigurationUpdate changeOf (const std::string& base, const std::string& text)
{
    cell::ConfigurationUpdate update;
    update.version = 2;
    update.digest = base::sha256Hex (text);
    update.baseVersion = 1;
    update.baseDigest = base::sha256Hex (base);
    update.pieces.push_back ({ 0, 5, text.substr (5, text.size() - 15) });
    update.pieces.push_back ({ base.size() - 10, 10, "" });
    return update;
}

TEST (ActiveConfigurationTest, AppliesADeltaToTheHeldConfiguration)
{
    const std::string first = textOfVersion (1);
    const std::string second = textOfVersion (22);
    ActiveConfiguration configuration;
    ASSERT_TRUE (configuration.apply ({ 1, base::sha256Hex (first), first }));
    EXPECT_TRUE (configuration.apply (changeOf (first, second)));
    EXPECT_EQ (configuration.version(), 2U);
    EXPECT_EQ (configuration.digest(), base::sha256Hex (second));
}

TEST (ActiveConfigurationTest, RejectsADeltaThatDoesNotApply)
{
    const std::string first = textOfVersion (1);
    const std::string second = textOfVersion (22);
    ActiveConfiguration configuration;
    EXPECT_FALSE (configuration.apply (changeOf (first, second)));
    ASSERT_TRUE (configuration.apply ({ 1, base::sha256Hex (first), first }));
    cell::ConfigurationUpdate otherBase = changeOf (first, second);
    otherBase.baseDigest = "other";
    EXPECT_FALSE (configuration.apply (otherBase));
    cell::ConfigurationUpdate damaged = changeOf (first, second);
    damaged.pieces[0].text += "\n# more";
    EXPECT_FALSE (configuration.apply (damaged));
    cell::ConfigurationUpdate tooLong = changeOf (first, second);
    tooLong.pieces[0].keptBytes = first.size() + 1;
    EXPECT_FALSE (configuration.apply (tooLong));
    EXPECT_EQ (configuration.version(), 1U);
}

}  // namespace
}  // namespace fernlift::router
