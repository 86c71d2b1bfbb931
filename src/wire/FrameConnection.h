#pragma once

/// A TCP connection that carries frames, driven by Qt's event loop.

#include <QTcpSocket>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "wire/Frame.h"

namespace fernlift::wire
{

/// Message and byte counters of one channel, frame headers included.
struct ChannelTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/// Traffic counters of all channels; several connections may share one object.
class FrameTraffic
{
public:
    [[nodiscard]] ChannelTraffic& of (Channel channel)
    {
        return m_channels[static_cast<std::size_t> (channel) - 1];
    }
    [[nodiscard]] const ChannelTraffic& of (Channel channel) const
    {
        return m_channels[static_cast<std::size_t> (channel) - 1];
    }

private:
    static constexpr std::size_t kChannels = 3;
    std::array<ChannelTraffic, kChannels> m_channels;
};

/// Limits of one connection.
struct FrameConnectionOptions
{
    /// Limit of unsent bytes; a send while more are queued closes the connection, so that a peer
    /// that does not read cannot use unbounded memory.
    std::size_t maximumUnsentBytes = 16UL * 1024 * 1024;
    /// The connection closes when sent bytes or keep-alive probes stay unacknowledged for this
    /// long.
    base::Duration unacknowledgedTimeout = base::milliseconds (3000);
    /// Time after which `connectTo` gives up.
    base::Duration connectTimeout = base::milliseconds (1000);
    /// The connection closes when nothing is received for this long; zero: no limit.
    base::Duration idleTimeout{};
};

/// Sends and receives frames over one socket. Handlers run on the thread of the event loop and may
/// destroy the connection. `onClosed` is called at most once, never from within `send`, and not
/// after `close`.
class FrameConnection
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;  ///< Only for connections made by `connectTo`.
        std::function<void (Frame frame)> onFrame;
        std::function<void()> onClosed;
    };

    /// Takes ownership of a connected socket. `traffic` may be null; otherwise it must outlive the
    /// connection.
    FrameConnection (std::unique_ptr<QTcpSocket> socket, FrameConnectionOptions options,
                     Handlers handlers, FrameTraffic* traffic);
    ~FrameConnection();
    FrameConnection (const FrameConnection&) = delete;
    FrameConnection& operator= (const FrameConnection&) = delete;

    /// Starts connecting to `address`; `onConnected` or `onClosed` is called later.
    static std::unique_ptr<FrameConnection> connectTo (const base::SocketAddress& address,
                                                       FrameConnectionOptions options,
                                                       Handlers handlers, FrameTraffic* traffic);

    /// Queues one frame. Does nothing when the connection is not open; closes it when too many
    /// bytes are already queued.
    void send (Channel channel, std::string_view payload);
    /// Queues a frame that is already encoded, so that a frame for many peers is encoded once.
    void sendFrame (Channel channel, std::string_view frame);
    /// Passes queued bytes to the operating system now instead of from the event loop.
    void flush();
    /// Closes the connection immediately, without calling `onClosed`. Unsent frames may be lost.
    void close();
    [[nodiscard]] bool isOpen() const;
    /// Number of bytes queued but not yet passed to the operating system.
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    void connectSignals();
    void configureSocket();
    /// Calls `step` from the event loop after `delay`, unless the connection has been closed.
    void runLater (base::Duration delay, void (FrameConnection::*step)());
    void readFrames();
    void deliver (std::vector<Frame>& frames);
    void closeAndReport();
    void closeUnlessConnected();
    void closeWhenIdle();

    std::unique_ptr<QTcpSocket> m_socket;
    FrameConnectionOptions m_options;
    Handlers m_handlers;
    FrameTraffic* m_traffic;
    FrameReader m_reader;
    bool m_isClosed = false;
    bool m_hasReceivedSinceIdleCheck = false;
    /// Expires when this object is destroyed, which may happen in a handler.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool> (true);
};

}  // namespace fernlift::wire
