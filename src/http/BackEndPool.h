#pragma once

/// Pool of idle open connections to runners.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "http/BackEndConnection.h"

namespace fernlift::http
{

class BackEndPool
{
public:
    /// A runner counts as unreachable if a connection does not open within `connectTimeout`.
    explicit BackEndPool (base::Duration connectTimeout,
                          base::Duration defaultKeepAlive = BackEndConnection::kDefaultKeepAlive)
        : m_connectTimeout (connectTimeout), m_defaultKeepAlive (defaultKeepAlive)
    {
    }

    /// Returns a connection to `address`: an idle one, or a new one if none is reusable. An idle
    /// one that the runner may be about to close is not reused, as its request would be lost, nor
    /// one that has carried `requestId`, if there is an id.
    [[nodiscard]] std::shared_ptr<BackEndConnection> acquire (const base::SocketAddress& address,
                                                              base::TimePoint now,
                                                              std::string_view requestId = {});
    /// Returns a new connection to `address`.
    [[nodiscard]] std::shared_ptr<BackEndConnection> open (const base::SocketAddress& address);
    /// Whether acquire() would return an idle connection.
    [[nodiscard]] bool hasIdle (const base::SocketAddress& address, base::TimePoint now) const;
    /// Returns a connection to the pool, which keeps it only if it is reusable.
    void release (std::shared_ptr<BackEndConnection> connection, base::TimePoint now);
    /// Drops the idle connections to `address`, after another connection to it stopped responding.
    void forget (const base::SocketAddress& address) { m_idle.erase (address); }
    /// Drops the idle connections that are no longer reusable.
    void expire (base::TimePoint now);
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    using IdleConnections = std::vector<std::shared_ptr<BackEndConnection>>;

    base::Duration m_connectTimeout;
    base::Duration m_defaultKeepAlive;  ///< For runners that state none.
    std::map<base::SocketAddress, IdleConnections> m_idle;
    std::uint64_t m_opened = 0;
};

}  // namespace fernlift::http
