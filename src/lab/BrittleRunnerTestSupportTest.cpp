// Test support: brittle runners and their callers. See BrittleRunnerTestSupport.h.

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <utility>

#include "http/HttpTestSupport.h"
#include "lab/BrittleRunnerTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

constexpr std::string_view kIdField = "Test-Id: ";
constexpr std::string_view kHealthCheck = "GET /health ";
/// A caller that was refused sends again after this time.
constexpr base::milliseconds kPauseAfterRefusal (20);
constexpr int kOk = 200;

/// Size of the first whole request; 0 if there is none.
std::size_t wholeRequestSize (const std::string& received)
{
    const std::size_t end = received.find ("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    constexpr std::size_t kEndSize = 4;
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t field = received.find (kLength);
    const std::size_t body =
        field > end ? 0 : std::stoul (received.substr (field + kLength.size()));
    return received.size() >= end + kEndSize + body ? end + kEndSize + body : 0;
}

std::size_t countSince (const std::vector<base::TimePoint>& times, base::TimePoint begin)
{
    return static_cast<std::size_t> (times.end() - std::ranges::lower_bound (times, begin));
}

}  // namespace

BrittleRunner::BrittleRunner (std::string name, const BrittleRunnerOptions& options)
    : m_name (std::move (name)), m_options (options)
{
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    start();
}

BrittleRunner::~BrittleRunner() { closeAll(); }

void BrittleRunner::start()
{
    http::test::waitUntil ([this] { return m_server.listen (QHostAddress::LocalHost, m_port); });
    m_port = m_server.serverPort();
    ++m_incarnation;
}

std::string BrittleRunner::instance() const
{
    return m_name + "-" + std::to_string (m_incarnation);
}

std::string BrittleRunner::address() const { return "127.0.0.1:" + std::to_string (m_port); }

void BrittleRunner::beginBrittle()
{
    m_isBrittle = true;
    m_statedAt = m_clock.now();
}

void BrittleRunner::endBrittle() { m_isBrittle = false; }

bool BrittleRunner::isInForce() const
{
    return m_isBrittle && m_clock.now() >= m_statedAt + m_options.contactTime;
}

std::uint32_t BrittleRunner::maxWaiting() const
{
    return isInForce() ? m_options.maxWaitingBrittle : m_options.maxWaiting;
}

void BrittleRunner::accept()
{
    while (QTcpSocket* socket = m_server.nextPendingConnection())
    {
        socket->setParent (nullptr);
        m_connections[socket].socket.reset (socket);
        QObject::connect (socket, &QTcpSocket::readyRead, socket,
                          [this, socket] { onReadable (socket); });
        QObject::connect (socket, &QTcpSocket::disconnected, socket,
                          [this, socket] { onClosed (socket); });
    }
}

void BrittleRunner::onReadable (QTcpSocket* socket)
{
    Connection& connection = m_connections[socket];
    connection.received += socket->readAll().toStdString();
    const std::size_t size = wholeRequestSize (connection.received);
    if (size == 0)
        return;
    const std::string request = connection.received.substr (0, size);
    connection.received.erase (0, size);
    std::string id;
    if (const std::size_t begin = request.find (kIdField); begin != std::string::npos)
    {
        const std::size_t first = begin + kIdField.size();
        id = request.substr (first, request.find ("\r\n", first) - first);
    }
    const bool hasRoom = m_running.size() < m_options.slots || m_waiting.size() < maxWaiting();
    if (! hasRoom)
    {
        write (socket, "503 Service Unavailable",
               "Test-Id: " + id + "\r\nTest-Not-Executed: 1\r\n");
        recordDecline();
        return;
    }
    if (request.starts_with (kHealthCheck) && m_running.size() < m_options.slots)
    {
        write (socket, "200 OK", {});
        return;
    }
    m_waiting.emplace_back (socket, id);
    beginNext();
}

void BrittleRunner::beginNext()
{
    while (m_running.size() < m_options.slots && ! m_waiting.empty())
    {
        QTcpSocket* const socket = m_waiting.front().first;
        const std::uint64_t job = ++m_jobs;
        m_running[socket] = { std::move (m_waiting.front().second), job };
        m_waiting.pop_front();
        // The timer may outlive the socket, but not this runner.
        QTimer::singleShot (m_options.workTime, Qt::PreciseTimer, &m_server,
                            [this, socket, job] { finish (socket, job); });
    }
}

void BrittleRunner::finish (QTcpSocket* socket, std::uint64_t job)
{
    const auto found = m_running.find (socket);
    if (found == m_running.end() || found->second.number != job)
        return;
    const std::string id = std::move (found->second.requestId);
    m_running.erase (found);
    m_served.push_back (m_clock.now());
    write (socket, "200 OK", "Test-Id: " + id + "\r\n");
    beginNext();
}

void BrittleRunner::write (QTcpSocket* socket, const std::string& status, const std::string& fields)
{
    std::string answer = "HTTP/1.1 " + status + "\r\n" + fields;
    answer += "Test-Load: " + std::to_string (m_running.size()) + ","
              + std::to_string (m_waiting.size()) + "," + std::to_string (m_options.slots) + "\r\n";
    if (m_isBrittle)
        answer += "Test-Brittle: " + std::to_string (m_options.maxDeclines) + "\r\n";
    answer += "Content-Length: 2\r\n\r\nok";
    socket->write (answer.data(), static_cast<qint64> (answer.size()));
    socket->flush();
}

void BrittleRunner::recordDecline()
{
    constexpr base::Duration kWindow = base::seconds (1);
    m_declines.push_back (m_clock.now());
    const base::TimePoint begin =
        std::max<base::TimePoint> (m_clock.now() - kWindow, m_statedAt + m_options.contactTime);
    if (isInForce() && countSince (m_declines, begin) > m_options.maxDeclines)
        QTimer::singleShot (0, &m_server, [this] { fall(); });
}

void BrittleRunner::fall()
{
    if (! isUp())
        return;
    m_falls.push_back (m_clock.now());
    m_server.close();
    closeAll();
    QTimer::singleShot (m_options.downTime, &m_server, [this] { start(); });
}

void BrittleRunner::onClosed (QTcpSocket* socket)
{
    const auto found = m_connections.find (socket);
    if (found == m_connections.end())
        return;
    found->second.socket.release()->deleteLater();
    m_connections.erase (found);
    m_running.erase (socket);
    std::erase_if (m_waiting, [&] (const auto& item) { return item.first == socket; });
    beginNext();
}

void BrittleRunner::closeAll()
{
    m_running.clear();
    m_waiting.clear();
    for (auto& [socket, connection] : std::exchange (m_connections, {}))
    {
        socket->disconnect();
        http::test::resetConnection (*socket);
        connection.socket.release()->deleteLater();
    }
}

BrittleCrowd::BrittleCrowd (const BrittleCrowdOptions& options)
    : m_options (options),
      m_cell ({ .controllers = 3, .routers = options.routers, .runners = 0 }),
      m_callers (options.callers)
{
    for (std::size_t number = 0; number < options.runners; ++number)
        m_runners.push_back (
            std::make_unique<BrittleRunner> ("brittle" + std::to_string (number), options.runner));
    registerRunners();
}

void BrittleCrowd::registerRunners()
{
    for (const auto& runner : m_runners)
    {
        std::string& known = m_registered[runner->address()];
        const std::string instance = runner->isUp() ? runner->instance() : std::string();
        if (known == instance)
            continue;
        if (! known.empty())
            m_cell.endHeartbeats (known);
        if (! instance.empty())
            m_cell.registerRunner ({ instance, runner->address(), {}, runner->slots() });
        known = instance;
    }
}

void BrittleCrowd::beginBrittle()
{
    for (const auto& runner : m_runners)
        runner->beginBrittle();
}

void BrittleCrowd::endBrittle()
{
    for (const auto& runner : m_runners)
        runner->endBrittle();
}

void BrittleCrowd::step()
{
    for (Caller& caller : m_callers)
    {
        if (caller.status && *caller.status >= 0)
        {
            const bool isServed = *caller.status == kOk;
            caller.sendsAt = isServed ? now() : base::TimePoint (now() + kPauseAfterRefusal);
            caller.status.reset();
        }
        if (caller.status || now() < caller.sendsAt)
            continue;
        const std::size_t router = m_sent++ % m_cell.routers();
        if (! m_cell.isRouterUp (router))
            continue;
        caller.status = std::make_shared<int> (-1);
        m_cell.beginCall (router, "app.test", "request " + std::to_string (m_sent), caller.status);
    }
    m_cell.closeEndedCalls();
    registerRunners();
}

void BrittleCrowd::sendFor (base::milliseconds time)
{
    constexpr base::milliseconds kStep (2);
    const base::TimePoint end = now() + time;
    while (now() < end)
    {
        step();
        http::test::runFor (kStep);
    }
}

std::size_t BrittleCrowd::falls() const
{
    std::size_t sum = 0;
    for (const auto& runner : m_runners)
        sum += runner->falls().size();
    return sum;
}

std::size_t BrittleCrowd::declines() const
{
    std::size_t sum = 0;
    for (const auto& runner : m_runners)
        sum += countSince (runner->declines(), runner->inForceSince());
    return sum;
}

double BrittleCrowd::usedShareSince (base::TimePoint begin) const
{
    std::size_t served = 0;
    for (const auto& runner : m_runners)
        served += countSince (runner->served(), begin);
    const double room = base::toSeconds (now() - begin)
                        / base::toSeconds (m_options.runner.workTime) * m_options.runner.slots
                        * static_cast<double> (m_options.runners);
    return static_cast<double> (served) / room;
}

}  // namespace fernlift::lab::test
