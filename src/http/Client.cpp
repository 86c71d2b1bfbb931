#include "http/Client.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkProxyFactory>
#include <map>
#include <unordered_map>
#include <utility>

#include "http/ClientExchange.h"
#include "http/ConnectionSlots.h"

namespace fernlift::http
{
namespace
{

/// Selects the application proxy, which is set to none. With QNetworkProxy::NoProxy here, Qt would
/// open unbuffered sockets and read the header of each answer with one system call per byte.
class DirectConnections final : public QNetworkProxyFactory
{
public:
    QList<QNetworkProxy> queryProxy (const QNetworkProxyQuery& /*query*/) override
    {
        return { QNetworkProxy (QNetworkProxy::DefaultProxy) };
    }
};

}  // namespace

class Client::Implementation
{
public:
    Implementation()
    {
        QNetworkProxy::setApplicationProxy (QNetworkProxy (QNetworkProxy::NoProxy));
        m_manager.setProxyFactory (new DirectConnections);
        m_manager.setRedirectPolicy (QNetworkRequest::ManualRedirectPolicy);
        m_manager.setAutoDeleteReplies (false);
    }

    ~Implementation()
    {
        const auto exchanges = std::exchange (m_exchanges, {});
        for (const auto& [key, exchange] : exchanges)
            exchange->cancel();
    }
    Implementation (const Implementation&) = delete;
    Implementation& operator= (const Implementation&) = delete;

    std::shared_ptr<Exchange> send (ClientRequest request, ClientCallbacks callbacks)
    {
        const base::SocketAddress address = request.address;
        const auto slot = m_slots[address].acquire (m_clock.now(), request.needsFreshConnection);
        const std::uint64_t key = m_nextKey++;
        callbacks.onError =
            [this, address, onError = std::move (callbacks.onError)] (const ClientError& error)
        {
            if (error.kind == ClientErrorKind::kTimeout)
                m_slots[address].forgetOpen();
            if (onError)
                onError (error);
        };
        auto onDone = [this, address, slot, key] (bool isReusable, bool isOpen)
        {
            if (isReusable)
                m_slots[address].release (slot, isOpen, m_clock.now());
            forget (key);
        };
        const std::shared_ptr<ClientExchange> exchange (
            new ClientExchange (std::move (request), std::move (callbacks), std::move (onDone)),
            [] (ClientExchange* unused) { unused->deleteLater(); });
        m_exchanges.emplace (key, exchange);
        exchange->start (m_manager, slot.name());
        return exchange;
    }

private:
    void forget (std::uint64_t key) { m_exchanges.erase (key); }

    base::SystemClock m_clock;
    QNetworkAccessManager m_manager;
    std::map<base::SocketAddress, ConnectionSlots> m_slots;
    /// Exchanges in progress, kept alive here even if their handles are dropped.
    std::unordered_map<std::uint64_t, std::shared_ptr<ClientExchange>> m_exchanges;
    std::uint64_t m_nextKey = 0;
};

Client::Client() : m_implementation (std::make_unique<Implementation>()) {}

Client::~Client() = default;

std::shared_ptr<Exchange> Client::send (ClientRequest request, ClientCallbacks callbacks)
{
    return m_implementation->send (std::move (request), std::move (callbacks));
}

std::shared_ptr<Exchange> Client::fetch (ClientRequest request,
                                         std::function<void (const WholeResponse&)> onResponse,
                                         std::function<void (const ClientError&)> onError)
{
    const auto whole = std::make_shared<WholeResponse>();
    ClientCallbacks callbacks;
    callbacks.onHeaders = [whole] (const ClientResponse& response)
    {
        whole->status = response.status;
        whole->headers = response.headers;
    };
    callbacks.onData = [whole] (std::string_view data) { whole->body += data; };
    callbacks.onEnd = [whole, onResponse = std::move (onResponse)] { onResponse (*whole); };
    callbacks.onError = std::move (onError);
    return send (std::move (request), std::move (callbacks));
}

}  // namespace fernlift::http
