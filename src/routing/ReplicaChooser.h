#pragma once

/// Chooses the replica for one request among candidates with free capacity.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"
#include "routing/OutlierDetector.h"
#include "routing/PrefixIndex.h"
#include "routing/ReplicaTable.h"

namespace fernlift::routing
{

struct ChooserOptions
{
    base::ZoneName zone;  ///< The router's own zone.
    // All costs are in units of utilisation above `freeUtilisation`.

    /// Estimated utilisation up to which a request hardly waits.
    double freeUtilisation = 0.75;
    /// Cost of utilisation below `freeUtilisation`, which spreads requests before queues form.
    double spreadCost = 0.25;
    /// Cost of computing one block of the prompt that the replica does not hold.
    double blockCost = 0.005;
    /// Cost of leaving the router's zone.
    double zoneCost = 0.03;
    /// Cost reduction of the replica that all routers prefer for prompts with the same first block.
    double preferredGain = 0.15;
};

/// Properties of a request that affect the choice.
struct ChoiceRequest
{
    std::vector<PrefixHash> prefixHashes;
    std::set<base::RunnerId> avoid;  ///< Runners where an earlier attempt failed.
    /// Urgency of a class with reserved slots, otherwise unset. Engines pause less urgent requests
    /// for such a class, so they do not count as load for it.
    std::optional<int> pausesLessUrgentThan;
};

/// Estimates the cost of each candidate from its likely load, the blocks of the prompt that its
/// cache lacks and its zone, and chooses the cheapest.
class ReplicaChooser
{
public:
    explicit ReplicaChooser (ChooserOptions options) : m_options (std::move (options)) {}

    /// Returns the chosen candidate; null only if there are no candidates.
    [[nodiscard]] const ReplicaState* choose (const std::vector<const ReplicaState*>& candidates,
                                              const ChoiceRequest& request,
                                              const ReplicaTable& table,
                                              const OutlierDetector& outliers,
                                              const PrefixIndex& prefixes, base::TimePoint now,
                                              base::Random& random) const;

private:
    [[nodiscard]] double costOf (const ReplicaState& state, const ChoiceRequest& request,
                                 const ReplicaTable& table, std::size_t matchingBlocks,
                                 double weight) const;

    ChooserOptions m_options;
};

}  // namespace fernlift::routing
