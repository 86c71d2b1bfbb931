/**
 * Which models should be held once more: those that requests wait for and nobody holds, those whose
 * replicas are crowded, and those that a burst would crowd.
 */

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementConstants.h"

namespace fernlift::placement
{
namespace
{

// Costs are in seconds of a request that waits.
/// Cost of a load that a request which has just begun to wait may have, and how much more it may
/// be for each second that it has waited: what costs less often becomes possible in a moment.
constexpr double kFirstCost = 8;
constexpr double kCostForSecond = 4;
/// A replica of a crowded model may cost what its requests would wait in this time without it.
constexpr double kReplicaHorizonSeconds = 10;
/// Never as much as a replica that another crowded model needs.
constexpr double kHighestReplicaCost = 11;
/// A spare replica takes the place of others like it and of models long out of use.
constexpr double kHighestSpareCost = 2.5;
/// Replicas of one model that are added in one round.
constexpr std::size_t kMostNeedsOfModel = 2;
/// A request that has waited this long for a model nobody holds goes before all that wait less,
/// however many these are.
constexpr base::Duration kOverdue = base::seconds (3);

std::size_t roundedUp (double value) { return static_cast<std::size_t> (std::ceil (value)); }

}  // namespace

bool EnginePlacement::isThrottled (const ModelView& view)
{
    return view.holders() > 0 && view.holders() == view.rateLimitedHolders
           && view.demand.waiting > 0;
}

EnginePlacement::ReplicaTargets EnginePlacement::replicaTargets (const ModelView& view,
                                                                 const config::EngineSpec& spec)
{
    const ModelDemand& demand = view.demand;
    const double limit = congestionLimit (spec);
    std::size_t bySlots = roundedUp (view.requests() / limit);
    // Its holders run requests for other models, too.
    if (view.holders() > 0 && view.requests() > view.capacity)
        bySlots = std::max (bySlots,
                            view.holders() + roundedUp ((view.requests() - view.capacity) / limit));
    ReplicaTargets targets;
    const std::size_t byTokens =
        roundedUp (demand.tokensPerSecond / (kPrefillTokensPerSecond * kMaxPrefillShare));
    targets.needed = std::max (bySlots, byTokens);
    const std::size_t byRate = demand.perSecond >= kSpareRequestsPerSecond ? 2 : 1;
    targets.spare = std::max (targets.needed, byRate);
    return targets;
}

std::vector<EnginePlacement::ModelNeed> EnginePlacement::modelNeeds (base::TimePoint now) const
{
    std::vector<ModelNeed> needs;
    for (const auto& [model, view] : m_models)
        addNeeds (model, view, now, needs);
    const auto isBefore = [] (const ModelNeed& left, const ModelNeed& right)
    {
        const bool isLeftOverdue = left.age >= kOverdue;
        const bool isRightOverdue = right.age >= kOverdue;
        if (isLeftOverdue != isRightOverdue)
            return isLeftOverdue;
        if (isLeftOverdue && left.age != right.age)
            return left.age > right.age;
        if (left.isSpare != right.isSpare)
            return right.isSpare;
        return left.requestsForReplica > right.requestsForReplica;
    };
    std::ranges::stable_sort (needs, isBefore);
    return needs;
}

void EnginePlacement::addNeeds (const ServiceModel& model, const ModelView& view,
                                base::TimePoint now, std::vector<ModelNeed>& needs) const
{
    const auto spec = m_specs.find (model.first);
    if (spec == m_specs.end())
        return;
    const ModelDemand& demand = view.demand;
    // Callers of a rare model would get what its one engine takes in its need, a request in
    // seconds, for as long as that lasts.
    const std::size_t supply = (isThrottled (view) ? 0 : view.holders()) + view.pendingLoads;
    if (supply == 0 && demand.waiting == 0)
        return;
    ModelNeed need;
    need.model = model;
    const double requests = view.requests() + demand.perSecond;
    need.requestsForReplica = requests / static_cast<double> (supply + 1);
    if (view.holders() == 0 && demand.waiting > 0)
        need.age = now - demand.waitingSince;
    const ReplicaTargets targets = replicaTargets (view, spec->second.spec());
    if (supply < targets.needed)
    {
        // Engines that would be reading at a time, beyond those that hold it.
        const double reading = demand.tokensPerSecond / kPrefillTokensPerSecond
                               - kMaxPrefillShare * static_cast<double> (supply);
        const double excess = view.holders() == 0 ? 0 : view.requests() - view.capacity;
        const double unanswered = demand.waiting + demand.unread;
        const double excessRequests = std::max ({ unanswered, reading, excess });
        const double gain =
            kReplicaHorizonSeconds * excessRequests / static_cast<double> (supply + 1);
        const bool isMissing = supply == 0 && view.holders() == 0;
        need.maxCost = isMissing ? kFirstCost + kCostForSecond * base::toSeconds (need.age)
                                 : std::clamp (gain, kHighestSpareCost, kHighestReplicaCost);
        need.relievesCongestion = ! isMissing;
        needs.insert (needs.end(), std::min (targets.needed - supply, kMostNeedsOfModel), need);
        return;
    }
    const auto added = m_spareAddedAt.find (model);
    const bool isTooSoon =
        added != m_spareAddedAt.end() && now - added->second < kSpareReplicaInterval;
    if (supply >= targets.spare || isTooSoon)
        return;
    need.isSpare = true;
    need.maxCost = kHighestSpareCost;
    needs.push_back (need);
}

}  // namespace fernlift::placement
