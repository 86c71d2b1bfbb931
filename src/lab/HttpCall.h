#pragma once

/// One HTTP call over a connection of its own, as a caller would make it.

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
    base::Duration timeout = base::seconds (60);  ///< Of the whole call.
};

/// How a call ended.
enum class CallEnd : std::uint8_t
{
    kWhole,         ///< A whole answer arrived.
    kNotConnected,  ///< The connection was refused: no byte was sent.
    kBroken,  ///< The connection ended before the answer was whole, or the answer is malformed.
    kTimeout,
};

[[nodiscard]] std::string_view toString (CallEnd end);

struct HttpOutcome
{
    CallEnd end = CallEnd::kBroken;
    int status = 0;  ///< 0 when no header block arrived.
    http::Headers headers;
    std::string body;
    /// Durations since the start of the call; zero for what did not happen.
    base::Duration toFirstBodyByte{};
    base::Duration toEnd{};
};

/// A running call. Destroying it closes the connection, as a caller that leaves would.
class HttpCall
{
public:
    using OnEnd = std::function<void (const HttpOutcome&)>;

    /// Sends the request once, on a fresh connection of `client`, which must outlive the call.
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

/// Makes a call and handles events until it has ended.
HttpOutcome callAndWait (const HttpRequest& request);

}  // namespace fernlift::lab
