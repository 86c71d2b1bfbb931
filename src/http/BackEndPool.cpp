#include "http/BackEndPool.h"

#include <utility>

namespace fernlift::http
{

std::shared_ptr<BackEndConnection> BackEndPool::acquire (const base::SocketAddress& address,
                                                         base::TimePoint now)
{
    Resting& resting = resting_[address];
    while (! resting.empty())
    {
        // The one used last: the others may age and go.
        std::shared_ptr<BackEndConnection> connection = std::move (resting.back());
        resting.pop_back();
        if (connection->isReusable (now))
            return connection;
    }
    ++opened_;
    return std::make_shared<BackEndConnection> (address, connectTimeout_);
}

void BackEndPool::release (std::shared_ptr<BackEndConnection> connection, base::TimePoint now)
{
    connection->detach();
    connection->rest (now);
    if (! connection->isReusable (now))
        return;
    resting_[connection->address()].push_back (std::move (connection));
}

void BackEndPool::expire (base::TimePoint now)
{
    for (auto item = resting_.begin(); item != resting_.end();)
    {
        std::erase_if (item->second,
                       [&] (const auto& connection) { return ! connection->isReusable (now); });
        item = item->second.empty() ? resting_.erase (item) : std::next (item);
    }
}

}  // namespace fernlift::http
