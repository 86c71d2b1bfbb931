#include <gtest/gtest.h>
#include <unistd.h>

#include "scale/ControlMeter.h"
#include "scale/ProcessMeter.h"
#include "scale/ScaleProbe.h"

namespace fernlift::scale
{
namespace
{

constexpr std::string_view kStat =
    "4711 (a (strange) name) S 1 4711 4711 0 -1 4194560 9 0 0 0 250 75 0 0 20 0 3 0 100 1 2 3";
constexpr std::string_view kStatus =
    "Name:\tcontroller\nVmHWM:\t   52340 kB\nVmRSS:\t   41000 kB\nRssAnon:\t   30000 kB\n";

template <class Function>
bool fails (const Function& function)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            auto result = function();
            if (! result)
                return result.error();
            return false;
        },
        [] (const base::Error&) { return true; });
}

TEST (ProcessMeterTest, AddsUserAndSystemTicks)
{
    EXPECT_EQ (parseProcessorTicks (kStat).value(), 325U);
}

TEST (ProcessMeterTest, RefusesAShortStat)
{
    EXPECT_TRUE (fails ([] { return parseProcessorTicks ("4711 (name"); }));
    EXPECT_TRUE (fails ([] { return parseProcessorTicks ("4711 (name) S 1 2 3"); }));
}

TEST (ProcessMeterTest, ReadsTheNamedFieldOnly)
{
    EXPECT_EQ (parseStatusKilobytes (kStatus, "VmRSS").value(), 41000U);
    EXPECT_EQ (parseStatusKilobytes (kStatus, "VmHWM").value(), 52340U);
    EXPECT_TRUE (fails ([] { return parseStatusKilobytes (kStatus, "Rss"); }));
    EXPECT_TRUE (fails ([] { return parseStatusKilobytes ("VmRSS:\tmany kB\n", "VmRSS"); }));
}

TEST (ProcessMeterTest, ReadsThisProcess)
{
    EXPECT_GT (readProcessUse (::getpid()).value().residentKilobytes, 0U);
    EXPECT_TRUE (fails ([] { return readProcessUse (-1); }));
}

TEST (ControlMeterTest, ReadsBothFamiliesByDirectionAndKind)
{
    const TrafficByKind traffic = parseTraffic (
        "# TYPE fernlift_control_messages_total counter\n"
        "fernlift_control_messages_total{direction=\"in\",kind=\"lease_request\"} 12\n"
        "fernlift_control_bytes_total{direction=\"in\",kind=\"lease_request\"} 1440\n"
        "fernlift_control_bytes_total{direction=\"out\",kind=\"lease_grant\"} 90\n"
        "fernlift_controller_term 3");
    ASSERT_EQ (traffic.size(), 2U);
    EXPECT_EQ (traffic.at ({ "in", "lease_request" }).messages, 12);
    EXPECT_EQ (traffic.at ({ "in", "lease_request" }).bytes, 1440);
    EXPECT_EQ (traffic.at ({ "out", "lease_grant" }).bytes, 90);
}

TEST (ControlMeterTest, DifferencesCountNewKindsFromZero)
{
    const TrafficByKind before{ { { "in", "report" }, { 10, 1000 } } };
    const TrafficByKind after{ { { "in", "report" }, { 15, 1800 } },
                               { { "out", "order" }, { 2, 300 } } };
    const TrafficByKind difference = trafficBetween (before, after);
    EXPECT_EQ (difference.at ({ "in", "report" }).messages, 5);
    EXPECT_EQ (difference.at ({ "in", "report" }).bytes, 800);
    EXPECT_EQ (difference.at ({ "out", "order" }).bytes, 300);
}

/// Two routers in one process and one in another: the mean is over the nodes, not the processes.
TEST (ScaleProbeTest, MeansAreWeightedByNodes)
{
    const std::vector<RoleQuantities> readings{
        { "router", 2, { { "bytes", 10 }, { "share", 1 } } },
        { "leader", 1, { { "bytes", 999 } } },
        { "router", 1, { { "bytes", 40 } } }
    };
    const auto means = meansOf ("router", readings);
    ASSERT_EQ (means.size(), 2U);
    EXPECT_EQ (means[0].name, "bytes");
    EXPECT_DOUBLE_EQ (means[0].value, 20);
    EXPECT_DOUBLE_EQ (means[1].value, 2.0 / 3);
}

}  // namespace
}  // namespace fernlift::scale
