#pragma once

/// HTTP/1.1 client on Qt's event loop. It sends every request at most once.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/Message.h"

namespace fernlift::http
{

struct ClientRequest
{
    base::SocketAddress address;
    std::string method = "GET";
    std::string path = "/";  ///< Percent-encoded, with the query if any.
    Headers headers;
    std::string body;
    base::Duration connectTimeout = base::seconds (2);   ///< Until the request has been sent.
    base::Duration headersTimeout = base::seconds (10);  ///< Until the answer's headers arrive.
    base::Duration idleTimeout = base::seconds (30);     ///< Between two parts of the answer.
    /// Maximum undelivered bytes of the answer in memory, at most 64 KiB; TCP flow control holds
    /// back the rest.
    std::size_t readBufferBytes = 64UL * 1024;
    /// Most bytes of an answer that is collected by Client::fetch().
    std::size_t maxWholeBytes = 8UL * 1024 * 1024;
    /// Id that is the same at each send of the request: no connection carries it twice, so that a
    /// late copy of one answer is not taken for the next. Empty: none.
    std::string requestId;
    /// Never reuses a connection, so that the request cannot be lost to the back end closing an
    /// idle one.
    bool needsFreshConnection = false;
};

struct ClientResponse
{
    int status = 0;
    Headers headers;
};

enum class ClientErrorKind : std::uint8_t
{
    kNotSent,  ///< The TCP connection was never established: no byte left this process.
    kBroken,   ///< The connection broke; whether the back end acted on the request is not known.
    kTimeout,  ///< One of the timeouts passed; whether the back end acted is not known.
};

struct ClientError
{
    ClientErrorKind kind = ClientErrorKind::kBroken;
    std::string message;
};

/// Called on the client's thread, never from within send(). The last call is exactly one of onEnd
/// and onError; after a cancellation there are no more calls.
struct ClientCallbacks
{
    std::function<void (const ClientResponse&)> onHeaders;
    std::function<void (std::string_view)> onData;
    std::function<void()> onEnd;
    std::function<void (const ClientError&)> onError;
};

/// Handle of a request in progress. Dropping the handle does not cancel the request.
class Exchange
{
public:
    virtual ~Exchange() = default;
    Exchange() = default;
    Exchange (const Exchange&) = delete;
    Exchange& operator= (const Exchange&) = delete;

    /// Closes the connection unless the answer is complete. No callback runs afterwards.
    virtual void cancel() = 0;
    /// Pauses or resumes the delivery of data; the timeouts do not run while it is paused.
    virtual void setPaused (bool isPaused) = 0;
};

/// A complete answer, collected in memory.
struct WholeResponse
{
    int status = 0;
    Headers headers;
    std::string body;
};

class Client
{
public:
    Client();
    ~Client();
    Client (const Client&) = delete;
    Client& operator= (const Client&) = delete;

    /// Sends the request once.
    std::shared_ptr<Exchange> send (ClientRequest request, ClientCallbacks callbacks);
    /// Sends the request once and collects the complete answer. Fails with kBroken if its body is
    /// longer than `maxWholeBytes`.
    std::shared_ptr<Exchange> fetch (ClientRequest request,
                                     std::function<void (const WholeResponse&)> onResponse,
                                     std::function<void (const ClientError&)> onError);

    class Implementation;

private:
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::http
