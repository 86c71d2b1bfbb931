#include "routing/ReplicaChooser.h"

#include <algorithm>
#include <functional>

#include "base/Digest.h"

namespace fernlift::routing
{
namespace
{

/// Smallest weight of a runner after an ejection; keeps costs finite.
constexpr double kMinWeight = 0.01;

struct RatedReplica
{
    const ReplicaState* state = nullptr;
    double cost = 0;
};

using Candidates = std::vector<RatedReplica>;

Candidates keepIf (const Candidates& candidates,
                   const std::function<bool (const RatedReplica&)>& wanted)
{
    Candidates kept;
    std::copy_if (candidates.begin(), candidates.end(), std::back_inserter (kept), wanted);
    return kept;
}

/// Returns the candidates that satisfy `wanted`, or all candidates if none does.
Candidates preferIf (const Candidates& candidates,
                     const std::function<bool (const RatedReplica&)>& wanted)
{
    Candidates kept = keepIf (candidates, wanted);
    return kept.empty() ? candidates : kept;
}

/// Rendezvous hashing on the first block: routers send equal prefixes to the same replica without
/// information about each other's requests.
RatedReplica* preferredReplicaOf (PrefixHash firstBlock, Candidates& candidates)
{
    RatedReplica* preferred = nullptr;
    std::uint64_t highest = 0;
    for (RatedReplica& candidate : candidates)
    {
        const std::string name =
            candidate.state->info.runner.value + "/" + std::to_string (firstBlock);
        const std::uint64_t score = base::stableHash (name);
        if (preferred == nullptr || score > highest)
        {
            preferred = &candidate;
            highest = score;
        }
    }
    return preferred;
}

/// Returns the cheapest candidate, chosen at random among equally cheap ones.
const RatedReplica& cheapest (const Candidates& candidates, base::Random& random)
{
    const RatedReplica* best = nullptr;
    std::int64_t equals = 0;
    for (const RatedReplica& candidate : candidates)
    {
        const bool isCheaper = best == nullptr || candidate.cost < best->cost;
        if (! isCheaper && candidate.cost > best->cost)
            continue;
        equals = isCheaper ? 1 : equals + 1;
        if (isCheaper || random.uniformInteger (1, equals) == 1)
            best = &candidate;
    }
    return *best;
}

double loadCost (double utilisation, const ChooserOptions& options)
{
    const double spread = std::min (utilisation, options.freeUtilisation) * options.spreadCost;
    return spread + std::max (utilisation - options.freeUtilisation, 0.0);
}

}  // namespace

double ReplicaChooser::costOf (const ReplicaState& state, const ChoiceRequest& request,
                               const ReplicaTable& table, std::size_t matchingBlocks,
                               double weight) const
{
    const double load = request.pausesLessUrgentThan ? table.likelyLoadUpTo (
                            state.info.runner, *request.pausesLessUrgentThan)
                                                     : table.likelyLoad (state.info.runner);
    const double slots = std::max<std::uint32_t> (state.info.slots, 1);
    const double utilisation = (load + 1) / slots / weight;
    const std::size_t missing = request.prefixHashes.size() - matchingBlocks;
    const double prefill = static_cast<double> (missing) * m_options.blockCost;
    const bool isRemote = state.info.zone != m_options.zone;
    return loadCost (utilisation, m_options) + prefill + (isRemote ? m_options.zoneCost : 0);
}

const ReplicaState* ReplicaChooser::choose (const std::vector<const ReplicaState*>& states,
                                            const ChoiceRequest& request, const ReplicaTable& table,
                                            const OutlierDetector& outliers,
                                            const PrefixIndex& prefixes, base::TimePoint now,
                                            base::Random& random) const
{
    if (states.empty())
        return nullptr;
    Candidates candidates;
    for (const ReplicaState* state : states)
    {
        const base::RunnerId& runner = state->info.runner;
        const std::size_t matching =
            prefixes.matchingBlocks (runner, state->info.target, request.prefixHashes);
        const double weight = std::max (outliers.weightOf (runner, now), kMinWeight);
        candidates.push_back ({ state, costOf (*state, request, table, matching, weight) });
    }
    candidates = preferIf (candidates, [&] (const RatedReplica& candidate)
                           { return ! request.avoid.contains (candidate.state->info.runner); });
    candidates = preferIf (candidates, [&] (const RatedReplica& candidate)
                           { return ! outliers.isEjected (candidate.state->info.runner, now); });

    if (! request.prefixHashes.empty())
    {
        preferredReplicaOf (request.prefixHashes.front(), candidates)->cost -=
            m_options.preferredGain;
    }
    return cheapest (candidates, random).state;
}

}  // namespace fernlift::routing
