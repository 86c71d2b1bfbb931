#include "http/Client.h"

#include <QTimer>
#include <unordered_map>
#include <utility>

#include "http/BackEndPool.h"
#include "http/ClientExchange.h"

namespace fernlift::http
{
namespace
{

/// Connections idle for longer are not reused, as the back end may close them at any moment.
constexpr base::Duration kMaxIdle = base::seconds (15);
constexpr base::Duration kExpiryInterval = base::seconds (1);
/// Exchanges apply the connect timeout of their request.
constexpr base::Duration kNoConnectTimeout = std::chrono::hours (24);

}  // namespace

class Client::Implementation
{
public:
    Implementation()
    {
        QObject::connect (&m_expiry, &QTimer::timeout, &m_expiry,
                          [this] { m_pool.expire (m_clock.now()); });
        m_expiry.start (std::chrono::duration_cast<base::milliseconds> (kExpiryInterval));
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
        auto connection = request.needsFreshConnection
                              ? m_pool.open (address)
                              : m_pool.acquire (address, m_clock.now(), request.requestId);
        const std::uint64_t key = m_nextKey++;
        callbacks.onError =
            [this, address, onError = std::move (callbacks.onError)] (const ClientError& error)
        {
            if (error.kind == ClientErrorKind::kTimeout)
                m_pool.forget (address);
            if (onError)
                onError (error);
        };
        auto onDone = [this, key] (std::shared_ptr<BackEndConnection> usable)
        {
            if (usable)
                m_pool.release (std::move (usable), m_clock.now());
            m_exchanges.erase (key);
        };
        const std::shared_ptr<ClientExchange> exchange (
            new ClientExchange (std::move (request), std::move (callbacks), std::move (onDone)),
            [] (ClientExchange* unused) { unused->deleteLater(); });
        m_exchanges.emplace (key, exchange);
        exchange->start (std::move (connection));
        return exchange;
    }

private:
    base::SystemClock m_clock;
    BackEndPool m_pool{ kNoConnectTimeout, kMaxIdle };
    QTimer m_expiry;
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
    const auto exchange = std::make_shared<std::weak_ptr<Exchange>>();
    callbacks.onData =
        [whole, exchange, onError, maxBytes = request.maxWholeBytes] (std::string_view data)
    {
        if (whole->body.size() + data.size() <= maxBytes)
        {
            whole->body += data;
            return;
        }
        if (const auto endless = exchange->lock())
            endless->cancel();
        onError ({ ClientErrorKind::kBroken,
                   "the answer is longer than " + std::to_string (maxBytes) + " bytes" });
    };
    callbacks.onEnd = [whole, onResponse = std::move (onResponse)] { onResponse (*whole); };
    callbacks.onError = std::move (onError);
    std::shared_ptr<Exchange> begun = send (std::move (request), std::move (callbacks));
    *exchange = begun;
    return begun;
}

}  // namespace fernlift::http
