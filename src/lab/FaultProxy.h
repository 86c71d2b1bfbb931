#pragma once

/// TCP proxy between one listening address and one target that injects faults on command.

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "lab/FaultPipe.h"

namespace fernlift::lab
{

/// Faults of a proxy in both directions.
struct ProxyFaults
{
    DirectionFaults toTarget;
    DirectionFaults toCaller;
    bool refuses = false;  ///< The proxy does not listen, so that new connections are refused.

    bool operator== (const ProxyFaults&) const = default;
};

/// Parses {"to_target":{"cut":true,"delay_ms":5,"bytes_per_second":100,"reset_after_bytes":7,
/// "cut_after_bytes":7},"to_caller":{...},"refuse":true}. Absent keys mean no fault. Fails with
/// kMessageInvalid.
[[nodiscard]] base::Result<ProxyFaults> parseProxyFaults (std::string_view json);
/// Formats the faults in force in the form that parseProxyFaults reads.
[[nodiscard]] std::string toJson (const ProxyFaults& faults);

struct ProxyCounters
{
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToCaller = 0;
    std::size_t openConnections = 0;

    bool operator== (const ProxyCounters&) const = default;
};

[[nodiscard]] std::string toJson (const ProxyCounters& counters);
/// Parses the output of toJson; fails with kMessageInvalid.
[[nodiscard]] base::Result<ProxyCounters> parseProxyCounters (std::string_view json);

/// The proxy, which runs on the Qt event loop of its thread. A cut buffers the bytes that arrive
/// and delivers them after it ends, as TCP does over a network that drops packets for a while.
class FaultProxy
{
public:
    explicit FaultProxy (base::SocketAddress target);
    ~FaultProxy();
    FaultProxy (const FaultProxy&) = delete;
    FaultProxy& operator= (const FaultProxy&) = delete;

    /// Starts listening and returns the bound address. With port 0 the system chooses the port.
    [[nodiscard]] base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Replaces the faults, also on open connections. Fails with kConnectionFailed when the proxy
    /// has to listen again and cannot.
    base::Result<void> setFaults (const ProxyFaults& faults);
    /// Resets every open connection.
    void resetConnections();
    [[nodiscard]] ProxyCounters counters() const;

private:
    class Link;

    void accept();
    void removeClosedLinks();

    base::SocketAddress m_target;
    base::SocketAddress m_address;  ///< Address on which the proxy listens unless it refuses.
    ProxyFaults m_faults;
    ProxyCounters m_counters;
    QTcpServer m_server;
    base::SystemClock m_clock;
    std::vector<std::unique_ptr<Link>> m_links;
};

}  // namespace fernlift::lab
