#pragma once

/// Reserves free loopback ports for processes that are about to start.

#include <QUdpSocket>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"

namespace fernlift::lab
{

/// Allocates TCP ports of 127.0.0.1 on which no process listens, below the range that the kernel
/// uses for outgoing connections. Each port stays reserved among the fleets of this machine for
/// the lifetime of this object, which keeps the UDP port of the same number bound.
class PortReservations
{
public:
    /// Fails with kConnectionFailed when no port is free.
    [[nodiscard]] base::Result<base::SocketAddress> reserve();

private:
    bool tryReserve (std::uint16_t port);

    std::uint16_t m_next = 0;
    std::vector<std::unique_ptr<QUdpSocket>> m_held;
};

}  // namespace fernlift::lab
