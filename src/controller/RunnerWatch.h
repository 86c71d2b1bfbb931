#pragma once

/// What a leader sees of the runners: the machine list, their reports and signs that one leaves.
/// Lost with leadership; nothing here is a promise.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/ReplicaTable.h"
#include "engine/EngineApi.h"

namespace fernlift::controller
{

/// One runner as last seen.
struct RunnerSight
{
    std::optional<engine::Machine> listed;  ///< Latest entry of the machine list.
    std::optional<engine::Report> report;   ///< Latest report.
    base::TimePoint reportedAt{};
    std::map<std::string, engine::CheckpointPlace> checkpoints;  ///< Of the latest report.
    std::set<base::Incarnation> leavingIncarnations;  ///< Said to be leaving by any sign.
    std::uint32_t omissions = 0;  ///< Successive machine lists without it, and no report since.
    bool isPolled = false;        ///< A poll is on its way.
    base::TimePoint nextPollAt{};
};

class RunnerWatch
{
public:
    /// Successive machine lists that must omit a silent runner before it counts as gone.
    static constexpr std::uint32_t kOmissionsUntilGone = 3;

    RunnerWatch (base::Duration reportInterval, base::TimePoint now)
        : m_reportInterval (reportInterval), m_startedAt (now)
    {
    }

    /// Makes the runners of the replicated state known, so that they are polled before the first
    /// machine list arrives.
    void addKnown (const std::map<base::RunnerId, cell::Runner>& runners);

    /// An empty list is ignored. Returns the runners that count as gone.
    std::vector<base::RunnerId> onMachineList (const engine::MachineList& list);
    void onReport (const base::RunnerId& runner, const engine::Report& report, base::TimePoint now);
    void onReportFailed (const base::RunnerId& runner, base::TimePoint now);
    void onLeavingSign (const base::RunnerId& runner, base::Incarnation incarnation);
    void forget (const base::RunnerId& runner);

    /// Runners to poll now, a bounded number in turn; marks them as polled.
    [[nodiscard]] std::vector<base::RunnerId> takeDuePolls (base::TimePoint now);
    void pollSoon (const base::RunnerId& runner, base::TimePoint now);

    [[nodiscard]] const RunnerSight* find (const base::RunnerId& runner) const;
    [[nodiscard]] const std::map<base::RunnerId, RunnerSight>& sights() const { return m_sights; }
    /// False once several reports in a row are missing.
    [[nodiscard]] bool isResponsive (const base::RunnerId& runner, base::TimePoint now) const;
    /// True when the list, the report or a router said that this incarnation leaves.
    [[nodiscard]] static bool isLeaving (const RunnerSight& sight, base::Incarnation incarnation);

private:
    /// Interval of the polls of a runner on which nothing changes; grows with the number of
    /// runners.
    [[nodiscard]] base::Duration steadyInterval() const;

    base::Duration m_reportInterval;
    base::TimePoint m_startedAt;
    base::RunnerId m_lastPolled;  ///< The next poll goes to a runner after this one.
    std::map<base::RunnerId, RunnerSight> m_sights;
};

}  // namespace fernlift::controller
