/**
 * Models that need another replica: those that requests wait for and no engine holds, those whose
 * replicas are congested, and those that a burst would congest.
 */

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

// Costs are in seconds of waiting of one request.
/// Limit of the cost of a load for a request that has just begun to wait, and its increase for each
/// second of waiting. A cheaper load often becomes possible shortly after the first attempt.
constexpr double kInitialMaxCost = 8;
constexpr double kMaxCostPerSecond = 4;
/// Another replica of a congested model may cost as much as its requests would wait within this
/// time.
constexpr double kReplicaHorizonSeconds = 10;
/// Upper limit of the cost of such a replica; below the cost of evicting a replica that another
/// congested model needs.
constexpr double kMaxReplicaCost = 11;
/// A spare replica may only replace other spare replicas and models that are long out of use.
constexpr double kMaxSpareCost = 2.5;
/// Limit of the replicas of one model that are added in one round.
constexpr std::size_t kMaxNeedsOfModel = 2;
/// A model that no engine holds and whose requests have waited this long has priority over models
/// with shorter waits, however many requests these have.
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
    // The holders also run requests for other models.
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
        return left.requestsPerReplica > right.requestsPerReplica;
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
    // Rate-limited engines do not count as supply if they are the only holders: such an engine may
    // accept only one request in several seconds, and its callers would be limited to that rate.
    const std::size_t supply = (isThrottled (view) ? 0 : view.holders()) + view.pendingLoads;
    if (supply == 0 && demand.waiting == 0)
        return;
    ModelNeed need;
    need.model = model;
    const double requests = view.requests() + demand.perSecond;
    need.requestsPerReplica = requests / static_cast<double> (supply + 1);
    if (view.holders() == 0 && demand.waiting > 0)
        need.age = now - demand.waitingSince;
    const ReplicaTargets targets = replicaTargets (view, spec->second.spec());
    if (supply < targets.needed)
    {
        // Prefill work for the model as a number of fully occupied engines, less the part that its
        // present and planned holders may do within kMaxPrefillShare of their time.
        const double prefillingEngines = demand.tokensPerSecond / kPrefillTokensPerSecond
                                         - kMaxPrefillShare * static_cast<double> (supply);
        const double excess = view.holders() == 0 ? 0 : view.requests() - view.capacity;
        const double unanswered = demand.waiting + demand.unread;
        const double excessRequests = std::max ({ unanswered, prefillingEngines, excess });
        const double gain =
            kReplicaHorizonSeconds * excessRequests / static_cast<double> (supply + 1);
        const bool isMissing = supply == 0 && view.holders() == 0;
        need.maxCost = isMissing ? kInitialMaxCost + kMaxCostPerSecond * base::toSeconds (need.age)
                                 : std::clamp (gain, kMaxSpareCost, kMaxReplicaCost);
        need.relievesCongestion = ! isMissing;
        needs.insert (needs.end(), std::min (targets.needed - supply, kMaxNeedsOfModel), need);
        return;
    }
    const auto added = m_spareAddedAt.find (model);
    const bool isTooSoon =
        added != m_spareAddedAt.end() && now - added->second < kSpareReplicaInterval;
    if (supply >= targets.spare || isTooSoon)
        return;
    need.isSpare = true;
    need.maxCost = kMaxSpareCost;
    needs.push_back (need);
}

}  // namespace fernlift::placement
