#include "proxy/InstanceLoadReporter.h"

#include <algorithm>
#include <cmath>

namespace fernlift::proxy
{
namespace
{

constexpr base::Duration kMinReportInterval = base::milliseconds (50);
/// With the two forwarding steps at controllers, the loads known to a router are then at most half
/// a second old.
constexpr base::Duration kMaxReportInterval = base::milliseconds (250);
/// Bounds a controller to 330 reports per second, which take 10 ms of its time at 30 us each.
constexpr base::Duration kReportIntervalPerRouter = base::milliseconds (3);
/// Slowdowns change within some tenths of a second, so gaps observed later than this after the
/// statement are no measure of the runner's speed.
constexpr base::Duration kSlowdownLifetime = base::milliseconds (400);

}  // namespace

base::Duration loadReportInterval (std::uint32_t routers)
{
    return std::clamp<base::Duration> (
        static_cast<std::int64_t> (routers) * kReportIntervalPerRouter, kMinReportInterval,
        kMaxReportInterval);
}

void InstanceLoadReporter::onAttemptBegin (const std::string& instance, std::uint64_t promptTokens)
{
    Use& use = m_runners[instance].use;
    ++use.inFlight;
    use.pendingPrefillTokens += promptTokens;
    m_changed.insert (instance);
}

void InstanceLoadReporter::onAnswerBegun (const std::string& instance, std::uint64_t promptTokens)
{
    Use& use = m_runners[instance].use;
    use.pendingPrefillTokens -= std::min (use.pendingPrefillTokens, promptTokens);
    m_changed.insert (instance);
}

void InstanceLoadReporter::onAttemptEnd (const std::string& instance)
{
    Use& use = m_runners[instance].use;
    use.inFlight -= std::min (use.inFlight, 1U);
    if (use.inFlight == 0)
        use.pendingPrefillTokens = 0;
    m_changed.insert (instance);
}

void InstanceLoadReporter::onPause (const std::string& instance, const std::string& model,
                                    base::Duration time, std::uint32_t events, base::TimePoint now)
{
    double slowdown = 1;
    const auto runner = m_runners.find (instance);
    if (runner != m_runners.end() && runner->second.slowdown)
    {
        const Slowdown& stated = *runner->second.slowdown;
        if (now - stated.statedAt > kSlowdownLifetime)
            return;
        slowdown = static_cast<double> (std::max (stated.percent, 1U)) / cell::kNominalPercent;
    }
    Pace& pace = m_paces[{ instance, model }];
    pace.pauses += events;
    pace.microseconds += std::chrono::duration<double, std::micro> (time).count() / slowdown;
}

void InstanceLoadReporter::onSlowdown (const std::string& instance, std::uint32_t percent,
                                       base::TimePoint now)
{
    m_runners[instance].slowdown = { percent, now, false };
    m_changed.insert (instance);
}

void InstanceLoadReporter::onLinkLost()
{
    for (auto& [instance, runner] : m_runners)
    {
        runner.reported = {};
        if (runner.slowdown)
            runner.slowdown->isReported = false;
        m_changed.insert (instance);
    }
    m_reportedAt = {};
}

void InstanceLoadReporter::setShared (bool isShared)
{
    if (std::exchange (m_isShared, isShared) == isShared)
        return;
    for (const auto& [instance, runner] : m_runners)
        m_changed.insert (instance);
}

void InstanceLoadReporter::appendChanges (const std::string& instance, Runner& runner,
                                          base::TimePoint now,
                                          cell::InstanceLoadReport& report) const
{
    const Use use = m_isShared ? runner.use : Use{};
    if (use != runner.reported)
        report.uses.push_back ({ instance, use.inFlight, use.pendingPrefillTokens });
    runner.reported = use;
    if (! m_isShared || ! runner.slowdown || std::exchange (runner.slowdown->isReported, true))
        return;
    const base::Duration age = now - runner.slowdown->statedAt;
    if (age <= kSlowdownLifetime)
        report.slowdowns.push_back (
            { instance, runner.slowdown->percent, base::toMilliseconds (age) });
}

std::optional<cell::InstanceLoadReport> InstanceLoadReporter::takeDue (base::TimePoint now,
                                                                       base::Duration interval)
{
    if (now - m_reportedAt < interval)
        return std::nullopt;
    cell::InstanceLoadReport report;
    for (const std::string& instance : std::exchange (m_changed, {}))
    {
        const auto found = m_runners.find (instance);
        appendChanges (instance, found->second, now, report);
        if (found->second.use == Use{} && found->second.reported == Use{})
            m_runners.erase (found);
    }
    for (const auto& [key, pace] : std::exchange (m_paces, {}))
    {
        if (m_isShared)
            report.paces.push_back (
                { key.first, key.second, pace.pauses,
                  static_cast<std::uint64_t> (std::llround (pace.microseconds)) });
    }
    if (report.uses.empty() && report.paces.empty() && report.slowdowns.empty())
        return std::nullopt;
    m_reportedAt = now;
    return report;
}

}  // namespace fernlift::proxy
