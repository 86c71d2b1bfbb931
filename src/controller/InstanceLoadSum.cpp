#include "controller/InstanceLoadSum.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// What a router knows is at most two of these and one interval of a router's reports old.
constexpr base::Duration kReportInterval = base::milliseconds (50);
/// Per row of a report: the leader reads at most 10,000 a second of each controller.
constexpr base::Duration kReportIntervalForRow = std::chrono::microseconds (100);

}  // namespace

void InstanceLoadSum::set (std::map<std::string, Use>& uses, const std::string& instance,
                           const Use& use)
{
    const auto earlier = uses.find (instance);
    const Use before = earlier == uses.end() ? Use{} : earlier->second;
    if (use == before)
        return;
    if (use == Use{})
        uses.erase (earlier);
    else
        uses[instance] = use;
    const auto total = m_totals.try_emplace (instance).first;
    total->second.inFlight += use.inFlight - before.inFlight;
    total->second.unreadTokens += use.unreadTokens - before.unreadTokens;
    if (total->second == Use{})
        m_totals.erase (total);
    m_changed.insert (instance);
    m_reporting.request();
}

void InstanceLoadSum::onReport (std::uint64_t reporter, const cell::InstanceLoadReport& report,
                                base::TimePoint now)
{
    std::map<std::string, Use>& uses = m_byReporter[reporter];
    for (const cell::InstanceUse& use : report.uses)
        set (uses, use.instance, { use.inFlight, use.unreadTokens });
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

void InstanceLoadSum::onReporterGone (std::uint64_t reporter)
{
    const auto found = m_byReporter.find (reporter);
    if (found == m_byReporter.end())
        return;
    while (! found->second.empty())
        set (found->second, std::string (found->second.begin()->first), {});
    m_byReporter.erase (found);
}

void InstanceLoadSum::tellAll()
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
        kReportInterval, static_cast<std::int64_t> (rows) * kReportIntervalForRow);
    if (! m_reporting.takeDue (now, interval))
        return std::nullopt;
    cell::InstanceLoadReport report;
    for (const std::string& instance : std::exchange (m_changed, {}))
    {
        const Use use = useOf (instance);
        report.uses.push_back ({ instance, use.inFlight, use.unreadTokens });
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
