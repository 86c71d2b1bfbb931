#include "controller/ControlHttp.h"

#include <utility>

namespace fernlift::controller
{

ControlHttp::ControlHttp (std::shared_ptr<const ControlCodec> codec, Handler handler,
                          Unreadable onUnreadable)
    : m_codec (std::move (codec)),
      m_handler (std::move (handler)),
      m_onUnreadable (std::move (onUnreadable))
{
    m_server.setHandler (
        [this] (const http::Request& request, std::shared_ptr<http::Responder> responder)
        { handle (request, std::move (responder)); });
}

base::Result<base::SocketAddress> ControlHttp::listen (const base::SocketAddress& address)
{
    return m_server.listen (address);
}

void ControlHttp::handle (const http::Request& request, std::shared_ptr<http::Responder> responder)
{
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (parsed, m_codec->parse (request));
            const ControlTicket ticket = ++m_lastTicket;
            responder->onClosed ([this, ticket] { m_pending.erase (ticket); });
            Pending& pending = m_pending[ticket];
            pending.request = request;
            pending.request.body.clear();
            pending.responder = responder;
            m_handler (ticket, parsed);
            return {};
        },
        [&] (const base::Error& error)
        {
            if (error.kind == base::ErrorKind::kInvalidRequest)
                m_onUnreadable (request.path, error.message);
            http::errorResponse (error).sendTo (*responder);
        });
}

void ControlHttp::answer (ControlTicket ticket, const ControlAnswer& answer)
{
    const auto found = m_pending.find (ticket);
    if (found == m_pending.end())
        return;
    const Pending pending = std::move (found->second);
    m_pending.erase (found);
    m_codec->format (pending.request, answer).sendTo (*pending.responder);
}

void ControlHttp::stopListening() { m_server.stopListening(); }

std::size_t ControlHttp::openRequests() const { return m_server.openResponses(); }

}  // namespace fernlift::controller
