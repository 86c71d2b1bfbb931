#include "placement/Placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

#include "placement/Eviction.h"
#include "placement/KeepAlive.h"
#include "placement/Needs.h"
#include "placement/Plan.h"

namespace fernlift::placement
{
namespace
{

using cell::ReplicaStage;
using engine::CheckpointPlace;

const char* describe (CheckpointPlace place)
{
    switch (place)
    {
        case CheckpointPlace::kMemory:
            return "checkpoint in memory";
        case CheckpointPlace::kDisk:
            return "checkpoint on disk";
        case CheckpointPlace::kRemote:
            break;
    }
    return "checkpoint remote";
}

bool isOutOfService (const Plan& plan, const ReplicaView& view)
{
    const Plan::PlannedRunner* planned = plan.plannedRunnerOf (view.replica.runner);
    return planned != nullptr && ! planned->runner->takesNewWork;
}

// Unloads that are independent of other needs.

void dropOutdated (Plan& plan)
{
    for (const ReplicaView& view : plan.snapshot().replicas)
    {
        if (plan.isOutdated (view))
        {
            plan.unload (view, "not in the configuration with this version, memory size and zone");
        }
    }
}

void dropAboveBound (Plan& plan, const Target& target)
{
    std::uint32_t counted = 0;
    std::vector<const ReplicaView*> loaded;
    for (const ReplicaView* view : plan.all (target.name()))
    {
        ++counted;
        if (! plan.isUnloading (*view))
            loaded.push_back (view);
    }
    if (counted <= target.maximumReplicas())
        return;
    const std::size_t keep = target.maximumReplicas();
    if (loaded.size() <= keep)
        return;
    const auto order = [&] (const ReplicaView* view)
    {
        return std::tuple (! isOutOfService (plan, *view),
                           view->replica.stage == ReplicaStage::kReady, view->activeRequests,
                           -view->idleFor, view->replica.id);
    };
    std::sort (loaded.begin(), loaded.end(),
               [&] (const ReplicaView* left, const ReplicaView* right)
               { return order (left) < order (right); });
    loaded.resize (loaded.size() - keep);
    for (const ReplicaView* view : loaded)
        plan.unload (*view, "above max_replicas");
}

void dropAllAboveBound (Plan& plan)
{
    const config::Catalogue& catalogue = *plan.snapshot().catalogue;
    for (const config::Model& model : catalogue.models)
        dropAboveBound (plan, { &model, nullptr });
    for (const config::Adapter& adapter : catalogue.adapters)
    {
        const config::Model* base = catalogue.findModel (adapter.base);
        if (base != nullptr)
            dropAboveBound (plan, { base, &adapter });
    }
}

/// Number of accelerators that the memory of a replica occupies; may be fractional.
double acceleratorShare (const RunnerView& runner, engine::Megabytes memory)
{
    if (runner.totalMemory == 0)
        return runner.accelerators;
    return runner.accelerators * static_cast<double> (memory)
           / static_cast<double> (runner.totalMemory);
}

base::Duration keepAliveOf (const Plan& plan, const ReplicaView& view)
{
    const Snapshot& snapshot = plan.snapshot();
    const Plan::PlannedRunner* planned = plan.plannedRunnerOf (view.replica.runner);
    if (planned == nullptr)
        return snapshot.keepAlive;
    const base::UnixMilliseconds took = view.replica.readyAt - view.replica.decidedAt;
    const base::Duration loadTime =
        took > 0 ? base::milliseconds (took) : assumedLoadTime (view.replica.memory);
    return keepAliveFor (snapshot.catalogue->prices, loadTime,
                         acceleratorShare (*planned->runner, view.replica.memory),
                         snapshot.keepAlive);
}

void dropIdle (Plan& plan)
{
    for (const ReplicaView& view : plan.snapshot().replicas)
    {
        const bool isIdle = view.replica.stage == ReplicaStage::kReady && ! plan.isUnloading (view)
                            && ! plan.isInUse (view) && plan.adaptersOn (view.replica.id).empty();
        if (! isIdle)
            continue;
        if (isOutOfService (plan, view))
        {
            plan.unload (view, "idle on a runner that takes no new work");
            continue;
        }
        const base::Duration keepAlive = keepAliveOf (plan, view);
        if (view.idleFor < keepAlive || plan.isKeptByMinimum (view))
            continue;
        plan.unload (view, "idle for " + std::to_string (base::toMilliseconds (view.idleFor))
                               + " ms, kept for "
                               + std::to_string (base::toMilliseconds (keepAlive))
                               + " ms by the prices");
    }
}

// Loads.

/// When the weight store is at its limit, stops an abandoned load, or else the latest of the least
/// urgent loads that are less urgent than `need`.
void freeStoreSlot (Plan& plan, const Need& need)
{
    if (! need.isRequested || ! plan.isStoreFull())
        return;
    const ReplicaView* evicted = nullptr;
    const auto order = [&] (const ReplicaView& view)
    {
        return std::tuple (plan.isAbandonedLoad (view), plan.urgencyOf (view.replica.target()),
                           view.replica.id);
    };
    for (const ReplicaView& view : plan.snapshot().replicas)
    {
        const bool isLoading = view.replica.stage == ReplicaStage::kLoading && view.usesStore
                               && ! plan.isUnloading (view);
        if (! isLoading)
            continue;
        const bool isLessUrgent = plan.urgencyOf (view.replica.target()) > need.urgency;
        if (! plan.isAbandonedLoad (view) && ! isLessUrgent)
            continue;
        if (evicted == nullptr || order (view) > order (*evicted))
            evicted = &view;
    }
    if (evicted == nullptr)
        return;
    plan.unload (*evicted,
                 "weight store slot needed for " + need.target.name() + ": " + need.reason);
}

/// Unloads a replica on a runner that accepts no new requests, so that another fits under
/// maxReplicas.
void freeReplicaBound (Plan& plan, const Need& need)
{
    if (! need.isRequested)
        return;
    for (const ReplicaView* view : plan.all (need.target.name()))
    {
        if (plan.isUnloading (*view) || ! isOutOfService (plan, *view))
            continue;
        plan.unload (*view, "replaced: its runner takes no new work and max_replicas is reached");
        return;
    }
}

std::vector<const Plan::PlannedRunner*> allowedRunners (const Plan& plan, const Target& target)
{
    std::vector<const Plan::PlannedRunner*> plannedRunners;
    for (const Plan::PlannedRunner& planned : plan.plannedRunners())
    {
        const RunnerView& runner = *planned.runner;
        const bool holdsOne = std::any_of (
            planned.replicas.begin(), planned.replicas.end(),
            [&] (const ReplicaView* view)
            { return view->replica.target() == target.name() && ! plan.isUnloading (*view); });
        const bool isOpen = runner.takesNewWork && runner.isResponsive && ! holdsOne;
        if (isOpen && config::allowsZone (target.model->zones, runner.zone)
            && ! plan.isAvoided (target.name(), runner.runner))
        {
            plannedRunners.push_back (&planned);
        }
    }
    return plannedRunners;
}

/// The runner with the nearest checkpoint, then one in a zone without a replica of the target, then
/// the one with the most free memory.
const Plan::PlannedRunner* bestWithMemory (
    const Plan& plan, const std::vector<const Plan::PlannedRunner*>& plannedRunners,
    const Target& target, engine::Megabytes memory)
{
    std::set<base::ZoneName> zones;
    for (const ReplicaView* view : plan.usable (target.name()))
    {
        zones.insert (plan.plannedRunnerOf (view->replica.runner)->runner->zone);
    }
    for (const base::ZoneName& zone : plan.plannedZones (target.name()))
        zones.insert (zone);
    const auto order = [&] (const Plan::PlannedRunner* planned)
    {
        return std::tuple (Plan::placeOf (*planned->runner, target.name()),
                           zones.count (planned->runner->zone) == 0, planned->free);
    };
    const Plan::PlannedRunner* best = nullptr;
    for (const Plan::PlannedRunner* planned : plannedRunners)
    {
        if (planned->free < memory)
            continue;
        if (best == nullptr || order (planned) > order (best))
            best = planned;
    }
    return best;
}

/// Reserves memory that is being freed, or else evicts replicas.
void reclaimMemory (Plan& plan, const std::vector<const Plan::PlannedRunner*>& plannedRunners,
                    const Need& need, engine::Megabytes memory, base::ReplicaId kept)
{
    for (const Plan::PlannedRunner* planned : plannedRunners)
    {
        if (planned->free + planned->beingFreed < memory)
            continue;
        plan.setAside (planned->runner->runner, memory);
        return;
    }
    std::optional<EvictionChoice> best;
    for (const Plan::PlannedRunner* planned : plannedRunners)
    {
        auto choice = chooseEvictions (plan, *planned, memory, need.urgency, kept);
        if (choice && (! best || isBetter (*choice, *best)))
            best = std::move (choice);
    }
    if (! best)
        return;
    const std::string reason = "evicted for " + need.target.name() + ": " + need.reason;
    for (const ReplicaView* evicted : best->evictions)
        plan.unload (*evicted, reason);
    plan.setAside (best->runner, memory);
}

/// `extraMemory` is reserved on the same runner for the adapter that needs the model.
void placeModel (Plan& plan, const Need& need, engine::Megabytes extraMemory)
{
    const Target model{ need.target.model, nullptr };
    const bool isForAdapter = need.target.adapter != nullptr;
    if (! isForAdapter && plan.takeBaseLoad (model.model->name))
        return;
    if (plan.counted (model) >= model.maximumReplicas())
    {
        freeReplicaBound (plan, need);
        return;
    }
    const std::vector<const Plan::PlannedRunner*> plannedRunners = allowedRunners (plan, model);
    const engine::Megabytes memory = model.memory() + extraMemory;
    const Plan::PlannedRunner* best = bestWithMemory (plan, plannedRunners, model, memory);
    if (best == nullptr)
    {
        reclaimMemory (plan, plannedRunners, need, memory, 0);
        return;
    }
    if (! plan.mayLoad (model.name(), *best->runner))
    {
        freeStoreSlot (plan, need);
        return;
    }
    const base::RunnerId runner = best->runner->runner;
    const char* place = describe (Plan::placeOf (*best->runner, model.name()));
    plan.load (model, runner, 0, need.reason + "; " + place);
    if (! isForAdapter)
        return;
    plan.addBaseLoad (model.model->name);
    plan.setAside (runner, extraMemory);
}

struct BaseChoice
{
    const ReplicaView* ready = nullptr;  ///< Ready, with memory for the adapter.
    const ReplicaView* full = nullptr;   ///< Ready, without memory for the adapter.
    const ReplicaView* loading = nullptr;
};

BaseChoice findBase (const Plan& plan, const Target& target)
{
    BaseChoice choice;
    const std::vector<const Plan::PlannedRunner*> plannedRunners = allowedRunners (plan, target);
    for (const ReplicaView* base : plan.usable (target.model->name.value))
    {
        if (base->replica.stage == ReplicaStage::kLoading)
        {
            choice.loading = base;
            continue;
        }
        const Plan::PlannedRunner* planned = plan.plannedRunnerOf (base->replica.runner);
        if (std::find (plannedRunners.begin(), plannedRunners.end(), planned)
            == plannedRunners.end())
            continue;
        if (planned->free < target.memory())
        {
            if (choice.full == nullptr)
                choice.full = base;
            continue;
        }
        const bool isBetter =
            choice.ready == nullptr
            || planned->free > plan.plannedRunnerOf (choice.ready->replica.runner)->free;
        if (isBetter)
            choice.ready = base;
    }
    return choice;
}

void placeAdapter (Plan& plan, const Need& need)
{
    const Target& target = need.target;
    if (plan.counted (target) >= target.maximumReplicas())
    {
        freeReplicaBound (plan, need);
        return;
    }
    const BaseChoice base = findBase (plan, target);
    if (base.ready != nullptr)
    {
        const RunnerView& runner = *plan.plannedRunnerOf (base.ready->replica.runner)->runner;
        if (! plan.mayLoad (target.name(), runner))
        {
            freeStoreSlot (plan, need);
            plan.setAside (runner.runner, target.memory());
            return;
        }
        plan.load (target, runner.runner, base.ready->replica.id,
                   need.reason + "; " + describe (Plan::placeOf (runner, target.name())));
        return;
    }
    if (base.loading != nullptr)
    {
        // The base was placed where the adapter fits as well; reserve that memory against later
        // needs.
        plan.setAside (base.loading->replica.runner, target.memory());
        return;
    }
    if (plan.plansLoad (target.model->name))
        return;
    if (base.full != nullptr)
    {
        reclaimMemory (plan, { plan.plannedRunnerOf (base.full->replica.runner) }, need,
                       target.memory(), base.full->replica.id);
        return;
    }
    Need baseNeed = need;
    baseNeed.reason = "base of adapter " + target.name() + ": " + need.reason;
    placeModel (plan, baseNeed, target.memory());
}

}  // namespace

std::vector<Decision> decide (const Snapshot& snapshot)
{
    if (snapshot.catalogue == nullptr)
        return {};
    Plan plan (snapshot);
    dropOutdated (plan);
    dropAllAboveBound (plan);
    dropIdle (plan);
    for (const Need& need : findNeeds (plan))
    {
        if (need.target.adapter != nullptr)
        {
            placeAdapter (plan, need);
        }
        else
        {
            placeModel (plan, need, 0);
        }
    }
    return plan.takeDecisions();
}

}  // namespace fernlift::placement
