// Tests with real processes: connections between routers and back ends break at each stage of a
// request and its answer.

#include <algorithm>

#include "lab/FleetFaults.h"
#include "lab/FleetProbes.h"
#include "lab/FleetTestSupport.h"

namespace fernlift::lab
{
namespace
{

/// Byte offsets at which a connection breaks: before the first byte, within the headers and within
/// the body or stream.
constexpr std::uint64_t kBeforeAll = 0;
constexpr std::uint64_t kWithinHeaders = 40;
constexpr std::uint64_t kWithinStream = 700;
constexpr std::size_t kCalls = 60;

class BackEndFaultsTest : public FleetTest
{
protected:
    void SetUp() override
    {
        FleetTest::SetUp();
        // A restarted router has recorded no failures, so it sends to the back ends in its own
        // zone.
        ASSERT_TRUE (succeeds ([] { return fleet().restart (kFirstRouter); }));
        ASSERT_TRUE (succeeds ([] { return waitForRouters (fleet(), kTestTimeout); }));
    }

    /// Number of retries and resumed streams of the first router.
    static double furtherAttempts()
    {
        double attempts = 0;
        EXPECT_TRUE (succeeds (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (address, fleet().httpAddress (kFirstRouter));
                const std::string metrics = fetchMetrics (address);
                attempts = metricValue (metrics, "fernlift_router_retries_total").value_or (0)
                           + metricValue (metrics, "fernlift_router_resumes_total").value_or (0);
                return {};
            }));
        return attempts;
    }

    /// Sets the faults on the proxies of the first engine and the first application runner.
    static base::Result<void> breakFirstBackEnds (const ProxyFaults& faults)
    {
        BOOST_LEAF_CHECK (setProxyFaults (fleet(), kFirstEngine, faults));
        return setProxyFaults (fleet(), kFirstApplication, faults);
    }

    /// Injects the faults under a mixed load; repeatable calls must be answered despite them.
    void expectSurvives (const ProxyFaults& faults)
    {
        const auto history = runLoad ({ chatTarget(), nonRepeatableTarget() }, kCalls,
                                      [&] { return breakFirstBackEnds (faults); });
        EXPECT_GE (history.size(), kCalls);
        EXPECT_GT (furtherAttempts(), 0) << "the faults met no request";
        requireNoViolation (history);
        std::vector<CallRecord> chats;
        std::copy_if (history.begin(), history.end(), std::back_inserter (chats),
                      [] (const CallRecord& call) { return call.kind == CallKind::kChat; });
        EXPECT_EQ (countUnanswered (chats), 0U) << describeUnanswered (chats);
    }
};

TEST_F (BackEndFaultsTest, RefusesConnections)
{
    expectSurvives ({ .toTarget = {}, .toCaller = {}, .refuses = true });
}

TEST_F (BackEndFaultsTest, ResetBeforeTheRequest)
{
    expectSurvives ({ .toTarget = { .resetAfterBytes = kBeforeAll }, .toCaller = {} });
}

TEST_F (BackEndFaultsTest, ResetWithinTheRequest)
{
    expectSurvives ({ .toTarget = { .resetAfterBytes = kWithinHeaders }, .toCaller = {} });
}

TEST_F (BackEndFaultsTest, ResetBeforeTheAnswer)
{
    expectSurvives ({ .toTarget = {}, .toCaller = { .resetAfterBytes = kBeforeAll } });
}

TEST_F (BackEndFaultsTest, ResetWithinTheAnswer)
{
    expectSurvives ({ .toTarget = {}, .toCaller = { .resetAfterBytes = kWithinStream } });
}

TEST_F (BackEndFaultsTest, SilentWithinTheRequest)
{
    expectSurvives ({ .toTarget = { .cutAfterBytes = kWithinHeaders }, .toCaller = {} });
}

TEST_F (BackEndFaultsTest, SilentBeforeTheAnswer)
{
    expectSurvives ({ .toTarget = {}, .toCaller = { .cutAfterBytes = kBeforeAll } });
}

TEST_F (BackEndFaultsTest, SilentWithinTheAnswer)
{
    expectSurvives ({ .toTarget = {}, .toCaller = { .cutAfterBytes = kWithinStream } });
}

TEST_F (BackEndFaultsTest, FrozenEngine)
{
    const auto history =
        runLoad ({ chatTarget() }, kCalls, [] { return fleet().freeze (kFirstEngine); });
    EXPECT_EQ (countUnanswered (history), 0U) << describeUnanswered (history);
    ASSERT_TRUE (succeeds ([] { return fleet().thaw (kFirstEngine); }));
    requireNoViolation (history);
}

}  // namespace
}  // namespace fernlift::lab
