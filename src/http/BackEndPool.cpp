#include "http/BackEndPool.h"

#include <algorithm>
#include <utility>

namespace fernlift::http
{
namespace
{

/// Whether an idle connection may be used for another request.
bool isUsable (const BackEndConnection& connection, base::TimePoint now)
{
    return connection.isReusable (now) && ! connection.hasUnreadInput();
}

}  // namespace

std::shared_ptr<BackEndConnection> BackEndPool::acquire (const base::SocketAddress& address,
                                                         base::TimePoint now,
                                                         std::string_view requestId)
{
    IdleConnections& idle = m_idle[address];
    // Takes the most recently used one, so that surplus connections expire.
    for (auto next = idle.end(); next != idle.begin();)
    {
        --next;
        if ((*next)->hasCarried (requestId))
            continue;
        std::shared_ptr<BackEndConnection> connection = std::move (*next);
        next = idle.erase (next);
        if (isUsable (*connection, now))
            return connection;
    }
    return open (address);
}

std::shared_ptr<BackEndConnection> BackEndPool::open (const base::SocketAddress& address)
{
    ++m_opened;
    return std::make_shared<BackEndConnection> (address, m_connectTimeout, m_defaultKeepAlive);
}

bool BackEndPool::hasIdle (const base::SocketAddress& address, base::TimePoint now) const
{
    const auto idle = m_idle.find (address);
    return idle != m_idle.end()
           && std::ranges::any_of (
               idle->second, [&] (const auto& connection) { return isUsable (*connection, now); });
}

void BackEndPool::release (std::shared_ptr<BackEndConnection> connection, base::TimePoint now)
{
    connection->detach();
    connection->markIdle (now);
    if (! connection->isReusable (now))
        return;
    m_idle[connection->address()].push_back (std::move (connection));
}

void BackEndPool::expire (base::TimePoint now)
{
    for (auto item = m_idle.begin(); item != m_idle.end();)
    {
        std::erase_if (item->second,
                       [&] (const auto& connection) { return ! connection->isReusable (now); });
        item = item->second.empty() ? m_idle.erase (item) : std::next (item);
    }
}

}  // namespace fernlift::http
