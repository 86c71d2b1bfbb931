#include "controller/RunnerWatch.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// A runner without a report for this many intervals is not responsive.
constexpr int kMissedReports = 8;
/// Reports of runners on which nothing changes are asked for at no more than this rate together:
/// each costs the leader about half a millisecond.
constexpr std::size_t kSteadyReportsPerSecond = 800;

/// Polls that begin at once. A new leader wants the reports of all runners; asking for 700 in one
/// step would hold up its heartbeats.
constexpr std::size_t kPollsAtOnce = 16;

/// A load or unload is under way: its end is news that requests wait for.
bool isChanging (const engine::Report& report)
{
    return std::any_of (report.replicas.begin(), report.replicas.end(),
                        [] (const engine::ReplicaReport& replica)
                        { return replica.phase != engine::ReplicaPhase::kReady; });
}

}  // namespace

void RunnerWatch::addKnown (const std::map<base::RunnerId, cell::Runner>& runners)
{
    for (const auto& [id, runner] : runners)
        m_sights[id];
}

std::vector<base::RunnerId> RunnerWatch::onMachineList (const engine::MachineList& list)
{
    if (list.machines.empty())
        return {};
    std::set<base::RunnerId> present;
    for (const engine::Machine& machine : list.machines)
    {
        RunnerSight& sight = m_sights[machine.runner];
        sight.listed = machine;
        sight.omissions = 0;
        present.insert (machine.runner);
    }
    std::vector<base::RunnerId> gone;
    for (auto& [runner, sight] : m_sights)
    {
        if (present.count (runner) != 0)
            continue;
        ++sight.omissions;
        if (sight.omissions >= kOmissionsUntilGone)
            gone.push_back (runner);
    }
    return gone;
}

void RunnerWatch::onReport (const base::RunnerId& runner, const engine::Report& report,
                            base::TimePoint now)
{
    RunnerSight& sight = m_sights[runner];
    sight.isPolled = false;
    sight.nextPollAt = now + (isChanging (report) ? m_reportInterval : steadyInterval());
    sight.omissions = 0;
    sight.reportedAt = now;
    sight.report = report;
    sight.checkpoints.clear();
    for (const engine::CheckpointReport& checkpoint : report.checkpoints)
    {
        sight.checkpoints[checkpoint.artifact] = checkpoint.place;
    }
}

void RunnerWatch::onReportFailed (const base::RunnerId& runner, base::TimePoint now)
{
    const auto found = m_sights.find (runner);
    if (found == m_sights.end())
        return;
    found->second.isPolled = false;
    found->second.nextPollAt = now + m_reportInterval;
}

void RunnerWatch::onLeavingSign (const base::RunnerId& runner, base::Incarnation incarnation)
{
    m_sights[runner].leavingIncarnations.insert (incarnation);
}

void RunnerWatch::forget (const base::RunnerId& runner) { m_sights.erase (runner); }

std::vector<base::RunnerId> RunnerWatch::takeDuePolls (base::TimePoint now)
{
    std::vector<base::RunnerId> due;
    auto next = m_sights.upper_bound (m_lastPolled);
    for (std::size_t seen = 0; seen < m_sights.size() && due.size() < kPollsAtOnce; ++seen)
    {
        if (next == m_sights.end())
            next = m_sights.begin();
        auto& [runner, sight] = *next++;
        if (sight.isPolled || now < sight.nextPollAt)
            continue;
        sight.isPolled = true;
        due.push_back (runner);
    }
    if (! due.empty())
        m_lastPolled = due.back();
    return due;
}

void RunnerWatch::pollSoon (const base::RunnerId& runner, base::TimePoint now)
{
    const auto found = m_sights.find (runner);
    if (found != m_sights.end())
        found->second.nextPollAt = std::min (found->second.nextPollAt, now);
}

const RunnerSight* RunnerWatch::find (const base::RunnerId& runner) const
{
    const auto found = m_sights.find (runner);
    return found == m_sights.end() ? nullptr : &found->second;
}

bool RunnerWatch::isResponsive (const base::RunnerId& runner, base::TimePoint now) const
{
    const RunnerSight* sight = find (runner);
    if (sight == nullptr || ! sight->report)
        return false;
    const base::Duration longerByRate = steadyInterval() - m_reportInterval;
    return now - sight->reportedAt < kMissedReports * m_reportInterval + longerByRate;
}

base::Duration RunnerWatch::steadyInterval() const
{
    const base::Duration ofAll = base::Duration (base::seconds (1))
                                 * static_cast<std::int64_t> (m_sights.size())
                                 / kSteadyReportsPerSecond;
    return std::max (m_reportInterval, ofAll);
}

bool RunnerWatch::isLeaving (const RunnerSight& sight, base::Incarnation incarnation)
{
    const bool isListedLeaving =
        sight.listed && sight.listed->state == engine::MachineState::kLeaving;
    const bool isReportedLeaving =
        sight.report && sight.report->incarnation == incarnation && sight.report->isLeaving;
    return isListedLeaving || isReportedLeaving
           || sight.leavingIncarnations.count (incarnation) != 0;
}

}  // namespace fernlift::controller
