#pragma once

/// Open connections to runners that rest between requests.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "http/BackEndConnection.h"

namespace fernlift::http
{

class BackEndPool
{
public:
    /// A connection that cannot be opened within `connectTimeout` counts as unreachable.
    explicit BackEndPool (base::Duration connectTimeout) : m_connectTimeout (connectTimeout) {}

    /// A connection to `address`: one that rests, or a new one. Requests that must not run twice
    /// get a new one where a resting one may be about to be closed by the runner.
    [[nodiscard]] std::shared_ptr<BackEndConnection> acquire (const base::SocketAddress& address,
                                                              base::TimePoint now);
    /// Whether acquire() would find one that rests.
    [[nodiscard]] bool hasResting (const base::SocketAddress& address, base::TimePoint now) const;
    /// Takes a connection back. It is kept when it can be used again.
    void release (std::shared_ptr<BackEndConnection> connection, base::TimePoint now);
    /// Drops the connections to `address` that rest: one that was used like them has gone silent.
    void forget (const base::SocketAddress& address) { m_resting.erase (address); }
    /// Drops the connections that rested for too long.
    void expire (base::TimePoint now);
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    using Resting = std::vector<std::shared_ptr<BackEndConnection>>;

    base::Duration m_connectTimeout;
    std::map<base::SocketAddress, Resting> m_resting;
    std::uint64_t m_opened = 0;
};

}  // namespace fernlift::http
