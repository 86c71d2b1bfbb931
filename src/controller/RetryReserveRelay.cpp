#include "controller/RetryReserveRelay.h"

#include <utility>

namespace fernlift::controller
{
namespace
{

/// Minimum interval between two messages to the leader.
constexpr base::Duration kMessageInterval = base::milliseconds (50);

}  // namespace

void RetryReserveRelay::onLeaderLost()
{
    m_isLeaderGranting = false;
    m_pending.requests.clear();
}

void RetryReserveRelay::onRequests (std::uint64_t router,
                                    const cell::RetryReserveRequests& requests)
{
    for (const cell::RetryReserveRequest& request : requests.requests)
    {
        m_routers[request.holder] = router;
        if (m_isLeaderGranting)
            m_pending.requests.push_back (request);
    }
}

void RetryReserveRelay::onRouterDisconnected (std::uint64_t router)
{
    std::erase_if (m_routers, [&] (const auto& item) { return item.second == router; });
}

std::optional<cell::RetryReserveRequests> RetryReserveRelay::takeRequests (base::TimePoint now)
{
    if (m_pending.requests.empty() || now < m_nextAt)
        return std::nullopt;
    m_nextAt = now + kMessageInterval;
    return std::exchange (m_pending, {});
}

std::vector<RetryReserveRelay::Answer> RetryReserveRelay::onGrants (
    const cell::RetryReserveGrants& grants)
{
    m_isLeaderGranting = true;
    std::vector<Answer> answers;
    for (const cell::RetryReserveGrant& grant : grants.grants)
    {
        const auto found = m_routers.find (grant.holder);
        if (found != m_routers.end())
            answers.push_back ({ found->second, { { grant } } });
    }
    return answers;
}

}  // namespace fernlift::controller
