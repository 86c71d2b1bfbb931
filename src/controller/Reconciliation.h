#pragma once

/// Compares what an engine reports with what was decided, and says what to decide next.

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

/// A replica that its engine holds although nobody decided it, or that was released.
struct StrayReplica
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    engine::ReplicaReport report;
};

/// What a report calls for.
struct ReportFindings
{
    std::vector<base::ReplicaId> ready;     ///< Loads that ended well.
    std::vector<base::ReplicaId> failed;    ///< Loads that failed, or replicas that vanished.
    std::vector<base::ReplicaId> released;  ///< Unloads that ended.
    std::vector<StrayReplica> strays;
};

/// The command that brings the state up to date with the machine list and the report; none when it
/// is. Signs of a former incarnation are ignored.
[[nodiscard]] std::optional<cell::ObserveRunner> observationOf (const base::RunnerId& runner,
                                                                const RunnerSight& sight,
                                                                const cell::ReplicaTable& table);

/// Findings of a report. Reports lag: a missing replica counts as gone only when the report's
/// highest fence shows that the engine had taken (or will never take) the order in question.
[[nodiscard]] ReportFindings examineReport (const base::RunnerId& runner,
                                            const engine::Report& report,
                                            const cell::ReplicaTable& table);

}  // namespace fernlift::controller
