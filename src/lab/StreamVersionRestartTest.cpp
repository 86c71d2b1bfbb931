// Streams that callers resume after routers or controllers have restarted, while the runners of a
// service are replaced by ones of another software version. Guards against a restarted process that
// takes its own start for the beginning of the service, so that streams hold events of two
// versions.

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab
{
namespace
{

using base::milliseconds;
using http::test::RawCaller;
using http::test::runFor;
using http::test::waitUntil;

constexpr std::size_t kRouters = 3;
constexpr std::size_t kStreams = 24;
constexpr int kEvents = 40;
constexpr milliseconds kEventInterval (100);
constexpr milliseconds kStepTime (600);  ///< For a change to reach every process.

/// Runner that writes its software version into each event, and goes on after the last one that the
/// caller has.
class VersionedStreamRunner
{
public:
    explicit VersionedStreamRunner (std::string version) : m_version (std::move (version))
    {
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
        m_server.listen (QHostAddress::LocalHost);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { writeEvents(); });
        m_timer.start (kEventInterval);
    }
    ~VersionedStreamRunner() { end(); }
    VersionedStreamRunner (const VersionedStreamRunner&) = delete;
    VersionedStreamRunner& operator= (const VersionedStreamRunner&) = delete;

    [[nodiscard]] test::ForwardingCell::OwnRunner entry() const
    {
        return { "i-" + m_version, "127.0.0.1:" + std::to_string (m_server.serverPort()),
                 m_version };
    }
    /// The process ends with the streams that it is writing.
    void end()
    {
        m_server.close();
        for (auto& [socket, stream] : std::exchange (m_streams, {}))
        {
            socket->abort();
            socket->deleteLater();
        }
    }

private:
    struct Stream
    {
        std::string received;
        int nextEvent = 0;  ///< 0: no request is being answered.
    };

    void accept()
    {
        while (QTcpSocket* socket = m_server.nextPendingConnection())
        {
            m_streams[socket];
            QObject::connect (socket, &QTcpSocket::readyRead, &m_server,
                              [this, socket] { onReadable (*socket); });
            QObject::connect (socket, &QTcpSocket::disconnected, &m_server,
                              [this, socket]
                              {
                                  m_streams.erase (socket);
                                  socket->deleteLater();
                              });
        }
    }
    void onReadable (QTcpSocket& socket)
    {
        Stream& stream = m_streams[&socket];
        stream.received += socket.readAll().toStdString();
        if (stream.received.starts_with ("GET /health "))
        {
            stream.received.clear();
            socket.write ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (! stream.received.ends_with ("\r\n\r\nbody"))
            return;
        const std::string request = std::exchange (stream.received, {});
        const std::string field = "Last-Event-Id: ";
        const std::size_t at = request.find (field);
        const int last =
            at == std::string::npos ? 0 : std::stoi (request.substr (at + field.size()));
        stream.nextEvent = last + 1;
        socket.write (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    }
    void writeEvents()
    {
        for (auto& [socket, stream] : m_streams)
        {
            if (stream.nextEvent == 0)
                continue;
            const std::string event =
                "id: " + std::to_string (stream.nextEvent) + "\ndata: " + m_version + "\n\n";
            const QByteArray size = QByteArray::number (static_cast<int> (event.size()), 16);
            std::string bytes = size.toStdString() + "\r\n" + event + "\r\n";
            if (++stream.nextEvent > kEvents)
            {
                bytes += "0\r\n\r\n";
                stream.nextEvent = 0;
            }
            socket->write (bytes.data(), static_cast<qint64> (bytes.size()));
        }
    }

    std::string m_version;
    std::map<QTcpSocket*, Stream> m_streams;
    QTcpServer m_server;
    QTimer m_timer;
};

/// What a caller has of one stream.
struct Stream
{
    std::string id;
    std::unique_ptr<RawCaller> caller;
    std::string answer;  ///< Of the try that has ended.
    bool isResumed = false;
    std::size_t tries = 0;  ///< To resume it.

    [[nodiscard]] std::string lastEvent() const
    {
        const std::size_t at = answer.rfind ("id: ");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + 4;
        return answer.substr (begin, answer.find ('\n', begin) - begin);
    }
};

struct Outcome
{
    std::size_t mixed = 0;    ///< Streams with events of both versions.
    std::size_t resumed = 0;  ///< Streams that their callers resumed.
    std::size_t wentOn = 0;   ///< Those that received further events.
};

class StreamVersionRestartTest : public ::testing::Test
{
protected:
    StreamVersionRestartTest()
    {
        m_cell.registerRunner (m_first.entry());
        m_isReady = m_cell.awaitReady();
    }

    void beginStreams()
    {
        for (std::size_t number = 0; number < kStreams; ++number)
        {
            Stream stream;
            stream.id = "stream-" + std::to_string (number);
            stream.caller = std::make_unique<RawCaller> (m_cell.frontAddress (number % kRouters));
            stream.caller->write (requestOf (stream.id, ""));
            m_streams.push_back (std::move (stream));
        }
        runFor (3 * kEventInterval);
    }
    void registerOther()
    {
        m_cell.registerRunner (m_other.entry());
        runFor (kStepTime);
    }
    void deregisterFirst()
    {
        m_cell.deregisterRunner (m_first.entry().id);
        runFor (kStepTime);
    }
    void restartRouters()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.killRouter (number);
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.replaceRouter (number);
        awaitRouters();
    }
    void restartControllers()
    {
        for (std::size_t number = 0; number < kControllers; ++number)
            m_cell.killController (number);
        for (std::size_t number = 0; number < kControllers; ++number)
            m_cell.restartController (number);
    }
    void awaitRouters()
    {
        ASSERT_TRUE (waitUntil ([this] { return m_cell.areRoutersReady(); }));
    }
    /// Resumes each stream that was broken off, at another router than before. A refused caller
    /// comes back at the next one.
    void resumeBroken()
    {
        constexpr std::size_t kTries = 4;
        for (std::size_t number = 0; number < m_streams.size(); ++number)
        {
            Stream& stream = m_streams[number];
            if (stream.isResumed || ! stream.caller->isClosed())
                continue;
            stream.answer = stream.caller->received();
            if (stream.lastEvent().empty() || stream.answer.ends_with ("0\r\n\r\n"))
                continue;
            stream.isResumed = true;
            for (std::size_t attempt = 1; attempt <= kTries && ! isServed (stream); ++attempt)
                resume (stream, (number + attempt) % kRouters);
        }
    }
    [[nodiscard]] Outcome outcome() const
    {
        Outcome outcome;
        for (const Stream& stream : m_streams)
        {
            const std::string all = stream.answer + stream.caller->received();
            const bool isMixed = all.find ("data: v1") != std::string::npos
                                 && all.find ("data: v2") != std::string::npos;
            outcome.mixed += isMixed ? 1 : 0;
            outcome.resumed += stream.isResumed ? 1 : 0;
            outcome.wentOn += isServed (stream) ? 1 : 0;
        }
        return outcome;
    }
    /// Expects that no stream is mixed, and that nearly all went on if `mustGoOn`.
    void expectUnmixed (bool mustGoOn)
    {
        constexpr std::size_t kGoOnPercent = 95;
        const Outcome outcome = this->outcome();
        EXPECT_EQ (outcome.mixed, 0U) << "of " << outcome.resumed << " resumed streams";
        EXPECT_GT (outcome.resumed, kStreams / 2);
        if (! mustGoOn)
            return;
        EXPECT_GE (outcome.wentOn * 100, outcome.resumed * kGoOnPercent)
            << outcome.wentOn << " of " << outcome.resumed << " went on";
    }

    static constexpr std::size_t kControllers = 3;

    VersionedStreamRunner m_first{ "v1" };
    VersionedStreamRunner m_other{ "v2" };
    test::ForwardingCell m_cell{
        { .controllers = kControllers, .routers = kRouters, .runners = 0 }
    };
    std::vector<Stream> m_streams;
    bool m_isReady = false;

private:
    static std::string requestOf (const std::string& id, const std::string& extra)
    {
        return "POST /path HTTP/1.1\r\nHost: resume.test\r\nTest-Id: " + id
               + "\r\nTest-Deadline: 9000\r\n" + extra + "Content-Length: 4\r\n\r\nbody";
    }
    static bool isServed (const Stream& stream)
    {
        return stream.tries > 0 && stream.caller->received().find ("data: ") != std::string::npos;
    }
    void resume (Stream& stream, std::size_t router)
    {
        const std::string id = stream.id + "-" + std::to_string (++stream.tries);
        stream.caller = std::make_unique<RawCaller> (m_cell.frontAddress (router));
        stream.caller->write (requestOf (id, "Last-Event-Id: " + stream.lastEvent()
                                                 + "\r\nTest-Resumes: " + stream.id + "\r\n"));
        waitUntil (
            [&]
            {
                return stream.caller->isClosed() || isServed (stream)
                       || stream.caller->received().starts_with ("HTTP/1.1 5");
            });
    }
};

TEST_F (StreamVersionRestartTest, KilledRoutersDoNotMixVersionsOfRunnersThatLeft)
{
    ASSERT_TRUE (m_isReady);
    beginStreams();
    registerOther();
    deregisterFirst();
    restartRouters();
    resumeBroken();
    expectUnmixed (false);
}

TEST_F (StreamVersionRestartTest, OneRestartedRouterDoesNotMixVersionsOfRunnersThatLeft)
{
    ASSERT_TRUE (m_isReady);
    beginStreams();
    registerOther();
    deregisterFirst();
    m_cell.replaceRouter (0);
    awaitRouters();
    m_first.end();
    runFor (kStepTime);
    resumeBroken();
    expectUnmixed (false);
}

TEST_F (StreamVersionRestartTest, KilledRoutersAndControllersDoNotMixVersions)
{
    ASSERT_TRUE (m_isReady);
    beginStreams();
    registerOther();
    deregisterFirst();
    restartControllers();
    restartRouters();
    resumeBroken();
    expectUnmixed (false);
}

TEST_F (StreamVersionRestartTest, StreamsGoOnAtTheirVersionAfterRestartsInTurn)
{
    ASSERT_TRUE (m_isReady);
    registerOther();
    beginStreams();
    for (std::size_t number = 0; number < kRouters; ++number)
    {
        m_cell.replaceRouter (number);
        awaitRouters();
        runFor (kStepTime);
        resumeBroken();
    }
    expectUnmixed (true);
}

TEST_F (StreamVersionRestartTest, StreamsOfTwoVersionsGoOnAfterAllRoutersWereKilled)
{
    ASSERT_TRUE (m_isReady);
    registerOther();
    beginStreams();
    runFor (kStepTime);
    restartRouters();
    resumeBroken();
    expectUnmixed (true);
}

TEST_F (StreamVersionRestartTest, StreamsOfOneVersionGoOnAfterAllRoutersWereKilled)
{
    ASSERT_TRUE (m_isReady);
    beginStreams();
    restartRouters();
    resumeBroken();
    expectUnmixed (true);
}

TEST_F (StreamVersionRestartTest, StreamsOfOneVersionGoOnAfterAllProcessesWereKilled)
{
    ASSERT_TRUE (m_isReady);
    beginStreams();
    restartControllers();
    restartRouters();
    resumeBroken();
    expectUnmixed (true);
}

/// The parameter is the number of the controller that is killed.
class StreamVersionControllerTest : public StreamVersionRestartTest,
                                    public ::testing::WithParamInterface<std::size_t>
{
};

TEST_P (StreamVersionControllerTest, StreamsOfTwoVersionsGoOnAfterAllRoutersWereKilled)
{
    ASSERT_TRUE (m_isReady);
    registerOther();
    beginStreams();
    runFor (kStepTime);
    m_cell.killController (GetParam());
    restartRouters();
    resumeBroken();
    expectUnmixed (true);
}

INSTANTIATE_TEST_SUITE_P (Killed, StreamVersionControllerTest, ::testing::Values (0U, 1U, 2U));

}  // namespace
}  // namespace fernlift::lab
