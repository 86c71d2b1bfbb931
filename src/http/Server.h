#pragma once

/// HTTP/1.1 server. Qt's HTTP server parses and dispatches requests; limits, framing checks,
/// timeouts and the order of pipelined requests are enforced below it, as the bytes are read.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/Message.h"
#include "http/RequestBudget.h"

namespace fernlift::http
{

/// Limits on connections, on request sizes and on the time that callers may take.
struct ServerLimits
{
    std::size_t headerBytes = 32UL * 1024;       ///< Request line and header fields.
    std::size_t bodyBytes = 16UL * 1024 * 1024;  ///< Body of one request.
    /// All requests together until they are answered.
    std::size_t requestBytes = RequestBudget::kDefaultBytes;
    std::size_t connections = 4096;  ///< Open connections; further ones are answered 503.
    base::Duration idleTimeout = base::seconds (75);     ///< Between requests of one connection.
    base::Duration headerTimeout = base::seconds (10);   ///< First byte to the end of the headers.
    base::Duration requestTimeout = base::seconds (60);  ///< First byte to the end of the body.
    base::Duration writeTimeout = base::seconds (60);    ///< Without write progress of an answer.
};

/// Answers one request: either send(), or begin(), any number of write() and end(). Destroying it
/// before the end closes the connection, or sends a 500 if the answer was not begun.
class Responder
{
public:
    virtual ~Responder() = default;
    Responder() = default;
    Responder (const Responder&) = delete;
    Responder& operator= (const Responder&) = delete;

    /// Sends the complete answer with a Content-Length.
    virtual void send (int status, const Headers& headers, std::string_view body) = 0;
    /// Begins an answer that is sent in chunks, or with `Content-Length` if `headers` has one.
    virtual void begin (int status, const Headers& headers) = 0;
    virtual void write (std::string_view data) = 0;
    virtual void end() = 0;
    /// Closes the connection at once; the caller receives a truncated answer.
    virtual void abort() = 0;

    /// Bytes written but not yet passed to the operating system.
    [[nodiscard]] virtual std::size_t bytesToWrite() const = 0;
    /// Whether the answer has not ended and the connection is open.
    [[nodiscard]] virtual bool isOpen() const = 0;
    /// `callback` runs once if the connection closes before the answer is finished.
    virtual void onClosed (std::function<void()> callback) = 0;
    /// `callback` runs whenever bytesToWrite() has fallen to the low-water mark.
    virtual void onDrained (std::function<void()> callback) = 0;
};

using Handler = std::function<void (const Request&, std::shared_ptr<Responder>)>;

/// Counters of one server since its start.
struct ServerCounters
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t rejected = 0;  ///< Requests or connections refused before the handler runs.
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/// A server on the thread's Qt event loop. The handler runs on that thread, one request of a
/// connection at a time.
class Server
{
public:
    explicit Server (ServerLimits limits = {});
    ~Server();
    Server (const Server&) = delete;
    Server& operator= (const Server&) = delete;

    void setHandler (Handler handler);
    /// Starts to listen and returns the bound address; with port 0 the system chooses the port.
    /// Fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Stops accepting connections, closes idle ones, and closes the others after their answer.
    void stopListening();
    /// Number of connections with an answer that has not ended or is not completely passed to the
    /// operating system.
    [[nodiscard]] std::size_t openResponses() const;
    [[nodiscard]] std::size_t openConnections() const;
    [[nodiscard]] ServerCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::http
