#pragma once

/// One TCP connection that carries frames, on Qt's event loop.

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

/// Messages and bytes of one channel, frame headers included.
struct ChannelTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/// Traffic of all channels; several connections may share one.
class FrameTraffic
{
public:
    /// The counters of `channel`.
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
    /// Bytes that may wait for a peer that does not read; more closes the connection.
    std::size_t maximumUnsentBytes = 16UL * 1024 * 1024;
    /// The connection closes when sent bytes, or probes of it, stay unacknowledged for this long.
    base::Duration unacknowledgedTimeout = base::milliseconds (3000);
    /// `connectTo` gives up after this long.
    base::Duration connectTimeout = base::milliseconds (1000);
    /// The connection closes when nothing is received for this long; zero: never.
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

    /// Takes over a connected socket. `traffic` may be null and must outlive the connection.
    FrameConnection (std::unique_ptr<QTcpSocket> socket, FrameConnectionOptions options,
                     Handlers handlers, FrameTraffic* traffic);
    ~FrameConnection();
    FrameConnection (const FrameConnection&) = delete;
    FrameConnection& operator= (const FrameConnection&) = delete;

    /// Begins to connect to `address`; `onConnected` or `onClosed` follows.
    static std::unique_ptr<FrameConnection> connectTo (const base::SocketAddress& address,
                                                       FrameConnectionOptions options,
                                                       Handlers handlers, FrameTraffic* traffic);

    /// Queues one frame. Does nothing when the connection isn't open; closes it when too many bytes
    /// wait already.
    void send (Channel channel, std::string_view payload);
    /// The same for a frame that is encoded already, for one that goes to many.
    void sendFrame (Channel channel, std::string_view frame);
    /// Hands what is queued to the system now instead of when control is back in the event loop.
    void flush();
    /// Closes at once, without a call of `onClosed`. Frames not yet sent may be lost.
    void close();
    [[nodiscard]] bool isOpen() const;
    /// Bytes that wait for the peer to read.
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    void connectSignals();
    void configureSocket();
    /// Runs `step` from the event loop after `delay`, unless the connection is closed by then.
    void runLater (base::Duration delay, void (FrameConnection::*step)());
    void readFrames();
    void deliver (std::vector<Frame>& frames);
    void closeAndReport();
    void closeUnlessConnected();
    void closeWhenSilent();

    std::unique_ptr<QTcpSocket> m_socket;
    FrameConnectionOptions m_options;
    Handlers m_handlers;
    FrameTraffic* m_traffic;
    FrameReader m_reader;
    bool m_isClosed = false;
    bool m_hasReceivedSinceWatch = false;
    /// Expires with the connection, so that handlers may destroy it.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool> (true);
};

}  // namespace fernlift::wire
