#pragma once

/**
 * Demand and locations of a model in one placement round.
 */

#include <cstddef>
#include <cstdint>

#include "base/Time.h"
#include "placement/EngineIndex.h"

namespace fernlift::placement
{

/// Requests for a model, those for its adapters included.
struct ModelDemand
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t unread = 0;        ///< Running requests in prefill.
    base::TimePoint requestedAt{};   ///< Last request; zero: never.
    base::TimePoint waitingSince{};  ///< Start of the longest wait; zero: none.
    double perSecond = 0;            ///< Arrival rate of requests.
    double tokensPerSecond = 0;      ///< Arrival rate of prompt tokens.
};

struct ModelView
{
    explicit ModelView (const EngineIndex::ModelLocations& where) : locations (&where) {}

    /// Never null. Always up to date, while the other members date from the start of the round.
    const EngineIndex::ModelLocations* locations = nullptr;
    ModelDemand demand;
    std::size_t rateLimitedHolders = 0;  ///< Holders that announce a rate limit.
    std::size_t pendingLoads = 0;        ///< Engines with a running or planned load of it.
    /// Number of requests that its holders can run beside those for other models before they are
    /// congested. Computed only for models with requests.
    double capacity = 0;

    /// Number of engines that hold the model and accept requests.
    [[nodiscard]] std::size_t holders() const { return locations->holders.size(); }
    [[nodiscard]] double requests() const { return demand.waiting + demand.running; }
    /// Mean number of requests per holder.
    [[nodiscard]] double requestsAtHolder() const
    {
        return holders() == 0 ? 0 : requests() / static_cast<double> (holders());
    }
    /// Whether no engine holds the model and no load of it is in progress or planned.
    [[nodiscard]] bool isMissing() const { return holders() == 0 && pendingLoads == 0; }
};

}  // namespace fernlift::placement
