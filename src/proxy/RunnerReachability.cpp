#include "proxy/RunnerReachability.h"

#include "log/Log.h"

namespace fernlift::proxy
{

void RunnerReachability::onConnected (const std::string& runner)
{
    if (m_unreachable.erase (runner) > 0)
        log::write (log::Event::kRunnerReachable, { { "runner", runner } });
}

void RunnerReachability::keepOnly (const std::function<bool (const std::string& runner)>& isListed)
{
    std::erase_if (m_unreachable, [&] (const std::string& runner) { return ! isListed (runner); });
}

void RunnerReachability::onConnectFailed (const std::string& runner)
{
    ++m_failedConnections;
    if (m_unreachable.insert (runner).second)
        log::write (log::Event::kRunnerUnreachable,
                    { { "runner", runner }, { "unreachable", m_unreachable.size() } });
}

}  // namespace fernlift::proxy
