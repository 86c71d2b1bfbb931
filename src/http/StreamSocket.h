#pragma once

/// A TCP connection on the event loop that distinguishes an orderly close from a reset. QTcpSocket
/// reports both as a close by the peer, but an answer that ends with its connection is complete
/// only after the former.

#include <QSocketNotifier>
#include <QTimer>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/SocketAddress.h"
#include "base/Time.h"

namespace fernlift::http
{

/// How a connection ended.
enum class StreamEnd : std::uint8_t
{
    kRefused,  ///< The connection was never established.
    kOrderly,  ///< The peer closed it; everything it sent was received.
    kBroken,   ///< The connection was reset, timed out or failed otherwise.
};

/// Receives the events of a socket. May destroy the socket from within any call.
class StreamListener
{
public:
    virtual ~StreamListener() = default;
    StreamListener() = default;
    StreamListener (const StreamListener&) = delete;
    StreamListener& operator= (const StreamListener&) = delete;

    virtual void onConnected() = 0;
    /// The system has taken the buffered rest of the written bytes.
    virtual void onFlushed() {}
    virtual void onData (std::string_view data) = 0;
    /// Called at most once, as the last call.
    virtual void onEnd (StreamEnd end) = 0;
};

class StreamSocket
{
public:
    /// `listener` must outlive the socket.
    explicit StreamSocket (StreamListener* listener) : m_listener (listener) {}
    ~StreamSocket() { close(); }
    StreamSocket (const StreamSocket&) = delete;
    StreamSocket& operator= (const StreamSocket&) = delete;

    /// Starts to connect; onConnected or onEnd is called later from the event loop.
    void connectTo (const base::SocketAddress& address);
    /// Sends as much as the system accepts and buffers the rest. Ignored unless the socket is open.
    void write (std::string_view data);
    /// Stops or resumes reading; meanwhile the end of the connection is not noticed either.
    void setReading (bool isReading);
    /// Sets the most bytes that one call of onData delivers.
    void setMaxReadBytes (std::size_t bytes);
    /// Closes at once, without further calls to the listener.
    void close();

    [[nodiscard]] bool isOpen() const { return m_state == State::kOpen; }
    /// Whether the system has received bytes, or the end of the connection, that are not read yet.
    [[nodiscard]] bool hasUnreadInput() const;
    [[nodiscard]] std::size_t bytesToWrite() const { return m_unsent.size(); }

private:
    enum class State : std::uint8_t
    {
        kNew,
        kConnecting,
        kOpen,
        kClosed
    };

    static constexpr std::size_t kReadBytes = 64UL * 1024;

    void onWritable();
    void onReadable();
    void flush();
    void finish (StreamEnd end);
    /// Calls finish() from the event loop.
    void finishLater (StreamEnd end);

    StreamListener* m_listener;
    int m_descriptor = -1;
    State m_state = State::kNew;
    bool m_hasWriteFailed = false;
    bool m_isReading = true;
    std::size_t m_maxReadBytes = kReadBytes;  ///< In [1, kReadBytes].
    std::string m_unsent;
    std::unique_ptr<QSocketNotifier> m_readNotifier;
    std::unique_ptr<QSocketNotifier> m_writeNotifier;
    std::unique_ptr<QTimer> m_deferredEnd;
};

}  // namespace fernlift::http
