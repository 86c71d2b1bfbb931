#include "proxy/RunnerPool.h"

#include <utility>

namespace fernlift::proxy {

std::shared_ptr<RunnerConnection> RunnerPool::acquire(const base::SocketAddress& address,
                                                      base::TimePoint now) {
  Resting& resting = resting_[address];
  while (!resting.empty()) {
    // The one used last: the others may age and go.
    std::shared_ptr<RunnerConnection> connection = std::move(resting.back());
    resting.pop_back();
    if (connection->isReusable(now)) return connection;
  }
  ++opened_;
  return std::make_shared<RunnerConnection>(address, connectTimeout_);
}

void RunnerPool::release(std::shared_ptr<RunnerConnection> connection, base::TimePoint now) {
  connection->detach();
  connection->rest(now);
  if (!connection->isReusable(now)) return;
  resting_[connection->address()].push_back(std::move(connection));
}

void RunnerPool::expire(base::TimePoint now) {
  for (auto item = resting_.begin(); item != resting_.end();) {
    std::erase_if(item->second,
                  [&](const auto& connection) { return !connection->isReusable(now); });
    item = item->second.empty() ? resting_.erase(item) : std::next(item);
  }
}

}  // namespace fernlift::proxy
