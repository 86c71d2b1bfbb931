// Runners that send bytes without end in place of an answer. Guards against requests that are held
// beyond their deadline, other requests that wait meanwhile, and memory that grows.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

/// Answers each request with a beginning and then the same bytes again and again, 10 MB a second,
/// until the connection closes. Runs in threads of its own, since it never waits for its reader.
class EndlessRunner
{
public:
    EndlessRunner (std::string beginning, std::string repeated)
        : m_beginning (std::move (beginning)), m_listener (::socket (AF_INET, SOCK_STREAM, 0))
    {
        constexpr std::size_t kBytesPerWrite = 100'000;
        while (m_repeated.size() < kBytesPerWrite)
            m_repeated += repeated;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* const general = reinterpret_cast<sockaddr*> (&address);
        ::bind (m_listener, general, length);
        ::listen (m_listener, 16);
        ::getsockname (m_listener, general, &length);
        m_port = ntohs (address.sin_port);
        m_acceptor = std::thread ([this] { accept(); });
    }
    ~EndlessRunner()
    {
        m_isStopping = true;
        ::shutdown (m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (std::thread& writer : m_writers)
            writer.join();
        ::close (m_listener);
    }
    EndlessRunner (const EndlessRunner&) = delete;
    EndlessRunner& operator= (const EndlessRunner&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string (m_port); }
    [[nodiscard]] std::size_t requests() const { return m_requests; }

private:
    void accept()
    {
        while (! m_isStopping)
        {
            const int connection = ::accept (m_listener, nullptr, nullptr);
            if (connection >= 0)
                m_writers.emplace_back ([this, connection] { answer (connection); });
        }
    }
    void answer (int connection)
    {
        std::string received (4096, '\0');
        if (::recv (connection, received.data(), received.size(), 0) > 0)
        {
            ++m_requests;
            bool isOpen = send (connection, m_beginning);
            while (isOpen && ! m_isStopping)
            {
                isOpen = send (connection, m_repeated);
                std::this_thread::sleep_for (milliseconds (10));
            }
        }
        ::close (connection);
    }
    bool send (int connection, std::string_view bytes) const
    {
        while (! bytes.empty() && ! m_isStopping)
        {
            const ssize_t count =
                ::send (connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                bytes.remove_prefix (static_cast<std::size_t> (count));
            else if (errno == EAGAIN)
                std::this_thread::sleep_for (milliseconds (1));
            else
                return false;
        }
        return true;
    }

    std::string m_beginning;
    std::string m_repeated;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping{ false };
    std::atomic<std::size_t> m_requests{ 0 };
    std::thread m_acceptor;
    std::vector<std::thread> m_writers;  ///< Used by the acceptor, and after its end.
};

struct EndlessCase
{
    const char* name;
    std::string beginning;
    std::string repeated;
};

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessCase>& framingCases()
{
    static const std::vector<EndlessCase> cases{
        { "ChunkSize", kChunkedHead, "0" },
        { "ChunkExtension", kChunkedHead + "5;a=", "b" },
        { "Trailers", kChunkedHead + "0\r\n", "Field: value\r\n" },
        { "TrailerField", kChunkedHead + "0\r\nField: ", "x" },
        { "HeadField", "HTTP/1.1 200 OK\r\nField: ", "x" },
        { "HeadFields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n" },
        { "InterimAnswers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    };
    return cases;
}

/// A router with a runner that answers without end and a sound one for the second attempt.
class EndlessFramingTest : public ::testing::TestWithParam<std::size_t>
{
protected:
    [[nodiscard]] static const EndlessCase& endless() { return framingCases()[GetParam()]; }

    EndlessRunner m_endless{ endless().beginning, endless().repeated };
    AnsweringRunner m_sound{ [] (const std::string&) { return StubReply{ servedAnswer() }; } };
    ProxyFixture m_router;
};

TEST_P (EndlessFramingTest, EndsTheAttemptAtOnceAndTriesAnotherRunner)
{
    m_router.put (ProxyFixture::rowOf ("endless", m_endless.address()));
    RawCaller caller (m_router.listening);
    const base::SystemClock clock;
    const base::TimePoint begin = clock.now();
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (waitUntil ([&] { return m_endless.requests() > 0; }));
    m_router.put (ProxyFixture::rowOf ("sound", m_sound.address()));
    EXPECT_TRUE (caller.waitFor ("HTTP/1.1 200"));
    EXPECT_LT (clock.now() - begin, milliseconds (500)) << "the deadline is 3 s";
    EXPECT_EQ (m_sound.requests, 1U);
}

INSTANTIATE_TEST_SUITE_P (Cases, EndlessFramingTest,
                          ::testing::Range<std::size_t> (0, framingCases().size()),
                          [] (const auto& info)
                          { return std::string (framingCases()[info.param].name); });

class EndlessBodyTest : public ::testing::Test
{
protected:
    /// Sends requests to the endless runner, and others to a sound one of the other service, and
    /// returns the longest time that one of the latter took.
    base::Duration longestBeside (const std::string& host, std::size_t requests, milliseconds time)
    {
        std::vector<std::unique_ptr<RawCaller>> held;
        for (std::size_t number = 0; number < requests; ++number)
        {
            held.push_back (std::make_unique<RawCaller> (m_router.listening));
            held.back()->write (ProxyFixture::request (host));
        }
        base::Duration longest{};
        const base::TimePoint begin = m_clock.now();
        while (m_clock.now() - begin < time)
        {
            const base::TimePoint sent = m_clock.now();
            EXPECT_TRUE (m_router.call ("other.test").starts_with ("HTTP/1.1 200"));
            longest = std::max<base::Duration> (longest, m_clock.now() - sent);
            runFor (milliseconds (20));
        }
        m_held = std::move (held);
        return longest;
    }
    void addRunners (const EndlessRunner& endless)
    {
        m_router.put (ProxyFixture::rowOf ("endless", endless.address()));
        cell::RoutableInstance other = ProxyFixture::rowOf ("other", m_sound.address());
        other.instance.service = "other";
        m_router.put (other);
    }

    base::SystemClock m_clock;
    AnsweringRunner m_sound{ [] (const std::string&) { return StubReply{ servedAnswer() }; } };
    ProxyFixture m_router;
    std::vector<std::unique_ptr<RawCaller>> m_held;
};

TEST_F (EndlessBodyTest, TinyChunksHoldNoOtherRequestAndEndAtTheDeadline)
{
    const EndlessRunner endless (kChunkedHead, "8\r\n01234567\r\n");
    addRunners (endless);
    const base::TimePoint begin = m_clock.now();
    EXPECT_LT (longestBeside ("once.test", 4, milliseconds (2500)), milliseconds (250));
    EXPECT_TRUE (waitUntil (
        [&] {
            return std::ranges::all_of (m_held,
                                        [] (const auto& caller) { return caller->isClosed(); });
        }));
    EXPECT_LT (m_clock.now() - begin, milliseconds (3500)) << "the deadline is 3 s";
}

TEST_F (EndlessBodyTest, EventWithoutEndIsBrokenOff)
{
    const EndlessRunner endless ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
                                 "x");
    addRunners (endless);
    RawCaller caller (m_router.listening);
    caller.write (ProxyFixture::request ("stream.test"));
    const base::TimePoint begin = m_clock.now();
    EXPECT_TRUE (waitUntil ([&] { return caller.isClosed(); }));
    EXPECT_LT (m_clock.now() - begin, milliseconds (1500)) << "the deadline is 3 s";
}

}  // namespace
}  // namespace fernlift::proxy::test
