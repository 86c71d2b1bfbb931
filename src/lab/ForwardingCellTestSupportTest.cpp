// Test support: a cell that forwards to registered services. See ForwardingCellTestSupport.h.

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"
#include "proxy/ProxyProcessTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using http::test::waitUntil;

constexpr base::milliseconds kHeartbeatInterval (300);
constexpr std::uint32_t kSlots = 8;  ///< Slots of a CrashableRunner.
constexpr std::string_view kIdField = "Test-Id: ";

QHostAddress hostOf (const base::SocketAddress& address)
{
    return QHostAddress (QString::fromStdString (address.host));
}

void reset (QTcpSocket& socket)
{
    http::setResetOnClose (socket, true);
    socket.disconnect();
    socket.abort();
}

/// Returns the status in the first line of an answer; 0 when there is none.
int statusOf (const std::string& answer)
{
    constexpr std::string_view kBegin = "HTTP/1.1 ";
    int status = 0;
    if (answer.starts_with (kBegin))
        std::from_chars (answer.data() + kBegin.size(), answer.data() + answer.size(), status);
    return status;
}

/// True when the answer has reached its content length or contains its last chunk.
bool isComplete (const std::string& answer)
{
    const std::size_t end = answer.find ("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::size_t field = answer.find ("Content-Length: ");
    if (field == std::string::npos || field > end)
        return answer.ends_with ("0\r\n\r\n");
    constexpr std::size_t kFieldSize = 16;
    const std::size_t length = std::stoul (answer.substr (field + kFieldSize));
    return answer.size() >= end + 4 + length;
}

/// Codec that reads a POST as a heartbeat with the body "ID ADDRESS SERVICE SEQUENCE SLOTS
/// VERSION", in which the version of the software may be missing, a DELETE as the deregistration of
/// the instance in the body, and a PUT as a configuration with the text as body.
class TestControlCodec final : public controller::ControlCodec
{
public:
    [[nodiscard]] base::Result<controller::ControlRequest> parse (
        const http::Request& request) const override
    {
        if (request.method == "PUT")
            return controller::ControlRequest (controller::ReplaceConfiguration{ request.body });
        if (request.method == "DELETE")
            return controller::ControlRequest (controller::InstanceDeregistration{ request.body });
        controller::InstanceHeartbeat heartbeat;
        std::istringstream text (request.body);
        text >> heartbeat.instance.id >> heartbeat.instance.address >> heartbeat.instance.service
            >> heartbeat.sequence >> heartbeat.instance.slots >> heartbeat.softwareVersion;
        heartbeat.instance.zone = "z1";
        return controller::ControlRequest (heartbeat);
    }
    [[nodiscard]] http::Response format (const http::Request& /*request*/,
                                         const controller::ControlAnswer& answer) const override
    {
        constexpr int kDone = 200;
        constexpr int kNotDone = 503;
        const bool isDone = answer.verdict == controller::ControlVerdict::kDone;
        return http::jsonResponse (isDone ? kDone : kNotDone, "{}");
    }
};

bool isStarted (const std::function<base::Result<void>()>& start)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (start());
            return true;
        },
        [] (const base::Error&) { return false; });
}

}  // namespace

CrashableRunner::CrashableRunner (std::string name, std::string service)
    : m_name (std::move (name)), m_service (std::move (service))
{
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    restart();
}

CrashableRunner::~CrashableRunner() { resetConnections(); }

void CrashableRunner::restart()
{
    if (std::exchange (m_isDark, false))
    {
        m_server.close();
        m_pending.clear();
        resetConnections();
    }
    waitUntil ([this] { return m_server.listen (QHostAddress::LocalHost, m_port); });
    m_port = m_server.serverPort();
    ++m_incarnation;
}

std::string CrashableRunner::instance() const
{
    return m_name + "-" + std::to_string (m_incarnation);
}

std::string CrashableRunner::address() const { return "127.0.0.1:" + std::to_string (m_port); }

void CrashableRunner::crash()
{
    if (! isAlive())
        return;
    ++m_crashes;
    if (crashKind == CrashKind::kReset)
    {
        m_server.close();
        resetConnections();
        return;
    }
    m_isDark = true;
    fillPendingConnections();
    if (darkTime > base::milliseconds::zero())
        QTimer::singleShot (darkTime, &m_server, [this] { restart(); });
}

void CrashableRunner::fillPendingConnections()
{
    m_server.pauseAccepting();
    ::listen (static_cast<int> (m_server.socketDescriptor()), 0);
    constexpr int kConnections = 3;  // More than the kernel queues with this backlog.
    for (int number = 0; number < kConnections; ++number)
    {
        m_pending.push_back (std::make_unique<QTcpSocket>());
        m_pending.back()->connectToHost (QHostAddress::LocalHost, m_port);
    }
}

void CrashableRunner::resetConnections()
{
    while (! m_connections.empty())
        resetConnection (m_connections.begin()->first);
}

void CrashableRunner::resetConnection (QTcpSocket* socket)
{
    const auto found = m_connections.find (socket);
    if (found == m_connections.end())
        return;
    reset (*socket);
    found->second.socket.release()->deleteLater();
    m_connections.erase (found);
}

bool CrashableRunner::takesBrokenRequest()
{
    m_brokenDue += brokenShare;
    if (m_brokenDue < 1)
        return false;
    m_brokenDue -= 1;
    return true;
}

void CrashableRunner::accept()
{
    while (QTcpSocket* socket = m_server.nextPendingConnection())
    {
        socket->setParent (nullptr);
        m_connections[socket].socket.reset (socket);
        QObject::connect (socket, &QTcpSocket::readyRead, socket,
                          [this, socket] { onReadable (socket); });
    }
}

void CrashableRunner::onReadable (QTcpSocket* socket)
{
    Connection& connection = m_connections[socket];
    connection.received += socket->readAll().toStdString();
    if (connection.received.starts_with ("GET /health ")
        && connection.received.ends_with ("\r\n\r\n"))
    {
        connection.received.clear();
        socket->write ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        socket->flush();
        return;
    }
    if (m_isDark || ! isComplete (connection.received))
        return;
    const std::string request = std::exchange (connection.received, {});
    ++m_runs;
    m_arrivals.push_back (m_clock.now());
    const std::size_t begin = request.find (kIdField) + kIdField.size();
    const std::string id = request.substr (begin, request.find ("\r\n", begin) - begin);
    const bool isDeadly = request.find ("\r\n\r\ndeadly") != std::string::npos
                          || request.find (",deadly:") != std::string::npos
                          || request.find (" deadly:") != std::string::npos;
    if (! isDeadly && takesBrokenRequest())
    {
        QTimer::singleShot (workTime, socket, [this, socket] { resetConnection (socket); });
        return;
    }
    if (! isDeadly)
    {
        QTimer::singleShot (workTime, socket, [this, socket, id] { answer (socket, id); });
        return;
    }
    if (crashKind == CrashKind::kDark)
    {
        crash();
        return;
    }
    const std::string head = "HTTP/1.1 200 OK\r\nTest-Id: " + id
                             + "\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    socket->write (head.data(), static_cast<qint64> (head.size()));
    socket->flush();
    QTimer::singleShot (timeToCrash, &m_server, [this] { crash(); });
}

void CrashableRunner::answer (QTcpSocket* socket, const std::string& id)
{
    if (m_isDark || socket->state() != QAbstractSocket::ConnectedState)
        return;
    const std::string status = declinesWith.empty() ? "200 OK" : "503 Service Unavailable";
    std::string fields = "Test-Id: " + id + "\r\n";
    if (! statedRate.empty())
        fields += "Test-Rate: " + statedRate + "\r\n";
    if (! declinesWith.empty())
        fields += "Test-Not-Executed: 1\r\nRetry-After: " + declinesWith + "\r\n";
    if (statesLeaving)
        fields += "Test-Leaving: 1\r\n";
    const std::string whole =
        "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nok";
    socket->write (whole.data(), static_cast<qint64> (whole.size()));
    socket->flush();
}

ForwardingCell::ForwardingCell (const Options& options) : m_options (options)
{
    http::test::application();
    const auto reservePort = [this]
    {
        return base::handleErrors ([this] { return m_ports.reserve(); },
                                   [] (const base::Error&) { return base::SocketAddress(); })
            .port;
    };
    m_controlPort = reservePort();
    m_peerPort = reservePort();
    m_httpPort = reservePort();
    m_controllers.resize (options.controllers);
    m_routers.resize (options.routers);
    for (std::size_t number = 0; number < options.controllers; ++number)
        startController (number);
    // 127.0.0.N are the controllers themselves.
    constexpr std::size_t kFirstPrefix = 1;
    for (std::size_t number = 0; options.hasRouterNetworks && number < options.routers; ++number)
    {
        m_networks.push_back (std::make_unique<RouterNetwork> (
            static_cast<std::uint8_t> (kFirstPrefix + number), options.controllers, m_peerPort));
    }
    for (std::size_t number = 0; number < options.routers; ++number)
        startRouter (number);
    for (std::size_t number = 0; number < options.runners; ++number)
        m_runners.push_back (
            std::make_unique<CrashableRunner> ("runner" + std::to_string (number)));
    for (std::size_t number = 0; number < options.otherRunners; ++number)
        m_runners.push_back (
            std::make_unique<CrashableRunner> ("other" + std::to_string (number), "other"));
    QObject::connect (&m_heartbeatTimer, &QTimer::timeout, &m_heartbeatTimer,
                      [this] { sendHeartbeats(); });
    m_heartbeatTimer.start (kHeartbeatInterval);
}

ForwardingCell::~ForwardingCell() = default;

base::SocketAddress ForwardingCell::controlAddress (std::size_t number) const
{
    // Seeds share one peer port, so each controller needs a loopback address of its own.
    return { "127.0.0." + std::to_string (number + 1), m_controlPort };
}

base::SocketAddress ForwardingCell::seedAddress (std::size_t router, std::size_t controller) const
{
    base::SocketAddress address = controlAddress (controller);
    if (! m_networks.empty())
        address.host = m_networks[router]->hostOf (controller);
    return address;
}

void ForwardingCell::startController (std::size_t number)
{
    controller::ControllerSettings settings;
    settings.cell = "cell";
    settings.zone = "z1";
    settings.dataDirectory =
        m_folder.filePath (QString::number (static_cast<int> (number))).toStdString();
    settings.controlAddress = controlAddress (number);
    settings.peerAddress = { settings.controlAddress.host, m_peerPort };
    settings.httpAddress = { settings.controlAddress.host, m_httpPort };
    for (std::size_t seed = 0; seed < m_controllers.size(); ++seed)
        settings.seeds.push_back (controlAddress (seed));
    settings.seedPeerPort = m_peerPort;
    settings.isBootstrap = true;
    settings.core.catalogueParser = &proxy::test::parseTestConfiguration;
    m_controllers[number] = std::make_unique<controller::ControllerProcess> (
        settings,
        controller::ControllerProcess::ServiceProtocol{ std::make_shared<TestControlCodec>(),
                                                        nullptr },
        [] (int) {});
    EXPECT_TRUE (isStarted ([&] { return m_controllers[number]->start(); }));
}

void ForwardingCell::startRouter (std::size_t number)
{
    proxy::ProxySettings settings;
    settings.id = "router" + std::to_string (number);
    settings.cell = "cell";
    settings.zone = number < m_options.routerZones.size() ? m_options.routerZones[number] : "z1";
    settings.frontAddress = { "127.0.0.1", 0 };
    settings.readinessAddress = { "127.0.0.1", 0 };
    settings.peerAddress = { "127.0.0.1", 0 };
    for (std::size_t seed = 0; seed < m_controllers.size(); ++seed)
        settings.seeds.push_back (seedAddress (number, seed));
    settings.seedPeerPort = m_peerPort;
    settings.retryShare = m_options.retryShare.value_or (settings.retryShare);
    settings.cellRetryReserve = m_options.cellRetryReserve;
    m_routers[number] = std::make_unique<proxy::ProxyProcess> (
        settings, proxy::test::ProxyFixture::testNames(), &proxy::test::parseTestConfiguration,
        m_clock, ++m_routersStarted, [] (int) {});
    EXPECT_TRUE (isStarted ([&] { return m_routers[number]->start(); }));
}

void ForwardingCell::sendHeartbeats()
{
    ++m_heartbeatSequence;
    for (const auto& runner : m_runners)
    {
        if (runner->isAlive())
            sendToControllers (
                "POST", runner->instance() + " " + runner->address() + " " + runner->service() + " "
                            + std::to_string (m_heartbeatSequence) + " " + std::to_string (kSlots));
    }
    for (const OwnRunner& runner : m_ownRunners)
        sendToControllers ("POST", runner.id + " " + runner.address + " service "
                                       + std::to_string (m_heartbeatSequence) + " "
                                       + std::to_string (runner.slots) + " "
                                       + runner.softwareVersion);
}

void ForwardingCell::registerRunner (const OwnRunner& runner)
{
    m_ownRunners.push_back (runner);
    sendHeartbeats();
}

void ForwardingCell::endHeartbeats (const std::string& id)
{
    std::erase_if (m_ownRunners, [&] (const OwnRunner& runner) { return runner.id == id; });
}

void ForwardingCell::deregisterRunner (const std::string& id)
{
    endHeartbeats (id);
    sendToControllers ("DELETE", id);
}

void ForwardingCell::sendToControllers (const std::string& method, const std::string& body)
{
    std::erase_if (m_controlSockets, [] (const auto& socket)
                   { return socket->state() == QAbstractSocket::UnconnectedState; });
    const std::string request = method + " / HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                                + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n"
                                + body;
    for (std::size_t number = 0; number < m_controllers.size(); ++number)
    {
        if (! m_controllers[number])
            continue;
        m_controlSockets.push_back (std::make_unique<QTcpSocket>());
        QTcpSocket& socket = *m_controlSockets.back();
        QObject::connect (&socket, &QTcpSocket::connected, &socket,
                          [&socket, request]
                          { socket.write (request.data(), static_cast<qint64> (request.size())); });
        socket.connectToHost (hostOf (controlAddress (number)), m_controlPort);
    }
}

bool ForwardingCell::awaitReady()
{
    sendHeartbeats();
    std::size_t rounds = 0;
    const bool areReady = waitUntil (
        [&]
        {
            constexpr std::size_t kRoundsBetweenSends = 50;
            if (rounds++ % kRoundsBetweenSends == 0)
                sendToControllers ("PUT", "1");
            return areRoutersReady();
        });
    // Two heartbeat intervals, so that every router's table contains all runners.
    http::test::runFor (2 * kHeartbeatInterval);
    return areReady;
}

int ForwardingCell::call (std::size_t router, const std::string& host, const std::string& body)
{
    const auto status = std::make_shared<int> (-1);
    beginCall (router, host, body, status);
    waitUntil ([&] { return *status >= 0; });
    closeEndedCalls();
    return *status;
}

void ForwardingCell::beginCall (std::size_t router, const std::string& host,
                                const std::string& body, std::shared_ptr<int> status,
                                const std::string& promptParts)
{
    auto call = std::make_unique<OpenCall>();
    call->socket = std::make_unique<QTcpSocket>();
    call->status = std::move (status);
    OpenCall& open = *call;
    const std::string request =
        "POST /path HTTP/1.1\r\nHost: " + host + "\r\nTest-Id: c" + std::to_string (++m_calls)
        + "\r\nTest-Deadline: " + std::to_string (callTimeout.count()) + "\r\n"
        + (promptParts.empty() ? "" : "Test-Parts: " + promptParts + "\r\n")
        + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body;
    QObject::connect (open.socket.get(), &QTcpSocket::connected, open.socket.get(),
                      [&open, request] {
                          open.socket->write (request.data(), static_cast<qint64> (request.size()));
                      });
    QObject::connect (open.socket.get(), &QTcpSocket::readyRead, open.socket.get(),
                      [&open]
                      {
                          open.received += open.socket->readAll().toStdString();
                          if (isComplete (open.received) && *open.status < 0)
                              *open.status = statusOf (open.received);
                      });
    QObject::connect (open.socket.get(), &QTcpSocket::disconnected, open.socket.get(),
                      [&open]
                      {
                          if (*open.status < 0)
                              *open.status = 0;
                      });
    const base::SocketAddress& front = m_routers.at (router)->frontAddress();
    open.socket->connectToHost (hostOf (front), front.port);
    m_openCalls.push_back (std::move (call));
}

void ForwardingCell::closeEndedCalls()
{
    std::erase_if (m_openCalls, [] (const auto& call) { return *call->status >= 0; });
}

bool ForwardingCell::areRoutersReady() const
{
    return std::ranges::all_of (
        m_routers, [] (const auto& router) { return router != nullptr && router->isReady(); });
}

void ForwardingCell::restartController (std::size_t number)
{
    killController (number);
    startController (number);
}

void ForwardingCell::killController (std::size_t number) { m_controllers.at (number).reset(); }

void ForwardingCell::replaceRouter (std::size_t number)
{
    m_routers.at (number).reset();
    startRouter (number);
}

void ForwardingCell::restartRunners()
{
    for (const auto& runner : m_runners)
    {
        if (! runner->isAlive())
            runner->restart();
    }
    sendHeartbeats();
}

std::uint32_t ForwardingCell::crashes() const
{
    std::uint32_t sum = 0;
    for (const auto& runner : m_runners)
        sum += runner->crashes();
    return sum;
}

std::vector<int> sendFor (ForwardingCell& cell, base::milliseconds time)
{
    constexpr base::milliseconds kPause (8);
    std::vector<std::shared_ptr<int>> open;
    for (base::milliseconds passed (0); passed < time; passed += kPause)
    {
        open.push_back (std::make_shared<int> (-1));
        cell.beginCall (open.size() % cell.routers(), "app.test", "request", open.back());
        http::test::runFor (kPause);
    }
    http::test::waitUntil (
        [&] { return std::ranges::all_of (open, [] (const auto& each) { return *each >= 0; }); });
    std::vector<int> statuses;
    std::ranges::transform (open, std::back_inserter (statuses),
                            [] (const auto& status) { return *status; });
    return statuses;
}

std::size_t countOf (const std::vector<int>& statuses, int status)
{
    return static_cast<std::size_t> (std::ranges::count (statuses, status));
}

}  // namespace fernlift::lab::test
