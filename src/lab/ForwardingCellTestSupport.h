#pragma once

/// Test support: a cell that forwards to registered services, on loopback and in one event loop.
/// It has the controllers and routers of the real processes and fake runners that the test
/// controls. Some requests crash the runner that begins to run them.

#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "controller/ControllerProcess.h"
#include "lab/PortReservations.h"
#include "lab/RunnerLinkTestSupport.h"
#include "proxy/ProxyProcess.h"

namespace fernlift::lab::test
{

/// How a fake runner ends under a deadly request.
enum class CrashKind : std::uint8_t
{
    kReset,  ///< Its process ends: connections are reset, new ones are refused.
    kDark,   ///< Its machine fails: connections hang, and no new one opens.
};

/// A fake runner that can crash and restart at the same address. A request whose body begins with
/// "deadly", or with a part of that name in its prompt, crashes it `timeToCrash` after the head of
/// the answer, or before it if the machine fails; any other request is answered after `workTime`.
class CrashableRunner
{
public:
    explicit CrashableRunner (std::string name, std::string service = "service");
    ~CrashableRunner();
    CrashableRunner (const CrashableRunner&) = delete;
    CrashableRunner& operator= (const CrashableRunner&) = delete;

    /// Ends as `crashKind` says.
    void crash();
    /// Starts the next incarnation at the same address.
    void restart();
    /// Resets every connection while the runner goes on listening.
    void resetConnections();

    /// Name of the current incarnation.
    [[nodiscard]] std::string instance() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string& service() const { return m_service; }
    [[nodiscard]] bool isAlive() const { return m_server.isListening() && ! m_isDark; }
    [[nodiscard]] std::uint32_t crashes() const { return m_crashes; }
    /// Requests that the runner began to run, over all incarnations.
    [[nodiscard]] std::uint32_t runs() const { return m_runs; }

    /// Arrival time of each request, over all incarnations.
    [[nodiscard]] const std::vector<base::TimePoint>& arrivals() const { return m_arrivals; }

    base::milliseconds workTime{ 1 };
    base::milliseconds timeToCrash{ 5 };
    CrashKind crashKind = CrashKind::kReset;
    /// Time after which a runner whose machine has failed is back as its next incarnation; zero:
    /// only by restart().
    base::milliseconds darkTime{ 0 };
    /// Value of the header field in which each answer states a rate; empty for no field.
    std::string statedRate;
    /// Retry-After field with which the runner declines every request; empty: it serves them.
    std::string declinesWith;
    bool statesLeaving = false;  ///< Whether each answer states that the runner is leaving.
    /// Share of the requests whose connection the runner resets in place of an answer.
    double brokenShare = 0;

private:
    struct Connection
    {
        std::unique_ptr<QTcpSocket> socket;
        std::string received;
    };

    void accept();
    /// Lets connections to this runner neither open nor fail: its queue of pending ones is full.
    void fillPendingConnections();
    void onReadable (QTcpSocket* socket);
    void answer (QTcpSocket* socket, const std::string& id);
    void resetConnection (QTcpSocket* socket);
    /// Whether to reset the connection of the next request, so that `brokenShare` holds.
    bool takesBrokenRequest();

    std::string m_name;
    std::string m_service;
    double m_brokenDue = 0;  ///< Requests that still have to be broken off.
    std::uint32_t m_incarnation = 0;
    std::uint32_t m_crashes = 0;
    std::uint32_t m_runs = 0;
    base::SystemClock m_clock;
    std::vector<base::TimePoint> m_arrivals;
    std::uint16_t m_port = 0;
    bool m_isDark = false;
    std::vector<std::unique_ptr<QTcpSocket>> m_pending;  ///< Fill the queue of a dark runner.
    std::map<QTcpSocket*, Connection> m_connections;
    QTcpServer m_server;
};

/// A cell with the routes of proxy::test::ProxyFixture.
class ForwardingCell
{
public:
    struct Options
    {
        std::size_t controllers = 3;
        std::size_t routers = 2;
        std::size_t runners = 8;
        std::size_t otherRunners = 0;        ///< Runners of the second service.
        std::optional<double> retryShare{};  ///< None: the default of the router.
        double cellRetryReserve = 0;
        /// Zone of each router; routers beyond the last one are in zone "z1".
        std::vector<std::string> routerZones{};
        /// Whether the path from each router to the runners can fail for this router alone.
        bool hasRouterNetworks = false;
    };

    explicit ForwardingCell (const Options& options);
    ~ForwardingCell();

    /// Waits until every router is ready and has received the runners.
    [[nodiscard]] bool awaitReady();
    /// Sends a request to a router and waits for its end. Returns the status of the answer; 0 when
    /// the connection ended before the answer was complete.
    int call (std::size_t router, const std::string& host, const std::string& body);
    /// Sends a request without waiting; sets `status` when the call ends.
    void beginCall (std::size_t router, const std::string& host, const std::string& body,
                    std::shared_ptr<int> status, const std::string& promptParts = {});
    /// Ends a controller without a planned stop and does not restart it.
    void killController (std::size_t number);
    /// Ends a router without a planned stop and starts another one in its place.
    void replaceRouter (std::size_t number);
    /// Ends a controller without a planned stop and starts it again with its disk.
    void restartController (std::size_t number);
    /// Ends a router without a planned stop; it is started again by replaceRouter().
    void killRouter (std::size_t number) { m_routers.at (number).reset(); }
    [[nodiscard]] const base::SocketAddress& frontAddress (std::size_t router) const
    {
        return m_routers.at (router)->frontAddress();
    }
    [[nodiscard]] bool areRoutersReady() const;
    [[nodiscard]] bool isRouterUp (std::size_t number) const
    {
        return m_routers.at (number) != nullptr;
    }
    /// Closes the connections of calls that have ended.
    void closeEndedCalls();

    /// A runner of the test's own that is registered by heartbeats.
    struct OwnRunner
    {
        std::string id;
        std::string address;
        std::string softwareVersion;
        std::uint32_t slots = 8;
    };
    void registerRunner (const OwnRunner& runner);
    /// Deregisters the runner; it may serve on.
    void deregisterRunner (const std::string& id);
    /// Sends no more heartbeats of the runner, which has failed.
    void endHeartbeats (const std::string& id);

    /// Restarts every runner that has crashed.
    void restartRunners();
    /// Network of a router; only with `hasRouterNetworks`.
    RouterNetwork& network (std::size_t router) { return *m_networks.at (router); }

    /// Deadline of each call.
    base::milliseconds callTimeout{ 3000 };

    [[nodiscard]] std::uint32_t crashes() const;
    CrashableRunner& runner (std::size_t number) { return *m_runners.at (number); }
    [[nodiscard]] std::size_t runners() const { return m_runners.size(); }
    [[nodiscard]] std::size_t routers() const { return m_routers.size(); }

private:
    void startController (std::size_t number);
    void startRouter (std::size_t number);
    /// Address at which a router reaches the peer port of a controller.
    [[nodiscard]] base::SocketAddress seedAddress (std::size_t router,
                                                   std::size_t controller) const;
    /// Sends a heartbeat of every running runner to each controller.
    void sendHeartbeats();
    void sendToControllers (const std::string& method, const std::string& body);
    [[nodiscard]] base::SocketAddress controlAddress (std::size_t number) const;

    struct OpenCall
    {
        std::unique_ptr<QTcpSocket> socket;
        std::string received;
        std::shared_ptr<int> status;
    };

    base::SystemClock m_clock;
    Options m_options;
    PortReservations m_ports;
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_httpPort = 0;
    QTemporaryDir m_folder;
    std::uint32_t m_calls = 0;
    std::uint64_t m_routersStarted = 0;  ///< Seed of the router started last.
    std::uint64_t m_heartbeatSequence = 0;
    std::vector<std::unique_ptr<controller::ControllerProcess>> m_controllers;
    std::vector<std::unique_ptr<RouterNetwork>> m_networks;  ///< Empty, or one for each router.
    std::vector<std::unique_ptr<proxy::ProxyProcess>> m_routers;
    std::vector<std::unique_ptr<CrashableRunner>> m_runners;
    std::vector<OwnRunner> m_ownRunners;
    std::vector<std::unique_ptr<QTcpSocket>> m_controlSockets;
    std::vector<std::unique_ptr<OpenCall>> m_openCalls;
    QTimer m_heartbeatTimer;
};

/// Sends a request every 8 ms to the routers in turn, for the duration `time`. Returns the statuses
/// of the answers; 0 for a connection that ended without an answer.
std::vector<int> sendFor (ForwardingCell& cell, base::milliseconds time);
[[nodiscard]] std::size_t countOf (const std::vector<int>& statuses, int status);

}  // namespace fernlift::lab::test
