#pragma once

/// Test support: a whole cell that forwards to registered services, on loopback and in one event
/// loop: controllers and routers as in real processes, and runners that the test plays. Some of the
/// requests end the runner that begins to run them.

#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "controller/ControllerProcess.h"
#include "lab/PortReservations.h"
#include "proxy/ProxyProcess.h"

namespace fernlift::lab::test
{

/// A runner with one incarnation after the other at one address. A request whose body begins with
/// "deadly" ends it after the head of the answer; any other one is answered, after `workTime`.
class MortalRunner
{
public:
    explicit MortalRunner (std::string name);
    ~MortalRunner();
    MortalRunner (const MortalRunner&) = delete;
    MortalRunner& operator= (const MortalRunner&) = delete;

    /// Ends: every connection is reset and nothing listens any more.
    void crash();
    /// Starts the next incarnation at the same address.
    void restart();
    /// Resets every connection; the runner lives on.
    void resetConnections();

    /// Of the present incarnation.
    [[nodiscard]] std::string instance() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool isAlive() const { return m_server.isListening(); }
    [[nodiscard]] std::uint32_t crashes() const { return m_crashes; }
    /// Requests that it began to run, in all its lives.
    [[nodiscard]] std::uint32_t runs() const { return m_runs; }

    /// When each request came, in all its lives.
    [[nodiscard]] const std::vector<base::TimePoint>& arrivals() const { return m_arrivals; }

    base::milliseconds workTime{ 1 };
    /// Text of the field in which each answer states a rate; empty: none.
    std::string statedRate;

private:
    struct Connection
    {
        std::unique_ptr<QTcpSocket> socket;
        std::string received;
    };

    void accept();
    void onReadable (QTcpSocket* socket);
    void answer (QTcpSocket* socket, const std::string& id);

    std::string m_name;
    std::uint32_t m_incarnation = 0;
    std::uint32_t m_crashes = 0;
    std::uint32_t m_runs = 0;
    base::SystemClock m_clock;
    std::vector<base::TimePoint> m_arrivals;
    std::uint16_t m_port = 0;
    std::map<QTcpSocket*, Connection> m_connections;
    QTcpServer m_server;
};

/// The cell. Its routes are those of proxy::test::ProxyFixture.
class ForwardingCell
{
public:
    struct Options
    {
        std::size_t controllers = 3;
        std::size_t routers = 2;
        std::size_t runners = 8;
    };

    explicit ForwardingCell (const Options& options);
    ~ForwardingCell();

    /// Waits until every router serves and has heard of the runners.
    [[nodiscard]] bool awaitReady();
    /// Sends a request to a router and waits for its end; returns the status of the answer, 0 when
    /// the connection ended without a whole one.
    int call (std::size_t router, const std::string& host, const std::string& body);
    /// The same without waiting; `status` is set at the end.
    void beginCall (std::size_t router, const std::string& host, const std::string& body,
                    std::shared_ptr<int> status);
    /// Ends a controller without notice; it stays away.
    void killController (std::size_t number);
    /// Ends a router without notice and starts another one in its place.
    void replaceRouter (std::size_t number);
    /// Restarts every runner that has ended.
    void restartRunners();

    [[nodiscard]] std::uint32_t crashes() const;
    MortalRunner& runner (std::size_t number) { return *m_runners.at (number); }
    [[nodiscard]] std::size_t runners() const { return m_runners.size(); }

private:
    void startController (std::size_t number);
    void startRouter (std::size_t number);
    /// Every runner that lives tells each controller so.
    void sendHeartbeats();
    void tellControllers (const std::string& method, const std::string& body);
    [[nodiscard]] base::SocketAddress controlAddress (std::size_t number) const;
    void closeEndedCalls();

    struct OpenCall
    {
        std::unique_ptr<QTcpSocket> socket;
        std::string received;
        std::shared_ptr<int> status;
    };

    base::SystemClock m_clock;
    PortReservations m_ports;
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_httpPort = 0;
    QTemporaryDir m_folder;
    std::uint32_t m_calls = 0;
    std::uint64_t m_heartbeatSequence = 0;
    std::vector<std::unique_ptr<controller::ControllerProcess>> m_controllers;
    std::vector<std::unique_ptr<proxy::ProxyProcess>> m_routers;
    std::vector<std::unique_ptr<MortalRunner>> m_runners;
    std::vector<std::unique_ptr<QTcpSocket>> m_tellers;
    std::vector<std::unique_ptr<OpenCall>> m_openCalls;
    QTimer m_heartbeatTimer;
};

}  // namespace fernlift::lab::test
