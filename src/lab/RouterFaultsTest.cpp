// Tests with real processes: routers are frozen and killed, and callers repeat requests with the
// same idempotency key.

#include <algorithm>

#include "lab/EventWait.h"
#include "lab/FleetFaults.h"
#include "lab/FleetProbes.h"
#include "lab/FleetTestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr std::size_t kCalls = 60;
constexpr std::size_t kKeys = 20;
constexpr std::uint64_t kWithinStream = 700;

class RouterFaultsTest : public FleetTest
{
protected:
    static std::size_t runsOf (const std::string& key)
    {
        std::size_t count = 0;
        for (const char* node : { kFirstApplication, kSecondApplication })
        {
            for (const LedgerRun& run : runsAt (node))
            {
                count += run.idempotencyKey == key ? 1 : 0;
            }
        }
        return count;
    }

    static base::Result<void> slowApplications()
    {
        constexpr const char* kSlow = R"({"fault":"slow","factor":200})";
        BOOST_LEAF_CHECK (setStandinFault (fleet(), kFirstApplication, kSlow));
        return setStandinFault (fleet(), kSecondApplication, kSlow);
    }
};

TEST_F (RouterFaultsTest, FrozenRouterAnswersOrRefusesAfterItResumes)
{
    const auto history = runLoad ({ chatTarget(), nonRepeatableTarget() }, kCalls,
                                  []() -> base::Result<void>
                                  {
                                      BOOST_LEAF_CHECK (fleet().freeze (kFirstRouter));
                                      handleEventsFor (base::seconds (3));  // Longer than a lease.
                                      return fleet().thaw (kFirstRouter);
                                  });
    EXPECT_GE (history.size(), kCalls);
    requireNoViolation (history);
}

TEST_F (RouterFaultsTest, KilledRouterLosesNoClaim)
{
    ASSERT_TRUE (succeeds (slowApplications));
    const auto history =
        runLoad ({ nonRepeatableTarget() }, kCalls,
                 []() -> base::Result<void>
                 {
                     const auto hasBegun = [] { return ! runsAt (kFirstApplication).empty(); };
                     EXPECT_TRUE (waitUntil (hasBegun, kTestTimeout));
                     return fleet().kill (kFirstRouter);
                 });
    requireNoViolation (history, { .allowsBrokenCalls = true });
    std::vector<CallRecord> all = history;
    std::size_t broken = 0;
    for (const CallRecord& call : history)
    {
        if (call.end == CallEnd::kBroken)
        {
            ++broken;
            all.push_back (repeatAt (kSecondRouter, call));
            EXPECT_LE (runsOf (call.idempotencyKey), 1U);
        }
    }
    EXPECT_GT (broken, 0U) << "the router was killed too late";
    ASSERT_TRUE (succeeds ([] { return fleet().restart (kFirstRouter); }));
    requireNoViolation (all, { .allowsBrokenCalls = true });
}

TEST_F (RouterFaultsTest, KeySentToTwoRoutersAtOnceRunsOnce)
{
    std::vector<Arrival> arrivals (kKeys, Arrival{ {}, 0, false, 1 });
    std::vector<std::unique_ptr<LoadRunner>> callers;
    for (const base::SocketAddress& router : fleet().callerAddresses (NodeRole::kRouter))
    {
        LoadOptions options;
        options.routers = { router };
        options.targets = { nonRepeatableTarget() };
        options.arrivals = arrivals;
        options.idPrefix = "pair-" + std::to_string (callers.size());
        options.keyPrefix = "pair";
        callers.push_back (std::make_unique<LoadRunner> (std::move (options)));
        callers.back()->start();
    }
    std::vector<CallRecord> history;
    for (const auto& caller : callers)
    {
        ASSERT_TRUE (waitUntil ([&] { return caller->isFinished(); }, kTestTimeout));
        history.insert (history.end(), caller->history().begin(), caller->history().end());
    }
    requireNoViolation (history);
    EXPECT_EQ (countUnanswered (history), kKeys) << describeUnanswered (history);
}

TEST_F (RouterFaultsTest, DisconnectedCallersLeaveNoRequestsBehind)
{
    for (const ProxyFaults& faults :
         { ProxyFaults{ .toTarget = {}, .toCaller = { .resetAfterBytes = kWithinStream } },
           ProxyFaults{ .toTarget = { .resetAfterBytes = 100 }, .toCaller = {} } })
    {
        const auto history =
            runLoad ({ chatTarget(), nonRepeatableTarget() }, kCalls,
                     [&] { return setProxyFaults (fleet(), kFirstRouter, faults); });
        ASSERT_TRUE (succeeds ([] { return clearFaults (fleet()); }));
        requireNoViolation (history, { .allowsBrokenCalls = true });
    }
}

}  // namespace
}  // namespace fernlift::lab
