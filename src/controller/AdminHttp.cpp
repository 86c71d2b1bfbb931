#include "controller/AdminHttp.h"

#include <utility>

#include "controller/AdminRequests.h"
#include "http/ErrorResponse.h"
#include "http/ProcessEndpoints.h"

namespace fernlift::controller
{

AdminHttp::AdminHttp (Handlers handlers, http::Metrics& metrics) : m_handlers (std::move (handlers))
{
    auto handler = [this] (const http::Request& request, std::shared_ptr<http::Responder> responder)
    { handle (request, std::move (responder)); };
    m_server.setHandler (
        http::addProcessEndpoints (std::move (handler), m_handlers.isReady, metrics));
}

base::Result<base::SocketAddress> AdminHttp::listen (const base::SocketAddress& address)
{
    return m_server.listen (address);
}

void AdminHttp::handle (const http::Request& request, std::shared_ptr<http::Responder> responder)
{
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (parsed, parseAdminRequest (request));
            const AdminTicket ticket = ++m_lastTicket;
            responder->onClosed ([this, ticket] { m_pending.erase (ticket); });
            m_pending.emplace (ticket, responder);
            m_handlers.onRequest (ticket, parsed);
            return {};
        },
        [&] (const base::Error& error) { http::errorResponse (error).sendTo (*responder); });
}

void AdminHttp::answer (const AnswerAdmin& answer)
{
    const auto found = m_pending.find (answer.ticket);
    if (found == m_pending.end())
        return;
    const std::shared_ptr<http::Responder> responder = found->second;
    m_pending.erase (found);
    http::jsonResponse (answer.httpStatus, answer.json).sendTo (*responder);
}

void AdminHttp::stopListening() { m_server.stopListening(); }

std::size_t AdminHttp::openRequests() const { return m_server.openResponses(); }

}  // namespace fernlift::controller
