#pragma once

/// Comparison of the reports of engines with the decided replicas, and the decisions that follow.

#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/Commands.h"
#include "cell/ReplicaTable.h"
#include "controller/RunnerWatch.h"
#include "engine/EngineApi.h"

namespace fernlift::controller
{

/// A replica that its engine holds although it was not decided or was released.
struct OrphanedReplica
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    engine::ReplicaReport report;
};

/// Differences between a report and the decided replicas.
struct ReportFindings
{
    std::vector<base::ReplicaId> ready;     ///< Loads that succeeded.
    std::vector<base::ReplicaId> failed;    ///< Loads that failed, or replicas that are missing.
    std::vector<base::ReplicaId> released;  ///< Unloads that are complete.
    std::vector<OrphanedReplica> orphans;
};

/// The command that updates the state of a runner from the machine list and the report; none when
/// it is up to date. Reports of a former incarnation are ignored.
[[nodiscard]] std::optional<cell::ObserveRunner> observationOf (
    const base::RunnerId& runner, const RunnerObservation& observation,
    const cell::ReplicaTable& table);

/// Compares a report with the decided replicas. Reports lag: a missing replica counts as removed
/// only when the highest fence in the report shows that the engine had accepted, or will never
/// accept, the order in question.
[[nodiscard]] ReportFindings examineReport (const base::RunnerId& runner,
                                            const engine::Report& report,
                                            const cell::ReplicaTable& table);

}  // namespace fernlift::controller
