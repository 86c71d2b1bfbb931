#pragma once

/// Chooses the replica for one request among candidates that have room for it.

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
    base::ZoneName zone;  ///< The router's own.
    // All costs are in units of utilisation above `freeUtilisation`.

    /// Up to this estimated utilisation a request hardly waits.
    double freeUtilisation = 0.75;
    /// Cost of utilisation below that, which spreads requests before there are waits.
    double spreadCost = 0.25;
    /// Cost of computing one block of the prompt that the replica does not hold.
    double blockCost = 0.005;
    /// Cost of leaving the router's zone.
    double zoneCost = 0.03;
    /// Gain at the replica where all routers send prompts that begin alike.
    double homeGain = 0.15;
};

/// A request as seen by the choice.
struct ChoiceRequest
{
    std::vector<PrefixHash> prefixHashes;
    std::set<base::RunnerId> avoid;  ///< Runners where an earlier attempt failed.
    /// Set for a class with reserved slots, to its urgency: engines pause less urgent requests for
    /// it, so that these are no load to it.
    std::optional<int> pausesLessUrgentThan;
};

/// Estimates what the request would wait for at each candidate, from its likely load, the blocks of
/// the prompt that it does not hold and its zone, and takes the cheapest.
class ReplicaChooser
{
public:
    explicit ReplicaChooser (ChooserOptions options) : m_options (std::move (options)) {}

    /// The chosen candidate; null only when there is none.
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
