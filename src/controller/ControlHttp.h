#pragma once

/// HTTP interface of a controller for registered runners and the operator of their services.

#include <functional>
#include <map>
#include <memory>

#include "controller/ControlCodec.h"
#include "http/Server.h"

namespace fernlift::controller
{

class ControlHttp
{
public:
    using Handler = std::function<void (ControlTicket ticket, const ControlRequest& request)>;

    /// Called for a request that could not be parsed, with its path and the reason.
    using Unreadable = std::function<void (std::string_view path, std::string_view reason)>;

    ControlHttp (std::shared_ptr<const ControlCodec> codec, Handler handler,
                 Unreadable onUnreadable);

    /// Starts to listen; returns the address with the real port or fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    void answer (ControlTicket ticket, const ControlAnswer& answer);
    /// Accepts no new connections from now on.
    void stopListening();
    /// Number of requests whose answer has not been sent yet.
    [[nodiscard]] std::size_t openRequests() const;

private:
    struct Pending
    {
        http::Request request;  ///< The request without its body.
        std::shared_ptr<http::Responder> responder;
    };

    void handle (const http::Request& request, std::shared_ptr<http::Responder> responder);

    std::shared_ptr<const ControlCodec> m_codec;
    Handler m_handler;
    Unreadable m_onUnreadable;
    ControlTicket m_lastTicket = 0;
    std::map<ControlTicket, Pending> m_pending;
    http::Server m_server;
};

}  // namespace fernlift::controller
