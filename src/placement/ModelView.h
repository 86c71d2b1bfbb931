#pragma once

/**
 * A model as a round of decisions sees it: who wants it and where it is.
 */

#include <cstddef>
#include <cstdint>

#include "base/Time.h"
#include "placement/EngineIndex.h"

namespace fernlift::placement
{

/// Requests for a model with all its adapters.
struct ModelDemand
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t unread = 0;        ///< Of the running, whose answer has not begun.
    base::TimePoint requestedAt{};   ///< Zero: never.
    base::TimePoint waitingSince{};  ///< Of the request that waits longest; zero: none.
    double perSecond = 0;            ///< Requests that arrive.
    double tokensPerSecond = 0;      ///< Of their prompts.
};

struct ModelView
{
    explicit ModelView (const EngineIndex::ModelLocations& where) : locations (&where) {}

    /// Never null; as the engines are now, while the other members are of the begin of the round.
    const EngineIndex::ModelLocations* locations = nullptr;
    ModelDemand demand;
    std::size_t rateLimitedHolders = 0;  ///< Of the holders, that state a rate.
    std::size_t pendingLoads = 0;        ///< Engines that load it or will.
    /// Requests that its holders could run beside those for other models before they are crowded;
    /// worked out for models with requests only.
    double capacity = 0;

    /// Engines that hold it and take requests.
    [[nodiscard]] std::size_t holders() const { return locations->holders.size(); }
    [[nodiscard]] double requests() const { return demand.waiting + demand.running; }
    /// Of these, at each holder.
    [[nodiscard]] double requestsAtHolder() const
    {
        return holders() == 0 ? 0 : requests() / static_cast<double> (holders());
    }
    /// Nobody holds it, and no load of it is under way or planned.
    [[nodiscard]] bool isMissing() const { return holders() == 0 && pendingLoads == 0; }
};

}  // namespace fernlift::placement
