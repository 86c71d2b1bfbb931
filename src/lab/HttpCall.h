#pragma once

/// A single HTTP call over a connection of its own, on the Qt event loop of the calling thread.

#include <QElapsedTimer>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/Client.h"

namespace fernlift::lab
{

struct HttpRequest
{
    base::SocketAddress address{};
    std::string method = "POST";
    std::string path{};
    http::Headers headers{};
    std::string body{};
    base::Duration timeout = base::seconds (60);  ///< Timeout for the entire call.
};

/// How a call ended.
enum class CallEnd : std::uint8_t
{
    kComplete,      ///< A complete answer arrived.
    kNotConnected,  ///< The connection was refused, and no byte was sent.
    kBroken,  ///< The connection ended before the answer was complete, or the answer is malformed.
    kTimeout,
};

[[nodiscard]] std::string_view toString (CallEnd end);

struct HttpOutcome
{
    CallEnd end = CallEnd::kBroken;
    int status = 0;  ///< 0 when no header block arrived.
    http::Headers headers;
    std::string body;
    /// Time from the start of the call to the first byte of the body; zero when none arrived.
    base::Duration toFirstBodyByte{};
    base::Duration toEnd{};  ///< Time from the start of the call to its end.
};

/// A running call. Its destructor closes the connection, like a caller that disconnects.
class HttpCall
{
public:
    using OnEnd = std::function<void (const HttpOutcome&)>;

    /// Sends the request once, on a new connection of `client`, which must outlive the call.
    HttpCall (http::Client& client, const HttpRequest& request, OnEnd onEnd);
    ~HttpCall();
    HttpCall (const HttpCall&) = delete;
    HttpCall& operator= (const HttpCall&) = delete;

private:
    void onHeaders (const http::ClientResponse& response);
    void onData (std::string_view data);
    void end (CallEnd how);

    QTimer m_timeout;
    QElapsedTimer m_elapsed;
    HttpOutcome m_outcome;
    OnEnd m_onEnd;
    std::shared_ptr<http::Exchange> m_exchange;
    bool m_hasEnded = false;
};

/// Makes a call and handles events until the call has ended.
HttpOutcome callAndWait (const HttpRequest& request);

}  // namespace fernlift::lab
