#pragma once

/// Records which runners this router can connect to.

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace fernlift::proxy
{

/// Pure. Threading: none; owned by one router.
class RunnerReachability
{
public:
    /// A new connection to the runner opened.
    void onConnected (const std::string& runner);
    /// A new connection to the runner did not open.
    void onConnectFailed (const std::string& runner);
    /// Drops the runners that left the table.
    void keepOnly (const std::function<bool (const std::string& runner)>& isListed);

    /// Number of runners whose last connection did not open.
    [[nodiscard]] std::size_t unreachable() const { return m_unreachable.size(); }
    /// Number of connections that did not open since the start of the process.
    [[nodiscard]] std::uint64_t failedConnections() const { return m_failedConnections; }

private:
    std::set<std::string> m_unreachable;
    std::uint64_t m_failedConnections = 0;
};

}  // namespace fernlift::proxy
