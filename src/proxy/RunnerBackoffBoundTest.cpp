// Property: whatever requests, answers and tables arrive, a router sends nothing to a runner from
// half a second after it declined with Retry-After until the end of that time, and nothing from
// half a second after it stated that it is leaving. Plays random events against one router; time is
// moved by hand. FERNLIFT_BACKOFF_SEEDS sets the number of seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr base::Duration kStep = base::milliseconds (25);
constexpr int kSteps = 240;
/// What was sent before the statement may arrive within this time.
constexpr base::Duration kUnderway = base::milliseconds (500);
constexpr std::size_t kRunners = 3;

/// A defect planted to show that the play finds it.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kForgottenWithTable,    ///< Statements are lost when the table of runners changes.
    kForgottenWithSuccess,  ///< Statements are lost when any runner serves a request.
};

/// What one incarnation of a runner stated, and what reached it.
struct RunnerRecord
{
    struct Backoff
    {
        base::TimePoint statedAt{};
        base::Duration delay{};
    };

    std::vector<Backoff> backoffs;
    std::optional<base::TimePoint> leavingSince;
    std::vector<base::TimePoint> arrivals;

    [[nodiscard]] std::size_t arrivalsBetween (base::TimePoint begin, base::TimePoint end) const
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            arrivals, [&] (base::TimePoint at) { return at > begin && at < end; }));
    }
    /// Requests that arrived although the runner wanted none.
    [[nodiscard]] std::size_t unwanted() const
    {
        std::size_t most = 0;
        for (const Backoff& backoff : backoffs)
            most = std::max (most, arrivalsBetween (backoff.statedAt + kUnderway,
                                                    backoff.statedAt + backoff.delay));
        if (leavingSince)
            most = std::max (most,
                             arrivalsBetween (*leavingSince + kUnderway, base::TimePoint::max()));
        return most;
    }
};

enum class Behaviour : std::uint8_t
{
    kServes,
    kDeclines,
    kBreaksOff,
    kIsSilent,
    kLeaves,
};

class BackoffPlay
{
public:
    BackoffPlay (std::uint64_t seed, PlantedFault fault) : m_random (seed), m_fault (fault)
    {
        for (std::size_t number = 0; number < kRunners; ++number)
        {
            m_runners.push_back (std::make_unique<Runner> (*this, "i-" + std::to_string (number)));
            m_proxy.put (m_runners.back()->row());
        }
        if (chance (0.5))
            limitRate (*m_runners[0]);
        if (chance (0.5))
            m_proxy.suspects.apply (suspectUpdate (1, "app.test", 1, { "x" }), now());
    }

    void play()
    {
        for (int step = 0; step < kSteps; ++step)
        {
            m_proxy.advance (kStep);
            grantPermits();
            changeSomething();
            const auto requests = m_random.uniformInteger (0, 2);
            for (std::int64_t request = 0; request < requests; ++request)
                sendRequest();
            runFor (std::chrono::milliseconds (2));
        }
    }

    [[nodiscard]] std::size_t unwanted() const
    {
        std::size_t most = 0;
        for (const RunnerRecord& record : m_ended)
            most = std::max (most, record.unwanted());
        for (const auto& runner : m_runners)
            most = std::max (most, runner->record.unwanted());
        return most;
    }
    [[nodiscard]] std::size_t declined() const { return m_declined; }
    [[nodiscard]] std::size_t served() const { return m_served; }

private:
    class Runner
    {
    public:
        Runner (BackoffPlay& play, std::string id)
            : m_play (play),
              m_id (std::move (id)),
              m_server ([this] (const std::string& request) { return reply (request); })
        {
        }

        [[nodiscard]] cell::RoutableInstance row() const
        {
            return ProxyFixture::rowOf (m_id, m_server.address(), startedAt);
        }

        RunnerRecord record;
        Behaviour behaviour = Behaviour::kDeclines;
        base::UnixMilliseconds startedAt = 1;

    private:
        StubReply reply (const std::string& request)
        {
            record.arrivals.push_back (m_play.now());
            switch (behaviour)
            {
                case Behaviour::kDeclines:
                    return decline();
                case Behaviour::kBreaksOff:
                    return { isStream (request) ? kStreamHead + kEvent : "", true };
                case Behaviour::kIsSilent:
                    return {};
                case Behaviour::kLeaves:
                    if (! record.leavingSince)
                        record.leavingSince = m_play.now();
                    return { servedAnswer ("Test-Leaving: 1\r\n") };
                case Behaviour::kServes:
                    break;
            }
            ++m_play.m_served;
            if (m_play.m_fault == PlantedFault::kForgottenWithSuccess)
                m_play.m_proxy.directory.availability() = {};
            return { isStream (request) ? kStreamHead + kEvent + "0\r\n\r\n" : servedAnswer() };
        }
        StubReply decline()
        {
            const std::vector<std::string> delays{ "0.7", "1.5", "3" };
            const std::string& delay = m_play.anyOf (delays);
            record.backoffs.push_back (
                { m_play.now(), std::chrono::duration_cast<base::Duration> (
                                    std::chrono::duration<double> (std::stod (delay))) });
            ++m_play.m_declined;
            const std::string notExecuted =
                m_play.chance (0.7) ? "Test-Not-Executed: 1\r\n" : std::string();
            return { "HTTP/1.1 503 Service Unavailable\r\nTest-Id: r1\r\nRetry-After: " + delay
                     + "\r\n" + notExecuted + "Content-Length: 0\r\n\r\n" };
        }
        static bool isStream (const std::string& request)
        {
            return request.find ("Host: resume.test") != std::string::npos
                   || request.find ("Host: stream.test") != std::string::npos;
        }

        inline static const std::string kStreamHead =
            "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
        inline static const std::string kEvent = "F\r\nid: 1\ndata: a\n\n\r\n";

        BackoffPlay& m_play;
        std::string m_id;
        AnsweringRunner m_server;
    };

    [[nodiscard]] base::TimePoint now() const { return m_proxy.clock.now(); }
    bool chance (double share) { return m_random.uniformReal() < share; }
    template <typename Item>
    const Item& anyOf (const std::vector<Item>& items)
    {
        return items[static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (items.size()) - 1))];
    }

    void limitRate (Runner& runner)
    {
        cell::InstanceRateUpdate table{ 1, ++m_rateVersion, true, {} };
        const cell::ServiceInstance instance = runner.row().instance;
        table.limited.push_back ({ instance.id, instance.startedAt, 20, 0 });
        m_proxy.rates.apply (table, now());
    }
    /// Answers the permit requests of earlier steps.
    void grantPermits()
    {
        for (const cell::InstancePermitGrant& grant : std::exchange (m_grants, {}))
            m_proxy.rates.onGrant (grant, now());
        m_proxy.server.onDirectoryChanged();
        const auto request = m_proxy.rates.takeRequest (now());
        if (! request)
            return;
        cell::InstancePermitGrant grant;
        grant.grant.sequence = request->claims.sequence;
        for (const cell::QuotaNeed& need : request->claims.needs)
            grant.grant.allowances.push_back ({ need.account, 1, 200, 0 });
        m_grants.push_back (grant);
    }
    void changeSomething()
    {
        const auto& runner =
            m_runners[static_cast<std::size_t> (m_random.uniformInteger (0, kRunners - 1))];
        if (chance (0.1))
        {
            runner->behaviour =
                anyOf<Behaviour> ({ Behaviour::kServes, Behaviour::kServes, Behaviour::kDeclines,
                                    Behaviour::kDeclines, Behaviour::kBreaksOff,
                                    Behaviour::kIsSilent, Behaviour::kLeaves });
        }
        if (chance (0.03))
            changeTable (*runner);
        if (chance (runner->record.leavingSince ? 0.2 : 0.01))
            restart (*runner);
    }
    void changeTable (Runner& runner)
    {
        if (m_fault == PlantedFault::kForgottenWithTable)
            m_proxy.directory.availability() = {};
        if (chance (0.5))
        {
            m_proxy.remove (runner.row().instance.id);
            m_proxy.put (runner.row());
            return;
        }
        std::vector<cell::RoutableInstance> rows;
        for (const auto& each : m_runners)
            rows.push_back (each->row());
        m_proxy.replaceTable (rows);
    }
    void restart (Runner& runner)
    {
        ++runner.startedAt;
        runner.behaviour = Behaviour::kServes;
        m_ended.push_back (std::exchange (runner.record, {}));
        m_proxy.put (runner.row());
    }
    void sendRequest()
    {
        const std::vector<std::string> hosts{ "app.test", "once.test", "stream.test",
                                              "resume.test" };
        m_callers.push_back (std::make_unique<RawCaller> (m_proxy.listening));
        m_callers.back()->write (ProxyFixture::request (anyOf (hosts)));
    }

    base::Random m_random;
    PlantedFault m_fault;
    std::size_t m_declined = 0;
    std::size_t m_served = 0;
    std::uint64_t m_rateVersion = 0;
    std::vector<RunnerRecord> m_ended;  ///< Of incarnations that were replaced.
    std::vector<cell::InstancePermitGrant> m_grants;
    ProxyFixture m_proxy;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<RawCaller>> m_callers;
};

std::uint64_t seedCount()
{
    constexpr std::uint64_t kSeedsInCi = 6;
    return numberFrom ("FERNLIFT_BACKOFF_SEEDS", kSeedsInCi);
}

std::size_t unwantedWith (PlantedFault fault)
{
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed)
    {
        BackoffPlay play (seed, fault);
        play.play();
        most = std::max (most, play.unwanted());
    }
    return most;
}

TEST (RunnerBackoffBoundTest, NothingReachesARunnerThatAskedForNothing)
{
    const std::uint64_t begin = numberFrom ("FERNLIFT_BACKOFF_FIRST_SEED", 1);
    for (std::uint64_t seed = begin; seed < begin + seedCount(); ++seed)
    {
        BackoffPlay play (seed, PlantedFault::kNone);
        play.play();
        EXPECT_EQ (play.unwanted(), 0U) << "seed " << seed;
        EXPECT_GT (play.declined(), 0U) << "seed " << seed;
        EXPECT_GT (play.served(), 0U) << "seed " << seed;
    }
}

TEST (RunnerBackoffBoundTest, FindsStatementsForgottenWithTable)
{
    EXPECT_GT (unwantedWith (PlantedFault::kForgottenWithTable), 0U);
}

TEST (RunnerBackoffBoundTest, FindsStatementsForgottenWithSuccess)
{
    EXPECT_GT (unwantedWith (PlantedFault::kForgottenWithSuccess), 0U);
}

}  // namespace
}  // namespace fernlift::proxy::test
