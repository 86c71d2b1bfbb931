#pragma once

/// Observations of runners at the leader: the machine list, reports, and notices that a runner is
/// leaving. They are not replicated and are lost with leadership.

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

/// Latest observations of one runner.
struct RunnerObservation
{
    std::optional<engine::Machine> listed;  ///< Latest entry of the machine list.
    std::optional<engine::Report> report;   ///< Latest report.
    base::TimePoint reportedAt{};
    std::map<std::string, engine::CheckpointPlace>
        checkpoints;                                  ///< Checkpoints of the latest report.
    std::set<base::Incarnation> leavingIncarnations;  ///< Incarnations known to be leaving.
    std::uint32_t omissions = 0;  ///< Consecutive machine lists without it, since its last report.
    bool isPolled = false;        ///< A poll has not been answered yet.
    base::TimePoint nextPollAt{};
};

class RunnerWatch
{
public:
    /// Consecutive machine lists that must omit a silent runner before it counts as removed.
    static constexpr std::uint32_t kMaxOmissions = 3;

    RunnerWatch (base::Duration reportInterval, base::TimePoint now)
        : m_reportInterval (reportInterval), m_startedAt (now)
    {
    }

    /// Adds the runners of the replicated state, so that they are polled before the first machine
    /// list arrives.
    void addKnown (const std::map<base::RunnerId, cell::Runner>& runners);

    /// Applies a machine list and returns the runners that count as removed. Ignores an empty list.
    std::vector<base::RunnerId> onMachineList (const engine::MachineList& list);
    void onReport (const base::RunnerId& runner, const engine::Report& report, base::TimePoint now);
    void onReportFailed (const base::RunnerId& runner, base::TimePoint now);
    void onLeavingNotice (const base::RunnerId& runner, base::Incarnation incarnation);
    void forget (const base::RunnerId& runner);

    /// Returns the runners to poll now, a bounded number in turn, and marks them as polled.
    [[nodiscard]] std::vector<base::RunnerId> takeDuePolls (base::TimePoint now);
    void pollSoon (const base::RunnerId& runner, base::TimePoint now);

    [[nodiscard]] const RunnerObservation* find (const base::RunnerId& runner) const;
    [[nodiscard]] const std::map<base::RunnerId, RunnerObservation>& observations() const
    {
        return m_observations;
    }
    /// Returns false when several consecutive reports are missing.
    [[nodiscard]] bool isResponsive (const base::RunnerId& runner, base::TimePoint now) const;
    /// Returns whether the machine list, the report or a router showed this incarnation as leaving.
    [[nodiscard]] static bool isLeaving (const RunnerObservation& observation,
                                         base::Incarnation incarnation);

private:
    /// Returns the poll interval of a runner without changes, which grows with the number of
    /// runners.
    [[nodiscard]] base::Duration steadyInterval() const;

    base::Duration m_reportInterval;
    base::TimePoint m_startedAt;
    base::RunnerId m_lastPolled;  ///< The next poll goes to a runner after this one.
    std::map<base::RunnerId, RunnerObservation> m_observations;
};

}  // namespace fernlift::controller
