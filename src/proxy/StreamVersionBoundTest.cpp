// Property: whatever routers restart and whichever runners are replaced by ones of other software
// versions, also at the same address, no stream holds events of two versions, over all tries of its
// caller. Plays random events against three routers. FERNLIFT_STREAM_FIRST_SEED and
// FERNLIFT_STREAM_SEEDS set the seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cell/SoftwareVersionHistory.h"
#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 3;
constexpr std::size_t kRunners = 6;
constexpr int kSteps = 120;
constexpr std::array<const char*, 3> kVersions{ "v1", "v2", "v3" };
/// Runners of the version of a stream with which it should go on.
constexpr std::size_t kServingRunners = 2;
constexpr std::size_t kGoOnPercent = 95;

/// Runner that writes its software version into its events and breaks off half of its streams.
class PlayedRunner
{
public:
    PlayedRunner (base::Random& random, std::string id, std::string version)
        : m_random (random),
          m_id (std::move (id)),
          m_version (std::move (version)),
          m_runner ([this] (const std::string& request) { return answer (request); })
    {
    }
    /// Another incarnation takes the address.
    void replace (std::string id, std::string version)
    {
        m_id = std::move (id);
        m_version = std::move (version);
    }
    [[nodiscard]] cell::RoutableInstance row() const
    {
        cell::RoutableInstance row = ProxyFixture::rowOf (m_id, m_runner.address());
        row.softwareVersion = m_version;
        return row;
    }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& version() const { return m_version; }

private:
    StubReply answer (const std::string& request)
    {
        if (request.find ("Test-Target: " + m_id + "\r\n") == std::string::npos)
            return { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" };
        const std::string event = "data: " + m_version + "\nid: 1\n\n";
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        if (m_random.uniformReal() < 0.5)
        {
            StubReply broken{ head + "\r\n" + event + "data: " };
            broken.closes = true;
            return broken;
        }
        return { head + "Content-Length: " + std::to_string (event.size()) + "\r\n\r\n" + event };
    }

    base::Random& m_random;
    std::string m_id;
    std::string m_version;
    AnsweringRunner m_runner;
};

struct Tally
{
    std::size_t streams = 0;
    std::size_t mixed = 0;
    std::size_t resumed = 0;  ///< By their callers, while enough runners of their version served.
    std::size_t wentOn = 0;
};

class StreamPlay
{
public:
    explicit StreamPlay (std::uint64_t seed) : m_random (seed)
    {
        for (std::size_t number = 0; number < kRunners; ++number)
            m_runners.push_back (
                std::make_unique<PlayedRunner> (m_random, nextId(), kVersions[number % 2]));
        for (const auto& runner : m_runners)
            recordRunner (*runner);
        m_routers.resize (kRouters);
        for (std::size_t number = 0; number < kRouters; ++number)
            restart (number);
    }

    Tally play()
    {
        for (int step = 0; step < kSteps; ++step)
        {
            const std::int64_t event = m_random.uniformInteger (0, 19);
            if (event == 0)
                restart (anyRouter());
            else if (event <= 2)
                replaceRunner();
            else if (event <= 4)
                syncTable (anyRouter());
            for (const auto& router : m_routers)
                router->pollStreamFetcher();
            playStream();
        }
        return m_tally;
    }

private:
    std::size_t anyRouter()
    {
        return static_cast<std::size_t> (m_random.uniformInteger (0, kRouters - 1));
    }
    std::string nextId() { return "i-" + std::to_string (++m_lastId); }

    /// Ends a router and starts it again, with empty memory, at another address.
    void restart (std::size_t number)
    {
        m_routers[number] = std::make_unique<ProxyFixture>();
        m_routers[number]->findRunnersAlive();
        m_routers[number]->servePeers ("router-" + std::to_string (number));
        m_routers[number]->softwareHistory = [this] { return softwareHistory(); };
        std::vector<cell::RouterPeer> peers;
        for (const auto& router : m_routers)
        {
            if (router)
                peers.push_back (router->peerRow());
        }
        for (const auto& router : m_routers)
        {
            if (router)
                router->setPeers (peers);
        }
        syncTable (number);
        m_routers[number]->fetchStreams();
        runFor (milliseconds (20));
    }
    [[nodiscard]] std::int64_t time() const
    {
        return base::toMilliseconds (m_clock.now().time_since_epoch());
    }
    void recordRunner (const PlayedRunner& runner)
    {
        m_history.record (runner.row().instance, runner.version(), time());
    }
    /// What controllers state about the past.
    [[nodiscard]] cell::SoftwareHistory softwareHistory() const
    {
        return m_history.statedAt (time());
    }
    /// Tables of the other routers may stay behind.
    void syncTable (std::size_t number)
    {
        std::vector<cell::RoutableInstance> rows;
        for (const auto& runner : m_runners)
            rows.push_back (runner->row());
        m_routers[number]->replaceTable (rows);
    }
    void replaceRunner()
    {
        const auto index = static_cast<std::size_t> (m_random.uniformInteger (0, kRunners - 1));
        const auto version =
            static_cast<std::size_t> (m_random.uniformInteger (0, kVersions.size() - 1));
        m_history.remove (m_runners[index]->id(), time());
        if (m_random.uniformReal() < 0.5)
            m_runners[index]->replace (nextId(), kVersions[version]);
        else
            m_runners[index] =
                std::make_unique<PlayedRunner> (m_random, nextId(), kVersions[version]);
        recordRunner (*m_runners[index]);
        syncTable (anyRouter());
    }
    /// Runners of the version that all routers know.
    std::size_t runnersOf (const std::string& version)
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            m_runners,
            [&] (const auto& runner)
            {
                return runner->version() == version
                       && std::ranges::all_of (
                           m_routers,
                           [&] (const auto& router) {
                               return router->directory.softwareVersionOf (runner->id()) == version;
                           });
            }));
    }
    std::string send (const std::string& id, const std::string& extra)
    {
        RawCaller caller (m_routers[anyRouter()]->listening);
        caller.write (ProxyFixture::request ("resume.test", id, extra));
        waitUntil (
            [&]
            {
                const std::string& received = caller.received();
                const bool isRefused = received.starts_with ("HTTP/1.1 5");
                return caller.isClosed() || received.ends_with ("0\r\n\r\n") || isRefused;
            });
        return caller.received();
    }
    static bool isWhole (const std::string& answer) { return answer.ends_with ("0\r\n\r\n"); }
    static std::vector<std::string> versionsIn (const std::string& answer)
    {
        std::vector<std::string> versions;
        for (const char* const version : kVersions)
        {
            if (answer.find (std::string ("data: ") + version) != std::string::npos)
                versions.emplace_back (version);
        }
        return versions;
    }

    /// One stream over all tries of its caller.
    void playStream()
    {
        constexpr int kMaxTries = 4;
        const std::string begunAs = "stream-" + std::to_string (++m_tally.streams);
        std::string received = send (begunAs, "");
        bool isBroken = ! isWhole (received);
        for (int tries = 1; tries < kMaxTries && isBroken; ++tries)
        {
            const std::vector<std::string> begun = versionsIn (received);
            if (begun.empty())
                return;
            if (m_random.uniformReal() < 0.3)
                replaceRunner();
            const bool isServed = runnersOf (begun.front()) >= kServingRunners;
            const std::string rest = send (begunAs + "-" + std::to_string (tries),
                                           "Last-Event-Id: 1\r\nTest-Resumes: " + begunAs + "\r\n");
            if (isServed)
            {
                ++m_tally.resumed;
                m_tally.wentOn += versionsIn (rest).empty() ? 0 : 1;
            }
            received += rest;
            isBroken = ! isWhole (rest);
        }
        if (versionsIn (received).size() > 1)
            ++m_tally.mixed;
    }

    base::Random m_random;
    base::SystemClock m_clock;
    cell::SoftwareVersionHistory m_history = cell::SoftwareVersionHistory::ofNewCell();
    std::vector<std::unique_ptr<PlayedRunner>> m_runners;
    std::vector<std::unique_ptr<ProxyFixture>> m_routers;
    std::uint64_t m_lastId = 0;
    Tally m_tally;
};

TEST (StreamVersionBoundTest, NoStreamHoldsEventsOfTwoSoftwareVersions)
{
    const std::uint64_t first = numberFrom ("FERNLIFT_STREAM_FIRST_SEED", 1);
    const std::uint64_t seeds = numberFrom ("FERNLIFT_STREAM_SEEDS", 4);
    Tally sum;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        const Tally tally = StreamPlay (seed).play();
        EXPECT_EQ (tally.mixed, 0U) << "seed " << seed;
        sum.streams += tally.streams;
        sum.mixed += tally.mixed;
        sum.resumed += tally.resumed;
        sum.wentOn += tally.wentOn;
    }
    std::cout << sum.streams << " streams, " << sum.mixed << " of two versions, " << sum.wentOn
              << " of " << sum.resumed << " resumed ones went on\n";
    EXPECT_GE (sum.wentOn * 100, sum.resumed * kGoOnPercent);
}

}  // namespace
}  // namespace fernlift::proxy::test
