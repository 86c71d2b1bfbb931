#pragma once

/// HTTP interface of a controller: operators' requests, health checks and metrics.

#include <functional>
#include <map>
#include <memory>

#include "controller/ControllerCore.h"
#include "http/Metrics.h"
#include "http/Server.h"

namespace fernlift::controller
{

/// Turns HTTP requests into requests of operators and answers them when the core has decided.
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

    /// Listens; returns the real address or fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    void answer (const AnswerAdmin& answer);
    /// Takes no new connections.
    void stopListening();
    /// Requests whose answer is not sent yet.
    [[nodiscard]] std::size_t openRequests() const;

private:
    void handle (const http::Request& request, std::shared_ptr<http::Responder> responder);

    Handlers m_handlers;
    AdminTicket m_lastTicket = 0;
    std::map<AdminTicket, std::shared_ptr<http::Responder>> m_pending;
    http::Server m_server;
};

}  // namespace fernlift::controller
