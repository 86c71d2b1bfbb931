#include "proxy/EngineDemands.h"

#include <algorithm>
#include <iterator>

namespace fernlift::proxy
{
namespace
{

constexpr base::Duration kMinReportInterval = base::milliseconds (500);
/// Placement discards rates after some seconds, so reports must not be sent less often.
constexpr base::Duration kMaxReportInterval = base::seconds (2);
constexpr base::Duration kReportIntervalPerRouter = base::milliseconds (15);

void decrease (std::uint32_t& count)
{
    if (count > 0)
        --count;
}

}  // namespace

base::Duration demandReportInterval (std::uint32_t routers)
{
    return std::clamp<base::Duration> (
        static_cast<std::int64_t> (routers) * kReportIntervalPerRouter, kMinReportInterval,
        kMaxReportInterval);
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

void EngineDemands::onRefusedAtOnce (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    ++counts.refusedAtOnce;
    counts.isChanged = true;
}

void EngineDemands::onRunning (const EngineTarget& target)
{
    Counts& counts = m_counts[target];
    ++counts.running;
    ++counts.prefilling;
}

void EngineDemands::onPrefillEnd (const EngineTarget& target)
{
    decrease (m_counts[target].prefilling);
}

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
                             counts.waiting + counts.refusedAtOnce, counts.running, counts.arrivals,
                             counts.prefilling, counts.promptTokens });
        }
        counts.arrivals = 0;
        counts.promptTokens = 0;
        // The last report states that nothing is left.
        const bool isGone = ! isLive && ! counts.isChanged;
        // Requests refused at once were counted as waiting; the next report removes them.
        counts.isChanged = isLive || counts.refusedAtOnce > 0;
        counts.refusedAtOnce = 0;
        item = isGone ? m_counts.erase (item) : std::next (item);
    }
    return due;
}

}  // namespace fernlift::proxy
