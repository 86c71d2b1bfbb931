#include "controller/OrderHistory.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Older records affect neither the delay between orders nor the load rate limit.
constexpr base::Duration kRecordLifetime = base::seconds (60);

}  // namespace

void OrderHistory::onOrdersRecorded (const cell::RecordOrders& record, base::TimePoint now)
{
    for (const cell::RecordedOrder& order : record.orders)
    {
        m_orderedAt[order.instance] = now;
        if (order.isFromStore)
            m_storeLoads.push_back (now);
    }
    std::erase_if (m_orderedAt,
                   [&] (const auto& item) { return now - item.second > kRecordLifetime; });
    while (! m_storeLoads.empty() && now - m_storeLoads.front() > kRecordLifetime)
        m_storeLoads.pop_front();
}

void OrderHistory::forget (base::TimePoint now)
{
    m_knownFrom = now;
    m_orderedAt.clear();
    m_storeLoads.clear();
}

base::TimePoint OrderHistory::orderedAt (const std::string& instance) const
{
    const auto found = m_orderedAt.find (instance);
    return found == m_orderedAt.end() ? m_knownFrom : std::max (found->second, m_knownFrom);
}

}  // namespace fernlift::controller
