#include "controller/Reconciliation.h"

#include <algorithm>
#include <map>

namespace fernlift::controller
{
namespace
{

using cell::ReplicaStage;
using engine::ReplicaPhase;

bool isFormerIncarnation (const cell::Runner& runner, base::Incarnation incarnation)
{
    const auto& former = runner.formerIncarnations;
    return std::find (former.begin(), former.end(), incarnation) != former.end();
}

void examinePresent (const cell::Replica& replica, const engine::ReplicaReport& reported,
                     ReportFindings& findings)
{
    const bool isUnloading = replica.stage == ReplicaStage::kUnloading;
    if (reported.phase == ReplicaPhase::kReady && replica.stage == ReplicaStage::kLoading)
    {
        findings.ready.push_back (replica.id);
    }
    if (reported.phase == ReplicaPhase::kFailed && ! isUnloading)
    {
        findings.failed.push_back (replica.id);
    }
}

void examineMissing (const cell::Replica& replica, base::Fence highestFence,
                     ReportFindings& findings)
{
    // `replica.fence` belongs to the load order while the replica is loading or ready, then to the
    // unload order. A report with a lower highest fence may precede that order.
    if (highestFence < replica.fence)
        return;
    if (replica.stage == ReplicaStage::kUnloading)
    {
        findings.released.push_back (replica.id);
    }
    else
    {
        findings.failed.push_back (replica.id);
    }
}

}  // namespace

std::optional<cell::ObserveRunner> observationOf (const base::RunnerId& runner,
                                                  const RunnerObservation& observation,
                                                  const cell::ReplicaTable& table)
{
    const cell::Runner* known = table.findRunner (runner);
    if (! observation.listed && known == nullptr)
        return std::nullopt;
    if (! observation.report && known == nullptr)
        return std::nullopt;
    cell::ObserveRunner command;
    command.machine = observation.listed ? *observation.listed : known->machine;
    command.incarnation = observation.report ? observation.report->incarnation : known->incarnation;
    if (observation.report && observation.report->totalMemory > 0)
    {
        command.machine.memory = std::min (command.machine.memory, observation.report->totalMemory);
    }
    else if (known != nullptr)
    {
        command.machine.memory = std::min (command.machine.memory, known->machine.memory);
    }
    command.isLeaving = RunnerWatch::isLeaving (observation, command.incarnation);
    if (known == nullptr)
        return command;
    if (isFormerIncarnation (*known, command.incarnation))
        return std::nullopt;
    const bool isNew = known->incarnation != command.incarnation
                       || ! (known->machine == command.machine)
                       || (command.isLeaving && ! known->isLeaving);
    return isNew ? std::optional (command) : std::nullopt;
}

ReportFindings examineReport (const base::RunnerId& runner, const engine::Report& report,
                              const cell::ReplicaTable& table)
{
    ReportFindings findings;
    const cell::Runner* known = table.findRunner (runner);
    if (known == nullptr || known->incarnation != report.incarnation)
        return findings;
    std::map<base::ReplicaId, const engine::ReplicaReport*> reported;
    for (const engine::ReplicaReport& replica : report.replicas)
    {
        reported[replica.replica] = &replica;
        const cell::Replica* decided = table.findReplica (replica.replica);
        const bool isDecidedHere = decided != nullptr && decided->runner == runner
                                   && decided->incarnation == report.incarnation;
        // An orphan that its engine is already unloading needs no unload order.
        const bool isUnloading = replica.phase == ReplicaPhase::kUnloading;
        if (! isDecidedHere && ! isUnloading)
            findings.orphans.push_back ({ runner, report.incarnation, replica });
    }
    for (const base::ReplicaId id : table.replicasOn (runner))
    {
        const cell::Replica& replica = *table.findReplica (id);
        const auto found = reported.find (id);
        if (found != reported.end())
        {
            examinePresent (replica, *found->second, findings);
        }
        else
        {
            examineMissing (replica, report.highestFence, findings);
        }
    }
    return findings;
}

}  // namespace fernlift::controller
