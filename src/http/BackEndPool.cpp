#include "http/BackEndPool.h"

#include <algorithm>
#include <utility>

namespace fernlift::http
{

std::shared_ptr<BackEndConnection> BackEndPool::acquire (const base::SocketAddress& address,
                                                         base::TimePoint now)
{
    Resting& resting = m_resting[address];
    while (! resting.empty())
    {
        // The one used last: the others may age and go.
        std::shared_ptr<BackEndConnection> connection = std::move (resting.back());
        resting.pop_back();
        if (connection->isReusable (now))
            return connection;
    }
    ++m_opened;
    return std::make_shared<BackEndConnection> (address, m_connectTimeout);
}

bool BackEndPool::hasResting (const base::SocketAddress& address, base::TimePoint now) const
{
    const auto resting = m_resting.find (address);
    return resting != m_resting.end()
           && std::ranges::any_of (resting->second, [&] (const auto& connection)
                                   { return connection->isReusable (now); });
}

void BackEndPool::release (std::shared_ptr<BackEndConnection> connection, base::TimePoint now)
{
    connection->detach();
    connection->rest (now);
    if (! connection->isReusable (now))
        return;
    m_resting[connection->address()].push_back (std::move (connection));
}

void BackEndPool::expire (base::TimePoint now)
{
    for (auto item = m_resting.begin(); item != m_resting.end();)
    {
        std::erase_if (item->second,
                       [&] (const auto& connection) { return ! connection->isReusable (now); });
        item = item->second.empty() ? m_resting.erase (item) : std::next (item);
    }
}

}  // namespace fernlift::http
