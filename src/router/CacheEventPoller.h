#pragma once

/// Polls engines for their prefix cache events.

#include <QTimer>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "http/Client.h"
#include "routing/PrefixIndex.h"

namespace fernlift::router
{

/// Parses the answer to GET /engine/cache-events; fails with kMessageInvalid.
[[nodiscard]] base::Result<std::vector<routing::CacheEvent>> parseCacheEvents (
    std::string_view json);

/// Polls every engine that has a row in the replica table.
class CacheEventPoller
{
public:
    /// Handles the events of one engine and returns the sequence number after which the next poll
    /// continues.
    using EventHandler = std::function<std::uint64_t (const base::RunnerId&, base::Incarnation,
                                                      const std::vector<routing::CacheEvent>&)>;

    /// `client` must outlive this object.
    CacheEventPoller (http::Client& client, EventHandler onEvents);

    /// Starts to poll at this interval. Zero disables polling.
    void start (base::Duration interval);
    void onReplicas (const cell::ReplicaUpdate& update);

private:
    struct Runner
    {
        base::Incarnation incarnation = 0;
        std::string address;
        std::uint64_t after = 0;
        bool isPolling = false;  ///< A poll is unanswered.
    };
    using RowKey = std::pair<base::ReplicaId, std::string>;

    void poll();
    void requestEvents (const base::RunnerId& id, Runner& runner);
    void onAnswer (const base::RunnerId& id, base::Incarnation incarnation,
                   const http::WholeResponse& response);
    /// The runner if it still has the incarnation that was polled, else null.
    Runner* findPolled (const base::RunnerId& id, base::Incarnation incarnation);

    http::Client& m_client;
    EventHandler m_onEvents;
    std::map<base::RunnerId, Runner> m_runners;
    std::map<base::RunnerId, std::set<RowKey>> m_rows;  ///< Engine rows of the replica table.
    QTimer m_timer;
};

}  // namespace fernlift::router
