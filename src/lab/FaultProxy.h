#pragma once

/// TCP proxy between one listening address and one target that brings about faults on command.

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

/// Faults of a whole proxy.
struct ProxyFaults
{
    DirectionFaults toTarget;
    DirectionFaults toCaller;
    bool refuses = false;  ///< New connections are refused: nobody listens.

    bool operator== (const ProxyFaults&) const = default;
};

/// Parses {"to_target":{"cut":true,"delay_ms":5,"bytes_per_second":100,"reset_after_bytes":7,
/// "cut_after_bytes":7},"to_caller":{...},"refuse":true}. Absent keys mean no fault. Fails with
/// kMessageInvalid.
[[nodiscard]] base::Result<ProxyFaults> parseProxyFaults (std::string_view json);
/// The same form, with every fault that is on.
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
/// Parses what toJson gives; fails with kMessageInvalid.
[[nodiscard]] base::Result<ProxyCounters> parseProxyCounters (std::string_view json);

/// The proxy, on the thread's Qt event loop. A silent cut holds what arrives, as a network that
/// drops packets makes TCP do: after the cut is taken away the bytes arrive late.
class FaultProxy
{
public:
    explicit FaultProxy (base::SocketAddress target);
    ~FaultProxy();
    FaultProxy (const FaultProxy&) = delete;
    FaultProxy& operator= (const FaultProxy&) = delete;

    /// Listens; port 0 lets the system choose. Returns the real address.
    [[nodiscard]] base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Takes effect on open connections too. Fails with kConnectionFailed when the proxy is to
    /// listen again and cannot.
    base::Result<void> setFaults (const ProxyFaults& faults);
    /// Resets every open connection.
    void resetConnections();
    [[nodiscard]] ProxyCounters counters() const;

private:
    class Link;

    void accept();
    void removeClosedLinks();

    base::SocketAddress m_target;
    base::SocketAddress m_address;  ///< Where it listens when it does not refuse.
    ProxyFaults m_faults;
    ProxyCounters m_counters;
    QTcpServer m_server;
    base::SystemClock m_clock;
    std::vector<std::unique_ptr<Link>> m_links;
};

}  // namespace fernlift::lab
