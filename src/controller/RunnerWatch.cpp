#include "controller/RunnerWatch.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// A runner without a report for this many intervals counts as unresponsive.
constexpr int kMissedReports = 8;
/// Maximum total rate of polls of runners without changes: each report takes the leader about half
/// a millisecond.
constexpr std::size_t kSteadyReportsPerSecond = 800;

/// Maximum number of polls started in one step. A new leader polls all runners; starting 700 polls
/// in one step would delay its heartbeats.
constexpr std::size_t kPollsAtOnce = 16;

/// Whether a load or unload is in progress, whose completion requests are waiting for.
bool hasChangingReplica (const engine::Report& report)
{
    return std::any_of (report.replicas.begin(), report.replicas.end(),
                        [] (const engine::ReplicaReport& replica)
                        { return replica.phase != engine::ReplicaPhase::kReady; });
}

}  // namespace

void RunnerWatch::addKnown (const std::map<base::RunnerId, cell::Runner>& runners)
{
    for (const auto& [id, runner] : runners)
        m_observations[id];
}

std::vector<base::RunnerId> RunnerWatch::onMachineList (const engine::MachineList& list)
{
    if (list.machines.empty())
        return {};
    std::set<base::RunnerId> present;
    for (const engine::Machine& machine : list.machines)
    {
        RunnerObservation& observation = m_observations[machine.runner];
        observation.listed = machine;
        observation.omissions = 0;
        present.insert (machine.runner);
    }
    std::vector<base::RunnerId> removed;
    for (auto& [runner, observation] : m_observations)
    {
        if (present.count (runner) != 0)
            continue;
        ++observation.omissions;
        if (observation.omissions >= kMaxOmissions)
            removed.push_back (runner);
    }
    return removed;
}

void RunnerWatch::onReport (const base::RunnerId& runner, const engine::Report& report,
                            base::TimePoint now)
{
    RunnerObservation& observation = m_observations[runner];
    observation.isPolled = false;
    observation.nextPollAt =
        now + (hasChangingReplica (report) ? m_reportInterval : steadyInterval());
    observation.omissions = 0;
    observation.reportedAt = now;
    observation.report = report;
    observation.checkpoints.clear();
    for (const engine::CheckpointReport& checkpoint : report.checkpoints)
    {
        observation.checkpoints[checkpoint.artifact] = checkpoint.place;
    }
}

void RunnerWatch::onReportFailed (const base::RunnerId& runner, base::TimePoint now)
{
    const auto found = m_observations.find (runner);
    if (found == m_observations.end())
        return;
    found->second.isPolled = false;
    found->second.nextPollAt = now + m_reportInterval;
}

void RunnerWatch::onLeavingNotice (const base::RunnerId& runner, base::Incarnation incarnation)
{
    m_observations[runner].leavingIncarnations.insert (incarnation);
}

void RunnerWatch::forget (const base::RunnerId& runner) { m_observations.erase (runner); }

std::vector<base::RunnerId> RunnerWatch::takeDuePolls (base::TimePoint now)
{
    std::vector<base::RunnerId> due;
    auto next = m_observations.upper_bound (m_lastPolled);
    for (std::size_t seen = 0; seen < m_observations.size() && due.size() < kPollsAtOnce; ++seen)
    {
        if (next == m_observations.end())
            next = m_observations.begin();
        auto& [runner, observation] = *next++;
        if (observation.isPolled || now < observation.nextPollAt)
            continue;
        observation.isPolled = true;
        due.push_back (runner);
    }
    if (! due.empty())
        m_lastPolled = due.back();
    return due;
}

void RunnerWatch::pollSoon (const base::RunnerId& runner, base::TimePoint now)
{
    const auto found = m_observations.find (runner);
    if (found != m_observations.end())
        found->second.nextPollAt = std::min (found->second.nextPollAt, now);
}

const RunnerObservation* RunnerWatch::find (const base::RunnerId& runner) const
{
    const auto found = m_observations.find (runner);
    return found == m_observations.end() ? nullptr : &found->second;
}

bool RunnerWatch::isResponsive (const base::RunnerId& runner, base::TimePoint now) const
{
    const RunnerObservation* observation = find (runner);
    if (observation == nullptr || ! observation->report)
        return false;
    const base::Duration longerByRate = steadyInterval() - m_reportInterval;
    return now - observation->reportedAt < kMissedReports * m_reportInterval + longerByRate;
}

base::Duration RunnerWatch::steadyInterval() const
{
    const base::Duration forAllRunners = base::Duration (base::seconds (1))
                                         * static_cast<std::int64_t> (m_observations.size())
                                         / kSteadyReportsPerSecond;
    return std::max (m_reportInterval, forAllRunners);
}

bool RunnerWatch::isLeaving (const RunnerObservation& observation, base::Incarnation incarnation)
{
    const bool isListedLeaving =
        observation.listed && observation.listed->state == engine::MachineState::kLeaving;
    const bool isReportedLeaving = observation.report
                                   && observation.report->incarnation == incarnation
                                   && observation.report->isLeaving;
    return isListedLeaving || isReportedLeaving
           || observation.leavingIncarnations.count (incarnation) != 0;
}

}  // namespace fernlift::controller
