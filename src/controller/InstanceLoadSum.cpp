#include "controller/InstanceLoadSum.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Data at a router is at most two of these intervals and one report interval of a router old.
constexpr base::Duration kReportInterval = base::milliseconds (50);
/// Interval per row of a report: the leader reads at most 10,000 rows per second from each
/// controller.
constexpr base::Duration kReportIntervalPerRow = std::chrono::microseconds (100);

}  // namespace

void InstanceLoadSum::replace (const std::string& instance, const Use& before, const Use& after)
{
    if (after == before)
        return;
    const auto total = m_totals.try_emplace (instance).first;
    total->second.inFlight += after.inFlight - before.inFlight;
    total->second.pendingPrefillTokens += after.pendingPrefillTokens - before.pendingPrefillTokens;
    if (total->second == Use{})
        m_totals.erase (total);
    m_changed.insert (instance);
    m_reporting.request();
}

void InstanceLoadSum::onReport (std::uint64_t reporter, const cell::InstanceLoadReport& report,
                                base::TimePoint now)
{
    setReporterActive (reporter, true);
    std::map<std::string, Use>& uses = m_reporters[reporter].uses;
    for (const cell::InstanceUse& row : report.uses)
    {
        const Use use{ row.inFlight, row.pendingPrefillTokens };
        const Use before = std::exchange (uses[row.instance], use);
        replace (row.instance, before, use);
        if (use == Use{})
            uses.erase (row.instance);
    }
    for (const cell::InstancePace& pace : report.paces)
    {
        Pace& sum = m_paces[{ pace.instance, pace.model }];
        sum.pauses += pace.pauses;
        sum.microseconds += pace.microseconds;
        m_reporting.request();
    }
    for (const cell::InstanceSlowdown& slowdown : report.slowdowns)
    {
        const base::TimePoint statedAt = now - base::milliseconds (slowdown.ageMilliseconds);
        Slowdown& freshest = m_slowdowns[slowdown.instance];
        if (statedAt >= freshest.statedAt)
            freshest = { slowdown.percent, statedAt };
        m_reporting.request();
    }
}

void InstanceLoadSum::onReporterDisconnected (std::uint64_t reporter)
{
    setReporterActive (reporter, false);
    m_reporters.erase (reporter);
}

void InstanceLoadSum::setReporterActive (std::uint64_t reporter, bool isActive)
{
    const auto found = m_reporters.find (reporter);
    if (found == m_reporters.end() || std::exchange (found->second.isActive, isActive) == isActive)
        return;
    for (const auto& [instance, use] : found->second.uses)
        replace (instance, isActive ? Use{} : use, isActive ? use : Use{});
}

void InstanceLoadSum::resendAll()
{
    for (const auto& [instance, use] : m_totals)
        m_changed.insert (instance);
    m_reporting = {};
}

InstanceLoadSum::Use InstanceLoadSum::useOf (const std::string& instance) const
{
    const auto found = m_totals.find (instance);
    return found == m_totals.end() ? Use{} : found->second;
}

std::optional<cell::InstanceLoadReport> InstanceLoadSum::takeDue (base::TimePoint now)
{
    const std::size_t rows = m_changed.size() + m_paces.size() + m_slowdowns.size();
    if (rows == 0)
        return std::nullopt;
    const base::Duration interval = std::max<base::Duration> (
        kReportInterval, static_cast<std::int64_t> (rows) * kReportIntervalPerRow);
    if (! m_reporting.takeDue (now, interval))
        return std::nullopt;
    cell::InstanceLoadReport report;
    for (const std::string& instance : std::exchange (m_changed, {}))
    {
        const Use use = useOf (instance);
        report.uses.push_back ({ instance, use.inFlight, use.pendingPrefillTokens });
    }
    for (const auto& [key, pace] : std::exchange (m_paces, {}))
        report.paces.push_back ({ key.first, key.second, pace.pauses, pace.microseconds });
    for (const auto& [instance, slowdown] : std::exchange (m_slowdowns, {}))
    {
        report.slowdowns.push_back (
            { instance, slowdown.percent, base::toMilliseconds (now - slowdown.statedAt) });
    }
    return report;
}

}  // namespace fernlift::controller
