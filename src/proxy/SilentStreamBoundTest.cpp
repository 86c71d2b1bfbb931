// Property of streams at runners that are silent for a while but always go on, while drawn faults
// strike the search for another runner. Guards against begun answers that the router ends although
// their runner would have completed them, against two runners that work on one request for long,
// and against events that are lost, come twice or are of two software versions.

#include <gtest/gtest.h>

#include <algorithm>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

constexpr int kEvents = 6;
constexpr std::size_t kRunners = 4;
constexpr std::size_t kStreams = 24;
constexpr milliseconds kEventInterval (40);
/// Time for which two runners may work on one request, as the platform's rules state it.
constexpr milliseconds kMaxOverlap (400);

/// Work of one runner on one request.
struct Run
{
    std::string request;
    std::size_t runner = 0;
    base::TimePoint began{};
    base::TimePoint ended{};  ///< Zero while it goes on.
};

/// Runs of all runners.
class RunLog
{
public:
    std::size_t begin (const std::string& request, std::size_t runner)
    {
        m_runs.push_back ({ request, runner, m_clock.now(), {} });
        return m_runs.size() - 1;
    }
    void end (std::size_t run)
    {
        if (m_runs[run].ended == base::TimePoint{})
            m_runs[run].ended = m_clock.now();
    }
    /// Longest time for which two runners worked on one request.
    [[nodiscard]] base::Duration longestOverlap() const
    {
        base::Duration longest{};
        for (const Run& one : m_runs)
        {
            for (const Run& two : m_runs)
            {
                if (one.request == two.request && one.runner < two.runner)
                    longest = std::max (longest, overlapOf (one, two));
            }
        }
        return longest;
    }

private:
    [[nodiscard]] base::Duration overlapOf (const Run& one, const Run& two) const
    {
        const base::TimePoint now = m_clock.now();
        const auto endOf = [&] (const Run& run)
        { return run.ended == base::TimePoint{} ? now : run.ended; };
        return std::min (endOf (one), endOf (two)) - std::max (one.began, two.began);
    }

    base::SystemClock m_clock;
    std::vector<Run> m_runs;
};

/// Runner whose streams pause once. It may decline requests or accept no connections.
class PausingRunner
{
public:
    PausingRunner (std::size_t number, std::string version, base::Random& random, RunLog& runs)
        : m_number (number), m_version (std::move (version)), m_random (random), m_runs (runs)
    {
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                          [this]
                          {
                              while (QTcpSocket* socket = m_server.nextPendingConnection())
                                  accept (*socket);
                          });
        m_server.listen (QHostAddress::LocalHost);
        m_port = m_server.serverPort();
    }

    [[nodiscard]] cell::RoutableInstance row() const
    {
        cell::RoutableInstance row =
            ProxyFixture::rowOf (id(), "127.0.0.1:" + std::to_string (m_port));
        row.softwareVersion = m_version;
        return row;
    }
    [[nodiscard]] std::string id() const { return "i-" + std::to_string (m_number); }
    void stopListening() { m_server.close(); }

    std::string declinesWith;  ///< Status line of every answer; empty: requests are served.

private:
    struct Stream
    {
        QTcpSocket* socket = nullptr;
        std::size_t run = 0;
        int next = 1;
        int pauseBefore = 0;  ///< Event before which the stream pauses.
        milliseconds pause{};
    };

    void accept (QTcpSocket& socket)
    {
        QObject::connect (&socket, &QTcpSocket::disconnected, &socket, &QObject::deleteLater);
        QObject::connect (&socket, &QTcpSocket::readyRead, &socket,
                          [this, &socket] { read (socket); });
    }
    static std::string valueOf (const std::string& request, const std::string& field)
    {
        const std::size_t begin = request.find ("\r\n" + field + ": ");
        if (begin == std::string::npos)
            return {};
        const std::size_t value = begin + field.size() + 4;
        return request.substr (value, request.find ("\r\n", value) - value);
    }
    void read (QTcpSocket& socket)
    {
        std::string& received = m_received[&socket];
        received += socket.readAll().toStdString();
        if (received.find ("\r\n\r\nbody") == std::string::npos)
            return;
        const std::string request = std::exchange (received, {});
        const std::string id = valueOf (request, "Test-Id");
        if (! declinesWith.empty())
        {
            write (socket, "HTTP/1.1 " + declinesWith + "\r\nTest-Id: " + id
                               + "\r\nTest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        begin (socket, id, valueOf (request, "Last-Event-Id"));
    }
    void begin (QTcpSocket& socket, const std::string& id, const std::string& lastEvent)
    {
        auto stream = std::make_shared<Stream>();
        stream->socket = &socket;
        stream->run = m_runs.begin (id, m_number);
        stream->next = lastEvent.empty() ? 1 : std::stoi (lastEvent) + 1;
        const bool isFirst = lastEvent.empty();
        stream->pauseBefore = static_cast<int> (
            m_random.uniformInteger (isFirst ? 2 : std::min (stream->next, kEvents), kEvents));
        stream->pause = milliseconds (isFirst ? m_random.uniformInteger (900, 2500)
                                              : m_random.uniformInteger (0, 300));
        QObject::connect (&socket, &QTcpSocket::disconnected, &socket,
                          [this, run = stream->run] { m_runs.end (run); });
        // The prefill of a resumed stream takes some time before the head.
        const milliseconds prefill (isFirst ? 0 : m_random.uniformInteger (0, 600));
        later (*stream, prefill,
               [this, stream, id]
               {
                   write (*stream->socket, "HTTP/1.1 200 OK\r\nTest-Id: " + id
                                               + "\r\nContent-Type: text/event-stream\r\n"
                                                 "Transfer-Encoding: chunked\r\n\r\n");
                   sendNext (stream);
               });
    }
    void sendNext (const std::shared_ptr<Stream>& stream)
    {
        if (stream->next > kEvents)
        {
            write (*stream->socket, "0\r\n\r\n");
            m_runs.end (stream->run);
            return;
        }
        const bool pauses = stream->next == stream->pauseBefore;
        later (*stream, pauses ? stream->pause : kEventInterval,
               [this, stream]
               {
                   const std::string number = std::to_string (stream->next++);
                   write (*stream->socket, chunkOf ("id: " + number + "\ndata: " + m_version + "-"
                                                    + number + ".\n\n"));
                   sendNext (stream);
               });
    }
    template <class Action>
    static void later (const Stream& stream, milliseconds delay, Action action)
    {
        QTimer::singleShot (delay, stream.socket, std::move (action));
    }
    static void write (QTcpSocket& socket, const std::string& bytes)
    {
        socket.write (bytes.data(), static_cast<qint64> (bytes.size()));
        socket.flush();
    }

    std::size_t m_number;
    std::string m_version;
    base::Random& m_random;
    RunLog& m_runs;
    std::uint16_t m_port = 0;
    std::map<QTcpSocket*, std::string> m_received;
    QTcpServer m_server;
};

enum class Fault : std::uint8_t
{
    kNone,
    kNoConnections,
    kDecline503,
    kDecline429,
    kDecline421,
    kBackoff,
    kRunnersRemoved,
    kVersionRemoved,
    kNoRetries,
    kIsolated,
    kWaitingRefused,
    kStopSignals,
    kCount,
};

class Play
{
public:
    explicit Play (std::uint64_t seed) : m_random (seed)
    {
        m_hasTwoVersions = m_random.uniformReal() < 0.5;
        for (std::size_t number = 0; number < kRunners; ++number)
        {
            const bool isSecond = m_hasTwoVersions && number % 2 == 1;
            m_runners.push_back (
                std::make_unique<PausingRunner> (number, isSecond ? "v2" : "v1", m_random, m_runs));
            m_proxy.put (m_runners.back()->row());
        }
    }

    void run()
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t number = 0; number < kStreams; ++number)
        {
            const bool isResumable = m_random.uniformReal() < 0.8;
            const std::string id = "s" + std::to_string (number);
            callers.push_back (std::make_unique<RawCaller> (m_proxy.listening));
            callers.back()->write (longRequest (isResumable ? "resume.test" : "stream.test", id));
        }
        runFor (milliseconds (200));
        strikeTwice();
        const auto isOver = [&]
        {
            return std::ranges::all_of (callers, [] (const auto& caller)
                                        { return isWhole (*caller) || caller->isClosed(); });
        };
        waitUntil (isOver, milliseconds (4500));
        for (const auto& caller : callers)
            check (caller->received());
        EXPECT_LE (m_runs.longestOverlap(), base::Duration (kMaxOverlap));
    }

    std::size_t begun = 0;
    std::size_t whole = 0;

private:
    static std::string longRequest (const std::string& host, const std::string& id)
    {
        return "POST / HTTP/1.1\r\nHost: " + host + "\r\nTest-Id: " + id
               + "\r\nTest-Deadline: 5000\r\nContent-Length: 4\r\n\r\nbody";
    }
    static bool isWhole (const RawCaller& caller)
    {
        return caller.received().find ("\r\n0\r\n\r\n") != std::string::npos;
    }
    Fault drawFault()
    {
        return static_cast<Fault> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (Fault::kCount) - 1));
    }
    void strikeTwice()
    {
        strike (drawFault());
        runFor (milliseconds (m_random.uniformInteger (0, 1200)));
        strike (drawFault());
    }
    /// One runner, or all of them.
    std::vector<PausingRunner*> drawRunners()
    {
        std::vector<PausingRunner*> drawn;
        const bool isAll = m_random.uniformReal() < 0.7;
        for (const auto& runner : m_runners)
        {
            if (isAll || drawn.empty())
                drawn.push_back (runner.get());
        }
        return drawn;
    }
    void decline (const std::string& status)
    {
        for (PausingRunner* const runner : drawRunners())
            runner->declinesWith = status;
    }
    void strike (Fault fault)
    {
        switch (fault)
        {
            case Fault::kNone:
            case Fault::kCount:
                return;
            case Fault::kNoConnections:
                for (PausingRunner* const runner : drawRunners())
                    runner->stopListening();
                return;
            case Fault::kDecline503:
                decline ("503 Service Unavailable");
                return;
            case Fault::kDecline429:
                decline ("429 Too Many Requests");
                return;
            case Fault::kDecline421:
                decline ("421 Misdirected Request");
                return;
            case Fault::kBackoff:
                for (PausingRunner* const runner : drawRunners())
                    m_proxy.directory.availability().onBackoff (
                        { runner->id(), 0 }, base::seconds (30), m_proxy.clock.now());
                return;
            case Fault::kRunnersRemoved:
                for (PausingRunner* const runner : drawRunners())
                    m_proxy.remove (runner->id());
                return;
            case Fault::kVersionRemoved:
                for (std::size_t number = 0; number < kRunners; number += 2)
                    m_proxy.remove (m_runners[number]->id());
                return;
            case Fault::kNoRetries:
                while (m_proxy.retryBudgets.of ("service").tryRetry())
                {
                }
                return;
            case Fault::kIsolated:
                m_proxy.isolate();
                return;
            case Fault::kWaitingRefused:
                m_proxy.server.refuseWaiting();
                return;
            case Fault::kStopSignals:
                m_proxy.server.beginClosing();
                m_proxy.server.beginRefusing();
                m_proxy.server.refuseWaiting();
                return;
        }
    }
    void check (const std::string& answer)
    {
        const bool hasBegun = answer.starts_with ("HTTP/1.1 200");
        if (! hasBegun)
            return;
        ++begun;
        const bool isComplete = answer.find ("\r\n0\r\n\r\n") != std::string::npos;
        whole += isComplete ? 1 : 0;
        const std::string version = answer.find ("data: v1-1.") != std::string::npos ? "v1" : "v2";
        std::size_t at = 0;
        for (int number = 1; number <= kEvents && isComplete; ++number)
        {
            const std::string event = "data: " + version + "-" + std::to_string (number) + ".\n";
            at = answer.find (event, at);
            ASSERT_NE (at, std::string::npos) << "event " << number << " in " << answer;
            EXPECT_EQ (answer.find (event, at + 1), std::string::npos) << answer;
        }
        EXPECT_TRUE (isComplete) << answer;
    }

    base::Random m_random;
    ProxyFixture m_proxy;
    RunLog m_runs;
    bool m_hasTwoVersions = false;
    std::vector<std::unique_ptr<PausingRunner>> m_runners;
};

TEST (SilentStreamBoundTest, BegunStreamsAreWholeWhileTheirRunnersGoOn)
{
    const std::uint64_t first = numberFrom ("FERNLIFT_SILENT_STREAM_FIRST", 1);
    const std::uint64_t seeds = numberFrom ("FERNLIFT_SILENT_STREAM_SEEDS", 4);
    std::size_t begun = 0;
    std::size_t whole = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        SCOPED_TRACE ("seed " + std::to_string (seed));
        Play play (seed);
        play.run();
        begun += play.begun;
        whole += play.whole;
    }
    EXPECT_GT (begun, 0U);
    std::printf ("%zu of %zu begun streams whole\n", whole, begun);
}

}  // namespace
}  // namespace fernlift::proxy::test
