#pragma once

/// HTTP interface of a controller for operators' requests, health checks and metrics.

#include <functional>
#include <map>
#include <memory>

#include "controller/ControllerCore.h"
#include "http/Metrics.h"
#include "http/Server.h"

namespace fernlift::controller
{

/// Parses HTTP requests into operator requests, passes them on and sends the answers of the core.
class AdminHttp
{
public:
    struct Handlers
    {
        std::function<void (AdminTicket ticket, const AdminRequest& request)> onRequest;
        std::function<bool()> isReady;
    };

    /// `metrics` must outlive the object.
    AdminHttp (Handlers handlers, http::Metrics& metrics);

    /// Starts to listen; returns the address with the real port or fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    void answer (const AnswerAdmin& answer);
    /// Accepts no new connections from now on.
    void stopListening();
    /// Number of requests whose answer has not been sent yet.
    [[nodiscard]] std::size_t openRequests() const;

private:
    void handle (const http::Request& request, std::shared_ptr<http::Responder> responder);

    Handlers m_handlers;
    AdminTicket m_lastTicket = 0;
    std::map<AdminTicket, std::shared_ptr<http::Responder>> m_pending;
    http::Server m_server;
};

}  // namespace fernlift::controller
