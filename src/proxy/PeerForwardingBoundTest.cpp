// Property: whichever routers lose and regain their links to the runners, and whatever runners
// answer, no request that may run once runs twice, none runs at more runners than its route allows,
// none that a caller was promised not to have run has run, and every caller gets its own answer.
// Plays random events against three routers that serve each other's requests.
// FERNLIFT_PEER_SEEDS sets the number of seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr base::Duration kStep = base::milliseconds (25);
constexpr int kSteps = 160;
constexpr std::size_t kRouters = 3;
constexpr std::size_t kRunners = 4;
constexpr std::uint32_t kMaxAttempts = 2;
/// Nothing listens there.
const char* const kClosedAddress = "127.0.0.1:1";

enum class Behaviour : std::uint8_t
{
    kServes,
    kDeclines,
    kBreaksOff,
};

struct Call
{
    std::string id;
    std::string host;
    std::unique_ptr<RawCaller> caller;

    [[nodiscard]] bool mayRunTwice() const { return host == "app.test" || host == "resume.test"; }
    [[nodiscard]] int status() const
    {
        constexpr std::string_view kBegin = "HTTP/1.1 ";
        int status = 0;
        const std::string& received = caller->received();
        if (received.starts_with (kBegin))
            std::from_chars (received.data() + kBegin.size(), received.data() + received.size(),
                             status);
        return status;
    }
    [[nodiscard]] bool isEnded() const
    {
        return caller->isClosed() || caller->received().ends_with ("0\r\n\r\n")
               || caller->received().ends_with (id + ".") || status() >= 400;
    }
};

class PeerPlay
{
public:
    PeerPlay (std::uint64_t seed, bool areRunnersSound)
        : m_random (seed), m_areRunnersSound (areRunnersSound)
    {
        for (std::size_t number = 0; number < kRunners; ++number)
            m_runners.push_back (std::make_unique<AnsweringRunner> (
                [this, number] (const std::string& request) { return reply (number, request); }));
        m_behaviours.resize (kRunners);
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_routers.push_back (std::make_unique<ProxyFixture>());
            m_routers.back()->servePeers ("router-" + std::to_string (number));
            m_isCut.push_back (false);
        }
        std::vector<cell::RouterPeer> peers;
        for (const auto& router : m_routers)
            peers.push_back (router->peerRow());
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_routers[number]->setPeers (peers);
            connect (number, false);
        }
    }

    void play()
    {
        for (int step = 0; step < kSteps; ++step)
        {
            passTime();
            changeSomething();
            const auto requests = m_random.uniformInteger (0, 2);
            for (std::int64_t request = 0; request < requests; ++request)
                send (static_cast<std::size_t> (m_random.uniformInteger (0, kRouters - 1)));
        }
        finish();
    }
    /// Cuts some routers from all runners and returns the served share of the requests that were
    /// sent to them from a second later on.
    double servedWhileCut (std::size_t cutRouters)
    {
        for (std::size_t router = 0; router < cutRouters; ++router)
            connect (router, true);
        constexpr int kDetectionSteps = 40;
        for (int step = 0; step < kDetectionSteps; ++step)
        {
            passTime();
            send (static_cast<std::size_t> (step) % kRouters);
        }
        const std::size_t first = m_calls.size();
        for (int step = 0; step < kDetectionSteps; ++step)
        {
            passTime();
            send (static_cast<std::size_t> (step) % cutRouters);
        }
        finish();
        std::size_t served = 0;
        for (std::size_t number = first; number < m_calls.size(); ++number)
            served += m_calls[number]->status() == 200 ? 1 : 0;
        return static_cast<double> (served) / static_cast<double> (m_calls.size() - first);
    }

    /// Adds a failure for each request that broke the property.
    void check()
    {
        for (const auto& call : m_calls)
        {
            const std::uint32_t runs = m_runs[call->id];
            EXPECT_TRUE (call->isEnded()) << call->id << ": " << call->caller->received();
            EXPECT_LE (runs, call->mayRunTwice() ? kMaxAttempts : 1) << call->id << call->host;
            EXPECT_LE (m_arrivals[call->id], kMaxAttempts) << call->id << call->host;
            const bool isPromised = call->status() == 503 && ! call->mayRunTwice();
            EXPECT_TRUE (! isPromised || runs == 0) << call->id << " was promised not to run";
            if (call->status() != 200)
                continue;
            EXPECT_GT (runs, 0U) << call->id;
            const bool isOwn = call->caller->received().find ("Test-Id: " + call->id + "\r\n")
                               != std::string::npos;
            EXPECT_TRUE (isOwn) << call->id << ": " << call->caller->received();
        }
    }
    [[nodiscard]] std::uint64_t forwarded() const
    {
        std::uint64_t sum = 0;
        for (const auto& router : m_routers)
            sum += router->counters.forwardedToPeers;
        return sum;
    }

private:
    bool chance (double share) { return m_random.uniformReal() < share; }
    void passTime()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_routers[number]->advance (kStep);
            probe (number);
        }
        runFor (std::chrono::milliseconds (2));
    }
    void probe (std::size_t number)
    {
        ProxyFixture& router = *m_routers[number];
        const base::TimePoint now = router.clock.now();
        for (const std::string& runner : router.context.reachability.takeProbes (now, m_random))
        {
            router.directory.onProbed (runner, ! m_isCut[number], now);
            if (m_isCut[number])
                router.context.reachability.onConnectFailed (runner, now);
            else
                router.context.reachability.onConnected (runner, now);
        }
    }
    /// Joins the router to the runners or cuts it from them.
    void connect (std::size_t number, bool isCut)
    {
        m_isCut[number] = isCut;
        ProxyFixture& router = *m_routers[number];
        const bool isReset = chance (0.5);
        for (std::size_t runner = 0; runner < kRunners; ++runner)
        {
            const std::string address = m_runners[runner]->address();
            router.put (ProxyFixture::rowOf ("i-" + std::to_string (runner),
                                             isCut ? kClosedAddress : address));
            if (isReset)
                router.pool.forget (base::SocketAddress::tryParse (address).value());
        }
        router.context.reachability.setRunners (router.directory.instances());
    }
    void changeSomething()
    {
        if (chance (0.08))
        {
            const auto router = static_cast<std::size_t> (
                m_random.uniformInteger (0, static_cast<std::int64_t> (kRouters) - 1));
            connect (router, ! m_isCut[router]);
        }
        if (m_areRunnersSound || ! chance (0.1))
            return;
        const auto runner = static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (kRunners) - 1));
        m_behaviours[runner] = static_cast<Behaviour> (m_random.uniformInteger (0, 2));
    }
    void send (std::size_t router)
    {
        static const std::vector<std::string> kHosts{ "app.test", "once.test", "stream.test",
                                                      "resume.test" };
        auto call = std::make_unique<Call>();
        call->id = "c" + std::to_string (m_calls.size());
        call->host = kHosts[static_cast<std::size_t> (m_random.uniformInteger (0, 3))];
        call->caller = std::make_unique<RawCaller> (m_routers[router]->listening);
        call->caller->write (ProxyFixture::request (call->host, call->id));
        m_calls.push_back (std::move (call));
    }
    void finish()
    {
        constexpr int kMaxSteps = 200;
        for (int step = 0; step < kMaxSteps; ++step)
        {
            passTime();
            if (std::ranges::all_of (m_calls, [] (const auto& call) { return call->isEnded(); }))
                return;
        }
    }

    StubReply reply (std::size_t number, const std::string& request)
    {
        const std::string id = idOf (request);
        ++m_arrivals[id];
        const bool isStream = request.find ("Host: stream.test") != std::string::npos
                              || request.find ("Host: resume.test") != std::string::npos;
        const std::string idField = "Test-Id: " + id + "\r\n";
        if (m_behaviours[number] == Behaviour::kDeclines)
            return { "HTTP/1.1 503 Service Unavailable\r\n" + idField
                     + "Test-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
        ++m_runs[id];
        if (! isStream)
        {
            if (m_behaviours[number] == Behaviour::kBreaksOff)
                return { "", true };
            const std::string body = id + ".";
            return { "HTTP/1.1 200 OK\r\n" + idField
                     + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body };
        }
        const std::string head = "HTTP/1.1 200 OK\r\n" + idField
                                 + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\nF\r\nid: 1\ndata: a\n\n\r\n";
        if (m_behaviours[number] == Behaviour::kBreaksOff)
            return { head, true };
        return { head + "0\r\n\r\n" };
    }
    static std::string idOf (const std::string& request)
    {
        const std::string field = "Test-Id: ";
        const std::size_t begin = request.find (field) + field.size();
        return request.substr (begin, request.find ("\r\n", begin) - begin);
    }

    base::Random m_random;
    bool m_areRunnersSound;
    std::map<std::string, std::uint32_t> m_arrivals;  ///< By request id.
    std::map<std::string, std::uint32_t> m_runs;
    std::vector<std::unique_ptr<AnsweringRunner>> m_runners;
    std::vector<Behaviour> m_behaviours;
    std::vector<bool> m_isCut;
    std::vector<std::unique_ptr<ProxyFixture>> m_routers;
    std::vector<std::unique_ptr<Call>> m_calls;
};

std::uint64_t seedCount()
{
    constexpr std::uint64_t kSeedsInCi = 6;
    return numberFrom ("FERNLIFT_PEER_SEEDS", kSeedsInCi);
}

TEST (PeerForwardingBoundTest, NothingRunsTwiceOrIsLostWhileLinksComeAndGo)
{
    const std::uint64_t begin = numberFrom ("FERNLIFT_PEER_FIRST_SEED", 1);
    std::uint64_t forwarded = 0;
    for (std::uint64_t seed = begin; seed < begin + seedCount(); ++seed)
    {
        SCOPED_TRACE ("seed " + std::to_string (seed));
        PeerPlay play (seed, seed % 3 == 0);
        play.play();
        play.check();
        forwarded += play.forwarded();
    }
    EXPECT_GT (forwarded, 0U);
}

TEST (PeerForwardingBoundTest, RoutersWithoutRunnersServeTheirCallersWithinASecond)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed)
    {
        PeerPlay play (seed, true);
        EXPECT_GE (play.servedWhileCut (1 + seed % 2), 0.95) << "seed " << seed;
        play.check();
    }
}

}  // namespace
}  // namespace fernlift::proxy::test
