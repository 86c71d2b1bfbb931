#include "lab/PortReservations.h"

#include <QHostAddress>
#include <QRandomGenerator>
#include <QTcpServer>

namespace fernlift::lab
{
namespace
{

constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPastLastPort = 32000;

bool isTcpPortFree (std::uint16_t port)
{
    QTcpServer server;
    return server.listen (QHostAddress (QHostAddress::LocalHost), port);
}

}  // namespace

base::Result<base::SocketAddress> PortReservations::reserve()
{
    if (m_next == 0)
    {
        m_next = static_cast<std::uint16_t> (
            QRandomGenerator::global()->bounded (int{ kFirstPort }, int{ kPastLastPort }));
    }
    for (int attempt = 0; attempt < kPastLastPort - kFirstPort; ++attempt)
    {
        const std::uint16_t port = m_next;
        m_next = port + 1 < kPastLastPort ? static_cast<std::uint16_t> (port + 1) : kFirstPort;
        if (tryReserve (port))
        {
            return base::SocketAddress{ "127.0.0.1", port };
        }
    }
    return base::fail (base::ErrorKind::kConnectionFailed, "no free port on 127.0.0.1");
}

bool PortReservations::tryReserve (std::uint16_t port)
{
    auto holder = std::make_unique<QUdpSocket>();
    if (! holder->bind (QHostAddress (QHostAddress::LocalHost), port,
                        QAbstractSocket::DontShareAddress))
    {
        return false;
    }
    if (! isTcpPortFree (port))
    {
        return false;
    }
    m_held.push_back (std::move (holder));
    return true;
}

}  // namespace fernlift::lab
