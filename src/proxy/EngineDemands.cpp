#include "proxy/EngineDemands.h"

#include <algorithm>
#include <iterator>

namespace fernlift::proxy
{
namespace
{

constexpr base::Duration kShortestReportInterval = base::milliseconds (500);
/// Placement forgets rates within some seconds, so that reports must not be rarer.
constexpr base::Duration kLongestReportInterval = base::seconds (2);
constexpr base::Duration kReportIntervalForRouter = base::milliseconds (15);

void decrease (std::uint32_t& count)
{
    if (count > 0)
        --count;
}

}  // namespace

base::Duration demandReportInterval (std::uint32_t routers)
{
    return std::clamp<base::Duration> (
        static_cast<std::int64_t> (routers) * kReportIntervalForRouter, kShortestReportInterval,
        kLongestReportInterval);
}

void EngineDemands::onArrival (const EngineTarget& target, std::uint64_t promptTokens)
{
    Counts& counts = m_counts[target];
    ++counts.arrivals;
    counts.promptTokens += promptTokens;
    counts.isChanged = true;
}

void EngineDemands::onWaiting (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    ++counts.waiting;
    counts.isChanged = true;
    m_isUrgent = true;
}

void EngineDemands::onWaitEnd (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    decrease (counts.waiting);
    counts.isChanged = true;
}

void EngineDemands::onTurnedAway (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    ++counts.turnedAway;
    counts.isChanged = true;
}

void EngineDemands::onRunning (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    ++counts.running;
    ++counts.unread;
}

void EngineDemands::onRead (const EngineTarget& target) { decrease (m_counts[target].unread); }

void EngineDemands::onRunEnd (const EngineTarget& target) { decrease (m_counts[target].running); }

std::vector<cell::EngineDemand> EngineDemands::takeDue (base::TimePoint now,
                                                        base::Duration interval)
{
    std::vector<cell::EngineDemand> due;
    if (! m_isUrgent && now - m_reportedAt < interval)
        return due;
    m_isUrgent = false;
    m_reportedAt = now;
    for (auto item = m_counts.begin(); item != m_counts.end();)
    {
        auto& [target, counts] = *item;
        const bool isLive = counts.waiting > 0 || counts.running > 0;
        if (isLive || counts.isChanged)
        {
            due.push_back ({ target.service, target.model, target.adapter,
                             counts.waiting + counts.turnedAway, counts.running, counts.arrivals,
                             counts.unread, counts.promptTokens });
        }
        counts.arrivals = 0;
        counts.promptTokens = 0;
        // The report that says that nothing is left is the last one.
        const bool isGone = ! isLive && ! counts.isChanged;
        // What was counted as waiting is taken back in the next report.
        counts.isChanged = isLive || counts.turnedAway > 0;
        counts.turnedAway = 0;
        item = isGone ? m_counts.erase (item) : std::next (item);
    }
    return due;
}

}  // namespace fernlift::proxy
