#include "controller/AdminHttp.h"

#include <utility>

#include "controller/AdminRequests.h"
#include "http/ErrorResponse.h"
#include "http/ProcessEndpoints.h"

namespace fernlift::controller
{

AdminHttp::AdminHttp (Handlers handlers, http::Metrics& metrics) : handlers_ (std::move (handlers))
{
    auto handler = [this] (const http::Request& request, std::shared_ptr<http::Responder> responder)
    { handle (request, std::move (responder)); };
    server_.setHandler (
        http::addProcessEndpoints (std::move (handler), handlers_.isReady, metrics));
}

base::Result<base::SocketAddress> AdminHttp::listen (const base::SocketAddress& address)
{
    return server_.listen (address);
}

void AdminHttp::handle (const http::Request& request, std::shared_ptr<http::Responder> responder)
{
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (parsed, parseAdminRequest (request));
            const AdminTicket ticket = ++lastTicket_;
            responder->onClosed ([this, ticket] { pending_.erase (ticket); });
            pending_.emplace (ticket, responder);
            handlers_.onRequest (ticket, parsed);
            return {};
        },
        [&] (const base::Error& error) { http::errorResponse (error).sendTo (*responder); });
}

void AdminHttp::answer (const AnswerAdmin& answer)
{
    const auto found = pending_.find (answer.ticket);
    if (found == pending_.end())
        return;
    const std::shared_ptr<http::Responder> responder = found->second;
    pending_.erase (found);
    http::jsonResponse (answer.httpStatus, answer.json).sendTo (*responder);
}

void AdminHttp::stopListening() { server_.stopListening(); }

std::size_t AdminHttp::openRequests() const { return server_.openResponses(); }

}  // namespace fernlift::controller
