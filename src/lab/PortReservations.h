#pragma once

/// Free loopback ports for processes that are about to start.

#include <QUdpSocket>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"

namespace fernlift::lab
{

/// Hands out TCP ports of 127.0.0.1 that nobody listens on. Ports lie below the range that the
/// kernel gives to outgoing connections. Each stays reserved among the fleets of this machine for
/// the life of this object: the UDP port of the same number is held.
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
