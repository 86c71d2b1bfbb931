#include "proxy/RunnerReachability.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/Log.h"

namespace fernlift::proxy
{
namespace
{

/// Number of runners at which connections must fail in a row. A part of the runners may crash at
/// once, and each failure is followed by probes of others.
constexpr std::size_t kFailuresOfIsolation = 3;
/// The same in a cell with fewer runners, and shortly after an isolation. One runner that is down
/// says nothing about the others.
constexpr std::size_t kMinFailuresOfIsolation = 2;
/// Failures further apart are not in a row.
constexpr base::Duration kFailureMemory = base::seconds (1);
/// Open attempts without any bytes for this time cause probes.
constexpr base::Duration kQuietBeforeProbe = base::milliseconds (200);
constexpr base::Duration kIntervalInDoubt = base::milliseconds (500);
constexpr base::Duration kIntervalAfterFailure = base::milliseconds (100);
constexpr base::Duration kIntervalWhileIsolated = base::milliseconds (100);
constexpr base::Duration kIntervalOfUnreachable = base::milliseconds (500);
/// Mean interval of probes while no bytes are received, and the part of it for each router of the
/// cell, which limits the probes that all routers send.
constexpr base::Duration kMinIdleInterval = base::milliseconds (250);
constexpr base::Duration kIdleIntervalPerRouter = base::milliseconds (8);
constexpr std::uint32_t kMinSuccesses = 2;
/// Limit of the doubling while the path fails again and again.
constexpr std::uint32_t kMaxSuccesses = 8;
constexpr base::Duration kFlapMemory = base::seconds (10);
/// Time in which the share of direct requests rises to one.
constexpr base::Duration kReturnTime = base::milliseconds (500);

}  // namespace

void RunnerReachability::setRunners (std::vector<std::string> runners)
{
    std::ranges::sort (runners);
    const auto isGone = [&] (const auto& item)
    { return ! std::ranges::binary_search (runners, item.first); };
    std::erase_if (m_unreachable, isGone);
    std::erase_if (m_failures, isGone);
    m_runners = std::move (runners);
}

void RunnerReachability::onAttemptBegin (base::TimePoint now)
{
    if (m_openAttempts++ == 0)
        m_quietSince = now;
}

void RunnerReachability::onAttemptEnd()
{
    if (m_openAttempts > 0)
        --m_openAttempts;
}

void RunnerReachability::onConnected (const std::string& runner, base::TimePoint now)
{
    m_failures.clear();
    if (m_unreachable.erase (runner) > 0)
        log::write (log::Event::kRunnerReachable, { { "runner", runner } });
    if (! m_isIsolated)
        return;
    m_nextProbeAt = now;
    if (++m_successes < m_requiredSuccesses)
        return;
    m_isIsolated = false;
    m_returnedAt = now;
    m_unreachable.clear();
    log::write (log::Event::kRouterReachesRunners, { { "probes", m_successes } });
}

bool RunnerReachability::onConnectFailed (const std::string& runner, base::TimePoint now)
{
    ++m_failedConnections;
    const auto [unreachable, isNew] =
        m_unreachable.insert_or_assign (runner, now + kIntervalOfUnreachable);
    if (isNew)
    {
        log::write (log::Event::kRunnerUnreachable,
                    { { "runner", runner }, { "unreachable", m_unreachable.size() } });
    }
    m_successes = 0;
    // Runners that have crashed are probed again and again, which says nothing about the others.
    if (m_isIsolated || ! isNew)
        return false;
    m_failures[runner] = now;
    if (recentFailures (now) >= failuresOfIsolation (now))
    {
        isolate (now);
        return true;
    }
    m_nextProbeAt =
        std::min (m_nextProbeAt, std::max (now, m_probesInDoubtAt + kIntervalAfterFailure));
    return false;
}

bool RunnerReachability::onProbeUnanswered (const std::string& runner, base::Duration waited,
                                            base::TimePoint now)
{
    ++m_unansweredProbes;
    const bool isAnyAnswering = m_lastBytesAt != base::TimePoint{} && now - m_lastBytesAt < waited;
    if (! isAnyAnswering)
        return onConnectFailed (runner, now);
    m_unreachable.erase (runner);
    return false;
}

void RunnerReachability::isolate (base::TimePoint now)
{
    const bool isFlapping = m_returnedAt != base::TimePoint{} && now - m_returnedAt < kFlapMemory;
    m_requiredSuccesses =
        isFlapping ? std::min (2 * m_requiredSuccesses, kMaxSuccesses) : kMinSuccesses;
    m_isIsolated = true;
    m_nextProbeAt = now + kIntervalWhileIsolated;
    log::write (log::Event::kRouterIsolated, { { "unreachable", m_unreachable.size() },
                                               { "unanswered_probes", m_unansweredProbes },
                                               { "required_probes", m_requiredSuccesses } });
}

std::size_t RunnerReachability::recentFailures (base::TimePoint now) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_failures, [&] (const auto& failure) { return now - failure.second <= kFailureMemory; }));
}

std::size_t RunnerReachability::failuresOfIsolation (base::TimePoint now) const
{
    if (path (now) == RunnerPath::kReturning)
        return kMinFailuresOfIsolation;
    return std::clamp (m_runners.size(), kMinFailuresOfIsolation, kFailuresOfIsolation);
}

bool RunnerReachability::isInDoubt (base::TimePoint now) const
{
    return m_isIsolated || recentFailures (now) > 0;
}

void RunnerReachability::onDoubtOfPeer (base::TimePoint now)
{
    if (m_isIsolated)
        return;
    m_isDoubtedByPeer = true;
    m_nextProbeAt = std::min (m_nextProbeAt, std::max (now, m_probesInDoubtAt + kIntervalInDoubt));
}

std::vector<std::string> RunnerReachability::takeProbes (base::TimePoint now, base::Random& random,
                                                         const IsFull& isFull)
{
    std::vector<std::string> probes;
    if (m_runners.empty())
        return probes;
    if (m_isIsolated)
    {
        if (now < m_nextProbeAt)
            return probes;
        m_nextProbeAt = now + kIntervalWhileIsolated;
        probes.push_back (m_runners[random.bits() % m_runners.size()]);
        return probes;
    }
    addProbesInDoubt (probes, now, random, isFull);
    if (probes.empty())
        addIdleProbe (probes, now, random, isFull);
    addProbesOfUnreachable (probes, now);
    return probes;
}

std::vector<std::string> RunnerReachability::probeCandidates (const IsFull& isFull) const
{
    std::vector<std::string> candidates;
    std::vector<std::string> full;
    for (const std::string& runner : m_runners)
    {
        if (! m_failures.contains (runner))
            (isFull (runner) ? full : candidates).push_back (runner);
    }
    return candidates.empty() ? full : candidates;
}

base::Duration RunnerReachability::idleInterval() const
{
    return std::max<base::Duration> (kMinIdleInterval, m_routers * kIdleIntervalPerRouter);
}

void RunnerReachability::addIdleProbe (std::vector<std::string>& probes, base::TimePoint now,
                                       base::Random& random, const IsFull& isFull)
{
    const bool isFirst = m_nextIdleProbeAt == base::TimePoint{};
    const base::TimePoint earliest =
        std::max (m_lastBytesAt + kMinIdleInterval, m_probesInDoubtAt + kIntervalInDoubt);
    const bool isDue = now >= m_nextIdleProbeAt && now >= earliest;
    if (! isFirst && ! isDue)
        return;
    // Drawn anew each time, so that the probes of all routers are spread over the interval.
    const std::chrono::duration<double> wait = idleInterval() * (0.5 + random.uniformReal());
    m_nextIdleProbeAt = now + std::chrono::duration_cast<base::Duration> (wait);
    if (isFirst)
        return;
    std::vector<std::string> candidates = probeCandidates (isFull);
    std::erase_if (candidates,
                   [&] (const std::string& runner) { return m_unreachable.contains (runner); });
    if (! candidates.empty())
        probes.push_back (std::move (candidates[random.bits() % candidates.size()]));
}

void RunnerReachability::addProbesInDoubt (std::vector<std::string>& probes, base::TimePoint now,
                                           base::Random& random, const IsFull& isFull)
{
    const bool isQuiet = m_openAttempts > 0 && now - m_quietSince >= kQuietBeforeProbe;
    if (now < m_nextProbeAt || (! isQuiet && ! m_isDoubtedByPeer && recentFailures (now) == 0))
        return;
    m_probesInDoubtAt = now;
    m_nextProbeAt = now + kIntervalInDoubt;
    m_isDoubtedByPeer = false;
    const std::size_t wanted =
        recentFailures (now) == 0 ? kFailuresOfIsolation : kFailuresOfIsolation - 1;
    std::vector<std::string> others = probeCandidates (isFull);
    for (std::size_t count = 0; count < wanted && ! others.empty(); ++count)
    {
        std::swap (others[random.bits() % others.size()], others.back());
        probes.push_back (std::move (others.back()));
        others.pop_back();
    }
}

void RunnerReachability::addProbesOfUnreachable (std::vector<std::string>& probes,
                                                 base::TimePoint now)
{
    for (auto& [runner, probeAt] : m_unreachable)
    {
        if (now < probeAt)
            continue;
        probeAt = now + kIntervalOfUnreachable;
        probes.push_back (runner);
    }
}

RunnerPath RunnerReachability::path (base::TimePoint now) const
{
    if (m_isIsolated)
        return RunnerPath::kIsolated;
    const bool isReturning = m_returnedAt != base::TimePoint{} && now - m_returnedAt < kReturnTime;
    return isReturning ? RunnerPath::kReturning : RunnerPath::kOpen;
}

bool RunnerReachability::mustForward (double draw, base::TimePoint now) const
{
    switch (path (now))
    {
        case RunnerPath::kIsolated:
            return true;
        case RunnerPath::kReturning:
        {
            const std::chrono::duration<double> passed = now - m_returnedAt;
            const std::chrono::duration<double> whole = kReturnTime;
            return draw >= passed / whole;
        }
        case RunnerPath::kOpen:
            break;
    }
    return false;
}

}  // namespace fernlift::proxy
