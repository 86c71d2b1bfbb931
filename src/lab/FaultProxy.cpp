#include "lab/FaultProxy.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "http/ResetOnClose.h"

namespace fernlift::lab
{
namespace
{

constexpr qint64 kReadBufferBytes = 64LL * 1024;
constexpr qint64 kMaxUnwrittenBytes = 256LL * 1024;

/// Closes the connection with a TCP reset instead of an orderly shutdown.
void resetSocket (QTcpSocket& socket)
{
    if (socket.socketDescriptor() >= 0)
        http::setResetOnClose (socket, true);
    socket.abort();
}

base::Result<void> parseDirection (const QJsonValue& value, DirectionFaults& faults)
{
    if (value.isUndefined())
    {
        return {};
    }
    if (! value.isObject())
    {
        return base::fail (base::ErrorKind::kMessageInvalid, "a direction must be an object");
    }
    const QJsonObject object = value.toObject();
    for (const QString& key : object.keys())
    {
        const QJsonValue entry = object.value (key);
        const bool isCount = entry.isDouble() && entry.toDouble() >= 0;
        if (key == QStringLiteral ("cut") && entry.isBool())
        {
            faults.isCut = entry.toBool();
        }
        else if (key == QStringLiteral ("delay_ms") && isCount)
        {
            faults.delay = base::milliseconds (entry.toInteger());
        }
        else if (key == QStringLiteral ("bytes_per_second") && isCount)
        {
            faults.bytesPerSecond = static_cast<std::uint64_t> (entry.toInteger());
        }
        else if (key == QStringLiteral ("reset_after_bytes") && isCount)
        {
            faults.resetAfterBytes = static_cast<std::uint64_t> (entry.toInteger());
        }
        else if (key == QStringLiteral ("cut_after_bytes") && isCount)
        {
            faults.cutAfterBytes = static_cast<std::uint64_t> (entry.toInteger());
        }
        else
        {
            return base::fail (base::ErrorKind::kMessageInvalid,
                               "unknown key or wrong type: " + key.toStdString());
        }
    }
    return {};
}

QJsonObject directionJson (const DirectionFaults& faults)
{
    QJsonObject object;
    if (faults.isCut)
    {
        object[QStringLiteral ("cut")] = true;
    }
    if (faults.delay > base::Duration::zero())
    {
        object[QStringLiteral ("delay_ms")] =
            static_cast<qint64> (base::toMilliseconds (faults.delay));
    }
    if (faults.bytesPerSecond > 0)
    {
        object[QStringLiteral ("bytes_per_second")] = static_cast<qint64> (faults.bytesPerSecond);
    }
    if (faults.resetAfterBytes)
    {
        object[QStringLiteral ("reset_after_bytes")] =
            static_cast<qint64> (*faults.resetAfterBytes);
    }
    if (faults.cutAfterBytes)
    {
        object[QStringLiteral ("cut_after_bytes")] = static_cast<qint64> (*faults.cutAfterBytes);
    }
    return object;
}

}  // namespace

std::string toJson (const ProxyFaults& faults)
{
    const QJsonObject object{ { QStringLiteral ("to_target"), directionJson (faults.toTarget) },
                              { QStringLiteral ("to_caller"), directionJson (faults.toCaller) },
                              { QStringLiteral ("refuse"), faults.refuses } };
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

std::string toJson (const ProxyCounters& counters)
{
    const QJsonObject object{
        { QStringLiteral ("connections"), static_cast<qint64> (counters.connections) },
        { QStringLiteral ("open_connections"), static_cast<qint64> (counters.openConnections) },
        { QStringLiteral ("resets"), static_cast<qint64> (counters.resets) },
        { QStringLiteral ("bytes_to_target"), static_cast<qint64> (counters.bytesToTarget) },
        { QStringLiteral ("bytes_to_caller"), static_cast<qint64> (counters.bytesToCaller) },
    };
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

base::Result<ProxyCounters> parseProxyCounters (std::string_view json)
{
    const QJsonDocument document = QJsonDocument::fromJson (
        QByteArray::fromRawData (json.data(), static_cast<qsizetype> (json.size())));
    if (! document.isObject())
    {
        return base::fail (base::ErrorKind::kMessageInvalid, "expected a JSON object");
    }
    const auto count = [object = document.object()] (QLatin1String key)
    { return static_cast<std::uint64_t> (object.value (key).toInteger()); };
    ProxyCounters counters;
    counters.connections = count (QLatin1String ("connections"));
    counters.openConnections = count (QLatin1String ("open_connections"));
    counters.resets = count (QLatin1String ("resets"));
    counters.bytesToTarget = count (QLatin1String ("bytes_to_target"));
    counters.bytesToCaller = count (QLatin1String ("bytes_to_caller"));
    return counters;
}

base::Result<ProxyFaults> parseProxyFaults (std::string_view json)
{
    const QJsonDocument document = QJsonDocument::fromJson (
        QByteArray::fromRawData (json.data(), static_cast<qsizetype> (json.size())));
    if (! document.isObject())
    {
        return base::fail (base::ErrorKind::kMessageInvalid, "expected a JSON object");
    }
    const QJsonObject object = document.object();
    for (const QString& key : object.keys())
    {
        if (key != QStringLiteral ("to_target") && key != QStringLiteral ("to_caller")
            && key != QStringLiteral ("refuse"))
        {
            return base::fail (base::ErrorKind::kMessageInvalid,
                               "unknown key: " + key.toStdString());
        }
    }
    ProxyFaults faults;
    faults.refuses = object.value (QStringLiteral ("refuse")).toBool();
    BOOST_LEAF_CHECK (
        parseDirection (object.value (QStringLiteral ("to_target")), faults.toTarget));
    BOOST_LEAF_CHECK (
        parseDirection (object.value (QStringLiteral ("to_caller")), faults.toCaller));
    return faults;
}

/// A caller's connection and the matching connection to the target.
class FaultProxy::Link
{
public:
    Link (FaultProxy& proxy, QTcpSocket* caller) : m_proxy (proxy), m_caller (caller)
    {
        applyFaults();
        for (QTcpSocket* socket : { m_caller.get(), &m_target })
        {
            socket->setReadBufferSize (kReadBufferBytes);
            const auto pump = [this] { this->pump(); };
            QObject::connect (socket, &QTcpSocket::readyRead, pump);
            QObject::connect (socket, &QTcpSocket::bytesWritten, pump);
            QObject::connect (socket, &QTcpSocket::connected, pump);
            QObject::connect (socket, &QTcpSocket::disconnected, pump);
            QObject::connect (socket, &QTcpSocket::errorOccurred, pump);
        }
        m_wakeUp.setSingleShot (true);
        QObject::connect (&m_wakeUp, &QTimer::timeout, [this] { pump(); });
        m_target.connectToHost (QHostAddress (QString::fromStdString (proxy.m_target.host)),
                                proxy.m_target.port);
    }

    ~Link()
    {
        m_caller->disconnect();
        m_target.disconnect();
        m_caller->abort();
        m_target.abort();
    }
    Link (const Link&) = delete;
    Link& operator= (const Link&) = delete;

    void applyFaults()
    {
        m_toTarget.setFaults (m_proxy.m_faults.toTarget);
        m_toCaller.setFaults (m_proxy.m_faults.toCaller);
    }

    void reset()
    {
        resetSocket (*m_caller);
        resetSocket (m_target);
    }

    /// Forwards the bytes that may pass, then closes the side whose peer has closed.
    void pump()
    {
        if (m_isPumping)
        {
            return;
        }
        m_isPumping = true;
        const bool mustReset =
            move (*m_caller, m_toTarget, m_target, m_proxy.m_counters.bytesToTarget)
            || move (m_target, m_toCaller, *m_caller, m_proxy.m_counters.bytesToCaller);
        if (mustReset)
        {
            ++m_proxy.m_counters.resets;
            reset();
        }
        else
        {
            passOnEnd (*m_caller, m_toTarget, m_target);
            passOnEnd (m_target, m_toCaller, *m_caller);
            scheduleWakeUp();
        }
        m_isPumping = false;
    }

    [[nodiscard]] bool isClosed() const
    {
        return m_caller->state() == QAbstractSocket::UnconnectedState
               && m_target.state() == QAbstractSocket::UnconnectedState;
    }

private:
    /// True when the connection is to be reset.
    bool move (QTcpSocket& from, FaultPipe& pipe, QTcpSocket& to, std::uint64_t& counter)
    {
        const base::TimePoint now = m_proxy.m_clock.now();
        if (pipe.hasRoom() && from.bytesAvailable() > 0)
        {
            const QByteArray bytes = from.read (kReadBufferBytes);
            pipe.push (
                now, std::string_view (bytes.constData(), static_cast<std::size_t> (bytes.size())));
        }
        const bool canWrite =
            to.state() == QAbstractSocket::ConnectedState && to.bytesToWrite() < kMaxUnwrittenBytes;
        if (! canWrite)
        {
            return false;
        }
        const FaultPipe::Released released = pipe.take (now);
        if (! released.bytes.empty())
        {
            to.write (released.bytes.data(), static_cast<qint64> (released.bytes.size()));
            to.flush();
            counter += released.bytes.size();
        }
        return released.mustReset;
    }

    static void passOnEnd (QTcpSocket& from, const FaultPipe& pipe, QTcpSocket& to)
    {
        const bool hasEnded = from.state() == QAbstractSocket::UnconnectedState
                              && from.bytesAvailable() == 0 && pipe.isEmpty() && ! pipe.isCut();
        if (hasEnded && to.state() == QAbstractSocket::ConnectedState)
        {
            to.disconnectFromHost();
        }
        else if (hasEnded && to.state() != QAbstractSocket::UnconnectedState
                 && to.state() != QAbstractSocket::ClosingState)
        {
            to.abort();
        }
    }

    void scheduleWakeUp()
    {
        const base::TimePoint now = m_proxy.m_clock.now();
        std::optional<base::TimePoint> next = m_toTarget.nextRelease (now);
        const std::optional<base::TimePoint> other = m_toCaller.nextRelease (now);
        if (other && (! next || *other < *next))
        {
            next = other;
        }
        if (next)
        {
            m_wakeUp.start (static_cast<int> (base::toMilliseconds (*next - now)) + 1);
        }
    }

    FaultProxy& m_proxy;
    std::unique_ptr<QTcpSocket> m_caller;
    QTcpSocket m_target;
    FaultPipe m_toTarget;
    FaultPipe m_toCaller;
    QTimer m_wakeUp;
    bool m_isPumping = false;
};

FaultProxy::FaultProxy (base::SocketAddress target) : m_target (std::move (target))
{
    QObject::connect (&m_server, &QTcpServer::newConnection, [this] { accept(); });
}

FaultProxy::~FaultProxy() { m_server.close(); }

base::Result<base::SocketAddress> FaultProxy::listen (const base::SocketAddress& address)
{
    if (! m_server.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + m_server.errorString().toStdString());
    }
    m_address = { address.host, m_server.serverPort() };
    return m_address;
}

base::Result<void> FaultProxy::setFaults (const ProxyFaults& faults)
{
    m_faults = faults;
    for (const std::unique_ptr<Link>& link : m_links)
    {
        link->applyFaults();
        link->pump();
    }
    if (faults.refuses)
    {
        m_server.close();
    }
    else if (! m_server.isListening() && m_address.port != 0)
    {
        BOOST_LEAF_CHECK (listen (m_address));
    }
    return {};
}

void FaultProxy::resetConnections()
{
    for (const std::unique_ptr<Link>& link : m_links)
    {
        if (! link->isClosed())
        {
            ++m_counters.resets;
            link->reset();
        }
    }
    removeClosedLinks();
}

ProxyCounters FaultProxy::counters() const
{
    ProxyCounters counters = m_counters;
    counters.openConnections = static_cast<std::size_t> (std::count_if (
        m_links.begin(), m_links.end(), [] (const auto& link) { return ! link->isClosed(); }));
    return counters;
}

void FaultProxy::accept()
{
    removeClosedLinks();
    while (QTcpSocket* socket = m_server.nextPendingConnection())
    {
        socket->setParent (nullptr);
        ++m_counters.connections;
        socket->setSocketOption (QAbstractSocket::LowDelayOption, 1);
        m_links.push_back (std::make_unique<Link> (*this, socket));
    }
}

void FaultProxy::removeClosedLinks()
{
    std::erase_if (m_links, [] (const std::unique_ptr<Link>& link) { return link->isClosed(); });
}

}  // namespace fernlift::lab
