#include "routing/ReplicaChooser.h"

#include <algorithm>
#include <functional>

#include "base/Digest.h"

namespace fernlift::routing
{
namespace
{

/// Smallest weight of a runner on its way back; keeps costs finite.
constexpr double kLeastWeight = 0.01;

struct Rated
{
    const ReplicaState* state = nullptr;
    double cost = 0;
};

using Candidates = std::vector<Rated>;

Candidates keepIf (const Candidates& candidates, const std::function<bool (const Rated&)>& wanted)
{
    Candidates kept;
    std::copy_if (candidates.begin(), candidates.end(), std::back_inserter (kept), wanted);
    return kept;
}

/// Those that satisfy `wanted`, or all when none does.
Candidates preferIf (const Candidates& candidates, const std::function<bool (const Rated&)>& wanted)
{
    Candidates kept = keepIf (candidates, wanted);
    return kept.empty() ? candidates : kept;
}

/// Rendezvous hashing on the first block: routers that know nothing of each other's requests still
/// send equal prefixes to the same replica.
Rated* homeOf (PrefixHash firstBlock, Candidates& candidates)
{
    Rated* home = nullptr;
    std::uint64_t highest = 0;
    for (Rated& candidate : candidates)
    {
        const std::string name =
            candidate.state->info.runner.value + "/" + std::to_string (firstBlock);
        const std::uint64_t score = base::stableHash (name);
        if (home == nullptr || score > highest)
        {
            home = &candidate;
            highest = score;
        }
    }
    return home;
}

/// The cheapest; equally cheap ones have equal chances.
const Rated& cheapest (const Candidates& candidates, base::Random& random)
{
    const Rated* best = nullptr;
    std::int64_t equals = 0;
    for (const Rated& candidate : candidates)
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
        const double weight = std::max (outliers.weightOf (runner, now), kLeastWeight);
        candidates.push_back ({ state, costOf (*state, request, table, matching, weight) });
    }
    candidates = preferIf (candidates, [&] (const Rated& candidate)
                           { return ! request.avoid.contains (candidate.state->info.runner); });
    candidates = preferIf (candidates, [&] (const Rated& candidate)
                           { return ! outliers.isEjected (candidate.state->info.runner, now); });

    if (! request.prefixHashes.empty())
    {
        homeOf (request.prefixHashes.front(), candidates)->cost -= m_options.homeGain;
    }
    return cheapest (candidates, random).state;
}

}  // namespace fernlift::routing
