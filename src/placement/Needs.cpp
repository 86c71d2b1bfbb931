#include "placement/Needs.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fernlift::placement
{
namespace
{

/// Assumed slots per replica of a target without usable replicas, whose runner is not known yet.
constexpr std::uint32_t kAssumedSlots = 8;

std::uint32_t slotsPerReplica (const Plan& plan, const std::vector<const ReplicaView*>& usable)
{
    std::uint32_t slots = 0;
    for (const ReplicaView* view : usable)
    {
        slots = std::max (slots, plan.plannedRunnerOf (view->replica.runner)->runner->slots);
    }
    return slots == 0 ? kAssumedSlots : slots;
}

/// Number of replicas needed for the current requests.
std::uint32_t requestedReplicas (const Plan& plan, const std::string& name,
                                 const std::vector<const ReplicaView*>& usable)
{
    const TargetDemand& demand = plan.demandOf (name);
    const std::uint32_t requests = demand.waiting + demand.running;
    if (requests == 0)
        return 0;
    const std::uint32_t slots = slotsPerReplica (plan, usable);
    const std::uint32_t wanted = (requests + slots - 1) / slots;
    const auto present = static_cast<std::uint32_t> (usable.size());
    // Without waiting requests the present replicas are sufficient, unless there are none.
    return demand.waiting > 0 ? wanted : std::min (wanted, std::max (present, 1U));
}

std::string reasonFor (const TargetDemand& demand, std::uint32_t present, bool isRequested)
{
    if (! isRequested)
        return "kept loaded by min_replicas";
    return std::to_string (demand.waiting) + " waiting and " + std::to_string (demand.running)
           + " running with " + std::to_string (present) + " usable replicas";
}

/// Urgency of a need. Never more urgent than the urgency that protects a loaded replica of the
/// target from eviction.
int urgencyOf (const Plan& plan, const Target& target, const TargetDemand& demand)
{
    return demand.waiting > 0 ? demand.mostUrgent : plan.urgencyOf (target.name());
}

void addNeeds (const Plan& plan, const Target& target, std::uint32_t minimum,
               std::vector<Need>& needs)
{
    const std::vector<const ReplicaView*> usable = plan.usable (target.name());
    const TargetDemand& demand = plan.demandOf (target.name());
    const std::uint32_t requested = requestedReplicas (plan, target.name(), usable);
    const auto present = static_cast<std::uint32_t> (usable.size());
    const std::uint32_t wanted = std::min (std::max (requested, minimum), target.maximumReplicas());
    for (std::uint32_t number = present; number < wanted; ++number)
    {
        Need need;
        need.target = target;
        need.isRequested = number < requested;
        need.urgency = need.isRequested ? urgencyOf (plan, target, demand) : kMinUrgency;
        need.nearestDeadlineMilliseconds = need.isRequested
                                               ? demand.nearestDeadlineMilliseconds
                                               : std::numeric_limits<std::int64_t>::max();
        need.oldestWaitMilliseconds = need.isRequested ? demand.oldestWaitMilliseconds : 0;
        need.reason = reasonFor (demand, present, need.isRequested);
        needs.push_back (std::move (need));
    }
}

}  // namespace

std::vector<Need> findNeeds (const Plan& plan)
{
    std::vector<Need> needs;
    const config::Catalogue& catalogue = *plan.snapshot().catalogue;
    for (const config::Model& model : catalogue.models)
    {
        addNeeds (plan, { &model, nullptr }, model.minReplicas, needs);
    }
    for (const config::Adapter& adapter : catalogue.adapters)
    {
        const config::Model* base = catalogue.findModel (adapter.base);
        if (base != nullptr)
            addNeeds (plan, { base, &adapter }, 0, needs);
    }
    const auto order = [] (const Need& need)
    {
        return std::tuple (need.urgency, need.nearestDeadlineMilliseconds,
                           -need.oldestWaitMilliseconds);
    };
    std::stable_sort (needs.begin(), needs.end(),
                      [&] (const Need& left, const Need& right)
                      { return order (left) < order (right); });
    return needs;
}

}  // namespace fernlift::placement
