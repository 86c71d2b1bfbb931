#include "controller/EngineDemandSum.h"

#include <iterator>

namespace fernlift::controller
{
namespace
{

/// Requests that begin to wait at many routers within this time are reported together.
constexpr base::Duration kUrgentInterval = base::milliseconds (20);
/// Half of the shortest report interval of routers.
constexpr base::Duration kSteadyInterval = base::milliseconds (250);

}  // namespace

void EngineDemandSum::set (Total& total, std::uint64_t router, const cell::EngineDemand& demand)
{
    if (demand.waiting == 0 && demand.running == 0)
    {
        total.isChanged = total.byRouter.erase (router) > 0 || total.isChanged;
        return;
    }
    cell::EngineDemand& present = total.byRouter[router];
    total.isChanged = total.isChanged || ! (present == demand);
    present = demand;
}

void EngineDemandSum::onReport (std::uint64_t router,
                                const std::vector<cell::EngineDemand>& demands)
{
    for (const cell::EngineDemand& demand : demands)
    {
        Total& total = m_totals[{ demand.service, demand.model, demand.adapter }];
        const auto earlier = total.byRouter.find (router);
        const std::uint32_t waited = earlier == total.byRouter.end() ? 0 : earlier->second.waiting;
        total.isUrgent = total.isUrgent || demand.waiting > waited;
        m_isUrgent = m_isUrgent || total.isUrgent;
        total.arrivals += demand.arrivals;
        total.promptTokens += demand.promptTokens;
        total.isChanged = total.isChanged || demand.arrivals > 0;
        set (total, router, demand);
    }
}

void EngineDemandSum::onRouterDisconnected (std::uint64_t router)
{
    for (auto& [target, total] : m_totals)
    {
        if (total.byRouter.contains (router))
            set (total, router, {});
    }
}

void EngineDemandSum::resendAll()
{
    for (auto& [target, total] : m_totals)
        total.isChanged = total.isUrgent = true;
    m_isUrgent = ! m_totals.empty();
}

std::vector<cell::EngineDemand> EngineDemandSum::takeDue (base::TimePoint now)
{
    std::vector<cell::EngineDemand> due;
    const bool isSteady = now - m_reportedAt >= kSteadyInterval;
    if (! isSteady && (! m_isUrgent || now - m_urgentAt < kUrgentInterval))
        return due;
    m_isUrgent = false;
    m_urgentAt = now;
    if (isSteady)
        m_reportedAt = now;
    for (auto item = m_totals.begin(); item != m_totals.end();)
    {
        auto& [target, total] = *item;
        if (! isSteady && ! total.isUrgent)
        {
            ++item;
            continue;
        }
        if (total.isChanged)
        {
            cell::EngineDemand sum{ std::get<0> (target), std::get<1> (target),
                                    std::get<2> (target) };
            sum.arrivals = total.arrivals;
            sum.promptTokens = total.promptTokens;
            for (const auto& [router, demand] : total.byRouter)
            {
                sum.waiting += demand.waiting;
                sum.running += demand.running;
                sum.unread += demand.unread;
            }
            due.push_back (std::move (sum));
        }
        total.arrivals = 0;
        total.promptTokens = 0;
        total.isChanged = total.isUrgent = false;
        item = total.byRouter.empty() ? m_totals.erase (item) : std::next (item);
    }
    return due;
}

}  // namespace fernlift::controller
