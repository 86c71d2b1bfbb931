#include "controller/ControlHttp.h"

#include <utility>

namespace fernlift::controller
{

ControlHttp::ControlHttp (std::shared_ptr<const ControlCodec> codec, Handler handler)
    : codec_ (std::move (codec)), handler_ (std::move (handler))
{
    server_.setHandler (
        [this] (const http::Request& request, std::shared_ptr<http::Responder> responder)
        { handle (request, std::move (responder)); });
}

base::Result<base::SocketAddress> ControlHttp::listen (const base::SocketAddress& address)
{
    return server_.listen (address);
}

void ControlHttp::handle (const http::Request& request, std::shared_ptr<http::Responder> responder)
{
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (parsed, codec_->parse (request));
            const ControlTicket ticket = ++lastTicket_;
            responder->onClosed ([this, ticket] { pending_.erase (ticket); });
            Pending& pending = pending_[ticket];
            pending.request = request;
            pending.request.body.clear();
            pending.responder = responder;
            handler_ (ticket, parsed);
            return {};
        },
        [&] (const base::Error& error) { http::errorResponse (error).sendTo (*responder); });
}

void ControlHttp::answer (ControlTicket ticket, const ControlAnswer& answer)
{
    const auto found = pending_.find (ticket);
    if (found == pending_.end())
        return;
    const Pending pending = std::move (found->second);
    pending_.erase (found);
    codec_->format (pending.request, answer).sendTo (*pending.responder);
}

void ControlHttp::stopListening() { server_.stopListening(); }

std::size_t ControlHttp::openRequests() const { return server_.openResponses(); }

}  // namespace fernlift::controller
