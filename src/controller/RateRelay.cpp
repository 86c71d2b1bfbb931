#include "controller/RateRelay.h"

#include <utility>

namespace fernlift::controller
{
namespace
{

/// A router stops waiting for a permit before this time.
constexpr base::Duration kMaxWait = base::milliseconds (200);

}  // namespace

void RateRelay::onLeaderLost()
{
    m_leaderGrants.reset();
    m_pending.clear();
}

void RateRelay::onOtherMessage()
{
    if (m_leaderGrants)
        return;
    m_leaderGrants = false;
    if (std::exchange (m_table.isGranting, false))
        ++m_version;
}

void RateRelay::onUpdate (const cell::InstanceRateUpdate& update, base::TimePoint now)
{
    m_leaderGrants = update.isGranting;
    setTable (update, now);
    ++m_version;
}

void RateRelay::setTable (cell::InstanceRateUpdate table, base::TimePoint now)
{
    m_table = std::move (table);
    m_tableAt = now;
}

cell::InstanceRateUpdate RateRelay::table (base::TimePoint now) const
{
    cell::InstanceRateUpdate table = m_table;
    for (cell::InstanceRate& rate : table.limited)
        rate.ageMilliseconds += base::toMilliseconds (now - m_tableAt);
    return table;
}

cell::InstancePermitRequest RateRelay::onRequest (std::uint64_t router,
                                                  const cell::InstancePermitRequest& request,
                                                  base::TimePoint now)
{
    while (! m_pending.empty() && now - m_pending.begin()->second.at > kMaxWait)
        m_pending.erase (m_pending.begin());
    cell::InstancePermitRequest forwarded = request;
    forwarded.claims.sequence = m_nextSequence++;
    m_pending[forwarded.claims.sequence] = { router, request.claims.sequence, now };
    return forwarded;
}

std::optional<RateRelay::Answer> RateRelay::onGrant (const cell::InstancePermitGrant& grant)
{
    const auto found = m_pending.find (grant.grant.sequence);
    if (found == m_pending.end())
        return std::nullopt;
    Answer answer{ found->second.router, grant };
    answer.grant.grant.sequence = found->second.sequence;
    m_pending.erase (found);
    return answer;
}

}  // namespace fernlift::controller
