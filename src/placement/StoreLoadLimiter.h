#pragma once

/// Limits the concurrency and the rate of loads from the weight store. The store may slow down at
/// any time, so its current throughput is estimated from the durations of the loads.

#include <cstdint>
#include <map>
#include <vector>

#include "base/Time.h"
#include "config/Catalogue.h"
#include "placement/Placement.h"

namespace fernlift::placement
{

/// Additive increase and multiplicative decrease of the concurrency, up to the limit of the
/// catalogue, and a token bucket with the rate of the catalogue. The state is not replicated: a new
/// leader starts from the limits of the catalogue.
class StoreLoadLimiter
{
public:
    /// Updates the estimate with loads that began, ended or were abandoned since the last call.
    void observe (const config::WeightStoreLimits& limits, const std::vector<ReplicaView>& replicas,
                  base::TimePoint now);

    /// Limit of concurrent loads; at least one.
    [[nodiscard]] std::uint32_t concurrency() const { return m_concurrency; }
    /// Number of further loads that may begin now within the rate limit.
    [[nodiscard]] std::uint32_t startsAllowed() const;

private:
    struct Load
    {
        base::TimePoint startedAt{};
        engine::Megabytes memory = 0;
    };

    void refill (const config::WeightStoreLimits& limits, base::TimePoint now);
    void onReady (const Load& load, base::TimePoint now);
    /// Lowers the concurrency when a load in progress has exceeded its expected duration.
    void findOverdue (base::TimePoint now);
    void addSample (double secondsPerMegabyte, const Load& load, base::TimePoint now);
    void reduceConcurrency (base::TimePoint now);

    std::uint32_t m_limit = 0;  ///< Limit of the catalogue; 0 before the first observation.
    std::uint32_t m_concurrency = 1;
    double m_tokens = 0;
    base::TimePoint m_refilledAt{};
    base::TimePoint m_slowedAt{};
    double m_nominalSecondsPerMegabyte = 0;  ///< 0 until a load has ended.
    std::map<base::ReplicaId, Load> m_loads;
};

}  // namespace fernlift::placement
