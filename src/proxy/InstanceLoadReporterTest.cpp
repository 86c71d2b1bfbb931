#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "proxy/InstanceLoadReporter.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::Duration kInterval = milliseconds (50);

base::TimePoint at (int milliseconds)
{
    return base::TimePoint{} + seconds (100) + base::milliseconds (milliseconds);
}

class InstanceLoadReporterTest : public ::testing::Test
{
protected:
    InstanceLoadReporterTest() { m_reporter.setShared (true); }

    InstanceLoadReporter m_reporter;
};

TEST_F (InstanceLoadReporterTest, ReportsAbsoluteLoadOfChangedRunnersOnly)
{
    m_reporter.onAttemptBegin ("a", 900);
    m_reporter.onAttemptBegin ("b", 100);
    m_reporter.onAttemptBegin ("a", 50);
    auto report = m_reporter.takeDue (at (0), kInterval);
    ASSERT_TRUE (report);
    const std::vector<cell::InstanceUse> both{ { "a", 2, 950 }, { "b", 1, 100 } };
    EXPECT_EQ (report->uses, both);
    m_reporter.onAnswerBegun ("a", 900);
    report = m_reporter.takeDue (at (60), kInterval);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->uses, (std::vector<cell::InstanceUse>{ { "a", 2, 50 } }));
}

TEST_F (InstanceLoadReporterTest, ReportsNothingTwiceOrEarly)
{
    m_reporter.onAttemptBegin ("a", 1);
    ASSERT_TRUE (m_reporter.takeDue (at (0), kInterval));
    EXPECT_FALSE (m_reporter.takeDue (at (500), kInterval));
    m_reporter.onAttemptEnd ("a");
    ASSERT_TRUE (m_reporter.takeDue (at (500), kInterval));
    m_reporter.onAttemptBegin ("a", 1);
    EXPECT_FALSE (m_reporter.takeDue (at (520), kInterval));
    EXPECT_TRUE (m_reporter.takeDue (at (550), kInterval));
}

TEST_F (InstanceLoadReporterTest, DoesNotReportAttemptsWithinOneInterval)
{
    m_reporter.onAttemptBegin ("a", 7);
    m_reporter.onAttemptEnd ("a");
    EXPECT_FALSE (m_reporter.takeDue (at (0), kInterval));
}

TEST_F (InstanceLoadReporterTest, ReportsEverythingToNewController)
{
    m_reporter.onAttemptBegin ("a", 10);
    m_reporter.onAttemptBegin ("b", 20);
    ASSERT_TRUE (m_reporter.takeDue (at (0), kInterval));
    m_reporter.onLinkLost();
    m_reporter.onAttemptEnd ("b");
    const auto report = m_reporter.takeDue (at (1), kInterval);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->uses, (std::vector<cell::InstanceUse>{ { "a", 1, 10 } }));
}

TEST_F (InstanceLoadReporterTest, WithdrawsReportedLoadsWhenSharingStops)
{
    m_reporter.onAttemptBegin ("a", 10);
    ASSERT_TRUE (m_reporter.takeDue (at (0), kInterval));
    m_reporter.setShared (false);
    const auto report = m_reporter.takeDue (at (60), kInterval);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->uses, (std::vector<cell::InstanceUse>{ { "a", 0, 0 } }));
    m_reporter.onAttemptBegin ("b", 10);
    m_reporter.onSlowdown ("b", 250, at (100));
    m_reporter.onPause ("b", "m", milliseconds (9), 1, at (100));
    EXPECT_FALSE (m_reporter.takeDue (at (120), kInterval));
    m_reporter.setShared (true);
    const auto again = m_reporter.takeDue (at (180), kInterval);
    ASSERT_TRUE (again);
    EXPECT_EQ (again->uses, (std::vector<cell::InstanceUse>{ { "a", 1, 10 }, { "b", 1, 10 } }));
}

TEST_F (InstanceLoadReporterTest, SumsGapsByRunnerAndModelCorrectedForSlowdown)
{
    m_reporter.onSlowdown ("a", 250, at (0));
    m_reporter.onPause ("a", "m", milliseconds (25), 1, at (20));
    m_reporter.onPause ("a", "m", milliseconds (50), 2, at (70));
    m_reporter.onPause ("b", "m", milliseconds (10), 1, at (70));
    const auto report = m_reporter.takeDue (at (80), kInterval);
    ASSERT_TRUE (report);
    const std::vector<cell::InstancePace> paces{ { "a", "m", 3, 30'000 }, { "b", "m", 1, 10'000 } };
    EXPECT_EQ (report->paces, paces);
    EXPECT_FALSE (m_reporter.takeDue (at (200), kInterval)) << "the gaps were reported already";
}

TEST_F (InstanceLoadReporterTest, IgnoresGapsLongAfterStatedSlowdown)
{
    m_reporter.onSlowdown ("a", 100, at (0));
    m_reporter.onPause ("a", "m", milliseconds (25), 1, at (900));
    const auto report = m_reporter.takeDue (at (901), kInterval);
    EXPECT_TRUE (! report || report->paces.empty());
}

TEST_F (InstanceLoadReporterTest, ReportsSlowdownOnceWithItsAge)
{
    m_reporter.onAttemptBegin ("a", 0);
    m_reporter.onSlowdown ("a", 250, at (0));
    const auto report = m_reporter.takeDue (at (30), kInterval);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->slowdowns, (std::vector<cell::InstanceSlowdown>{ { "a", 250, 30 } }));
    EXPECT_FALSE (m_reporter.takeDue (at (100), kInterval));
    m_reporter.onSlowdown ("a", 100, at (110));
    const auto next = m_reporter.takeDue (at (120), kInterval);
    ASSERT_TRUE (next);
    EXPECT_EQ (next->slowdowns, (std::vector<cell::InstanceSlowdown>{ { "a", 100, 10 } }));
}

TEST (LoadReportInterval, AControllerReadsABoundedNumberOfReports)
{
    EXPECT_EQ (loadReportInterval (1), milliseconds (50));
    EXPECT_EQ (loadReportInterval (34), milliseconds (102));
    EXPECT_EQ (loadReportInterval (100'000), milliseconds (250));
}

/// After any sequence of events, including changes of the controller, the absolute reports give the
/// controller the same loads as the router has.
RC_GTEST_PROP (InstanceLoadReports, ReportedLoadsMatchActualLoads,
               (const std::vector<std::uint8_t>& events))
{
    InstanceLoadReporter reporter;
    reporter.setShared (true);
    struct Attempt
    {
        std::string instance;
        std::uint64_t tokens = 0;
        bool isBegun = false;
    };
    std::vector<Attempt> attempts;
    std::map<std::string, cell::InstanceUse> reported;
    const auto take = [&] (base::TimePoint now, base::Duration interval)
    {
        const auto report = reporter.takeDue (now, interval);
        for (std::size_t at = 0; report && at < report->uses.size(); ++at)
            reported[report->uses[at].instance] = report->uses[at];
    };
    int time = 0;
    for (const std::uint8_t event : events)
    {
        time += event % 40;
        const std::string instance (1, static_cast<char> ('a' + event % 3));
        if (event % 5 < 2)
        {
            attempts.push_back ({ instance, event, false });
            reporter.onAttemptBegin (instance, event);
        }
        else if (event % 5 == 2 && ! attempts.empty() && ! attempts.back().isBegun)
        {
            attempts.back().isBegun = true;
            reporter.onAnswerBegun (attempts.back().instance, attempts.back().tokens);
        }
        else if (event % 5 == 3 && ! attempts.empty())
        {
            const Attempt ended = attempts[event % attempts.size()];
            attempts.erase (attempts.begin()
                            + static_cast<std::ptrdiff_t> (event % attempts.size()));
            if (! ended.isBegun)
                reporter.onAnswerBegun (ended.instance, ended.tokens);
            reporter.onAttemptEnd (ended.instance);
        }
        else if (event % 50 == 4)
        {
            reported.clear();
            reporter.onLinkLost();
        }
        take (at (time), kInterval);
    }
    take (at (time + 1000), kInterval);
    for (const std::string instance : { "a", "b", "c" })
    {
        cell::InstanceUse truth{ instance, 0, 0 };
        for (const Attempt& attempt : attempts)
        {
            if (attempt.instance != instance)
                continue;
            ++truth.inFlight;
            truth.pendingPrefillTokens += attempt.isBegun ? 0 : attempt.tokens;
        }
        const auto found = reported.find (instance);
        RC_ASSERT ((found == reported.end() ? cell::InstanceUse{ instance, 0, 0 } : found->second)
                   == truth);
    }
}

}  // namespace
}  // namespace fernlift::proxy
