#include "router/CacheEventPoller.h"

#include <array>
#include <utility>

#include "engine/JsonFields.h"

namespace fernlift::router
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kCallTimeout = base::seconds (2);
constexpr std::array<engine::JsonName<bool>, 2> kKinds{ { { true, "stored" },
                                                          { false, "removed" } } };

void readEvent (engine::JsonFields& fields, routing::CacheEvent& event)
{
    fields.readInteger ("sequence", &event.sequence)
        .readEnumeration ("kind", kKinds, &event.isStored)
        .readText ("model", &event.target)
        .readInteger ("block", &event.block);
}

base::SocketAddress parseOrEmpty (const std::string& address)
{
    return base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                               [] (const base::Error&) { return base::SocketAddress(); });
}

}  // namespace

base::Result<std::vector<routing::CacheEvent>> parseCacheEvents (std::string_view json)
{
    BOOST_LEAF_AUTO (object, engine::parseJsonObject (json));
    engine::JsonFields fields (object);
    std::vector<routing::CacheEvent> events;
    fields.readObjects<routing::CacheEvent> ("events", &events, readEvent);
    BOOST_LEAF_CHECK (fields.finish());
    return events;
}

CacheEventPoller::CacheEventPoller (http::Client& client, EventHandler onEvents)
    : m_client (client), m_onEvents (std::move (onEvents))
{
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { poll(); });
}

void CacheEventPoller::start (base::Duration interval)
{
    if (interval <= base::Duration::zero())
        return;
    m_timer.start (std::chrono::duration_cast<base::milliseconds> (interval));
}

void CacheEventPoller::onReplicas (const cell::ReplicaUpdate& update)
{
    if (update.fromVersion == 0)
        m_rows.clear();
    for (const cell::RoutableReplica& row : update.removals)
    {
        m_rows[row.runner].erase ({ row.replica, row.target });
    }
    for (const cell::RoutableReplica& row : update.upserts)
    {
        if (row.isApplication)
            continue;
        m_rows[row.runner].emplace (row.replica, row.target);
        Runner& runner = m_runners[row.runner];
        const bool isSame = runner.incarnation == row.incarnation && runner.address == row.address;
        if (! isSame)
            runner = Runner{ row.incarnation, row.address, 0, false };
    }
    std::erase_if (m_rows, [] (const auto& entry) { return entry.second.empty(); });
    std::erase_if (m_runners,
                   [this] (const auto& entry) { return ! m_rows.contains (entry.first); });
}

void CacheEventPoller::poll()
{
    for (auto& [id, runner] : m_runners)
    {
        if (! runner.isPolling)
            requestEvents (id, runner);
    }
}

void CacheEventPoller::requestEvents (const base::RunnerId& id, Runner& runner)
{
    runner.isPolling = true;
    http::ClientRequest request;
    request.address = parseOrEmpty (runner.address);
    request.path = "/engine/cache-events?after=" + std::to_string (runner.after);
    request.connectTimeout = kCallTimeout;
    request.headersTimeout = kCallTimeout;
    request.idleTimeout = kCallTimeout;
    const base::Incarnation incarnation = runner.incarnation;
    m_client.fetch (
        std::move (request),
        [this, id, incarnation] (const http::WholeResponse& response)
        { onAnswer (id, incarnation, response); },
        [this, id, incarnation] (const http::ClientError&)
        {
            if (Runner* polled = findPolled (id, incarnation))
                polled->isPolling = false;
        });
}

void CacheEventPoller::onAnswer (const base::RunnerId& id, base::Incarnation incarnation,
                                 const http::WholeResponse& response)
{
    Runner* const runner = findPolled (id, incarnation);
    if (runner == nullptr)
        return;
    runner->isPolling = false;
    if (response.status != kOk)
        return;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (events, parseCacheEvents (response.body));
            runner->after = m_onEvents (id, incarnation, events);
            return {};
        },
        [] (const base::Error&) {});
}

CacheEventPoller::Runner* CacheEventPoller::findPolled (const base::RunnerId& id,
                                                        base::Incarnation incarnation)
{
    const auto found = m_runners.find (id);
    if (found == m_runners.end() || found->second.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

}  // namespace fernlift::router
