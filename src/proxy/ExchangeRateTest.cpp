// Requests to runners with a rate limit; the test acts as the leader that grants permits.

#include <gtest/gtest.h>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Rate: 2\r\nContent-Length: 5\r\n\r\nhello";

class ExchangeRateTest : public ::testing::Test
{
protected:
    /// Sends the leader's table that limits the given runners to two requests per second.
    void limit (const std::vector<std::string>& runners)
    {
        cell::InstanceRateUpdate table{ 1, ++m_version, true, {} };
        for (const std::string& runner : runners)
            table.limited.push_back ({ runner, 0, 2, 0 });
        proxy.rates.apply (table, proxy.clock.now());
    }
    /// Sends a request and lets the router choose a runner.
    static void send (RawCaller& caller, const std::string& host)
    {
        caller.write (ProxyFixture::request (host));
        runFor (std::chrono::milliseconds (20));
    }
    /// Answers the permit request of the router. Returns the number of permits requested.
    std::size_t answer (std::uint64_t units, std::int64_t waitMilliseconds)
    {
        const auto request = proxy.rates.takeRequest (proxy.clock.now());
        if (! request)
            return 0;
        cell::InstancePermitGrant grant;
        grant.grant.sequence = request->claims.sequence;
        std::size_t requested = 0;
        for (const cell::QuotaNeed& need : request->claims.needs)
        {
            requested += need.claims.size();
            grant.grant.allowances.push_back ({ need.account, units, 200, waitMilliseconds });
        }
        proxy.rates.onGrant (grant, proxy.clock.now());
        proxy.server.onDirectoryChanged();
        return requested;
    }

    ProxyFixture proxy;
    StubRunner runner;
    StubRunner other;

private:
    std::uint64_t m_version = 0;
};

TEST_F (ExchangeRateTest, ARequestGoesToALimitedRunnerOnceItHasAPermit)
{
    proxy.addRunner ("i-1", runner);
    limit ({ "i-1" });
    RawCaller caller (proxy.listening);
    send (caller, "once.test");
    EXPECT_TRUE (runner.connections.empty());
    EXPECT_EQ (answer (1, 0), 1U);
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    EXPECT_NE (caller.received().find ("Test-Rate: 2"), std::string::npos)
        << "the rate field is forwarded to callers";
}

TEST_F (ExchangeRateTest, WithoutAPermitARequestGoesToAnotherRunner)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    limit ({ "i-1" });
    RawCaller caller (proxy.listening);
    send (caller, "once.test");
    EXPECT_EQ (answer (0, 400), 1U);
    EXPECT_TRUE (other.waitForRequest());
    EXPECT_TRUE (runner.connections.empty());
}

TEST_F (ExchangeRateTest, UnansweredPermitRequestDelaysRequestBriefly)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    limit ({ "i-1" });
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    runFor (std::chrono::milliseconds (150));
    proxy.server.onDirectoryChanged();
    EXPECT_TRUE (other.waitForRequest());
}

TEST_F (ExchangeRateTest, RefusesAtOnceWithRetryAfterOfNextCapacity)
{
    proxy.addRunner ("i-1", runner);
    limit ({ "i-1" });
    RawCaller caller (proxy.listening);
    send (caller, "app.test");
    EXPECT_EQ (answer (0, 20'000), 1U);
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 503"));
    EXPECT_TRUE (caller.received().find ("Retry-After: 19.9") != std::string::npos
                 || caller.received().find ("Retry-After: 20.0") != std::string::npos)
        << caller.received();
    EXPECT_TRUE (runner.connections.empty());
}

TEST_F (ExchangeRateTest, RefusesRequestsBeyondRateAtOnce)
{
    proxy.addRunner ("i-1", runner);
    limit ({ "i-1" });
    // The first requests wait as long as any request without a runner, while two per second are
    // served.
    constexpr std::size_t kRequests = 20;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t number = 0; number < kRequests; ++number)
    {
        callers.push_back (std::make_unique<RawCaller> (proxy.listening));
        callers.back()->write (ProxyFixture::request ("app.test", "r" + std::to_string (number)));
    }
    runFor (std::chrono::milliseconds (30));
    answer (0, 100);
    runFor (std::chrono::milliseconds (30));
    std::size_t refused = 0;
    for (const auto& caller : callers)
        refused += caller->received().find ("HTTP/1.1 503") != std::string::npos ? 1 : 0;
    EXPECT_GT (refused, kRequests / 2);
    EXPECT_LT (refused, kRequests);
}

TEST_F (ExchangeRateTest, PermitIsNotUsedForRunnerThatHasAskedForBackoff)
{
    proxy.addRunner ("i-1", runner);
    limit ({ "i-1" });
    RawCaller caller (proxy.listening);
    send (caller, "once.test");
    proxy.directory.availability().onBackoff ({ "i-1", 0 }, base::seconds (30), proxy.clock.now());
    EXPECT_EQ (answer (1, 0), 1U);
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 503"));
    EXPECT_TRUE (runner.connections.empty());
}

TEST_F (ExchangeRateTest, DisconnectedCallerRequestsNoPermit)
{
    proxy.addRunner ("i-1", runner);
    limit ({ "i-1" });
    {
        RawCaller caller (proxy.listening);
        caller.write (ProxyFixture::request ("once.test"));
        runFor (std::chrono::milliseconds (10));
    }
    runFor (std::chrono::milliseconds (20));
    EXPECT_EQ (answer (1, 0), 0U);
    EXPECT_TRUE (runner.connections.empty());
}

}  // namespace
}  // namespace fernlift::proxy::test
