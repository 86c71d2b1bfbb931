#pragma once

/// How many loads may use the weight store at once and how soon the next may begin. The store slows
/// without warning; its pace is found from the loads themselves.

#include <cstdint>
#include <map>
#include <vector>

#include "base/Time.h"
#include "config/Catalogue.h"
#include "placement/Placement.h"

namespace fernlift::placement
{

/// Additive increase, multiplicative decrease below the concurrency that the catalogue allows, and
/// a token bucket at its rate. Lost with leadership; a new leader starts from the catalogue.
class StorePace
{
public:
    /// Takes note of loads that began, ended or were given up since the last call.
    void observe (const config::WeightStoreLimits& limits, const std::vector<ReplicaView>& replicas,
                  base::TimePoint now);

    /// Loads that may use the store at once; at least one.
    [[nodiscard]] std::uint32_t concurrency() const { return m_concurrency; }
    /// Further loads that may begin now without passing the store's rate.
    [[nodiscard]] std::uint32_t startsAllowed() const;

private:
    struct Load
    {
        base::TimePoint startedAt{};
        engine::Megabytes memory = 0;
    };

    void refill (const config::WeightStoreLimits& limits, base::TimePoint now);
    void onReady (const Load& load, base::TimePoint now);
    /// A load that is not ready although it should be is a sign that the store has slowed.
    void findOverdue (base::TimePoint now);
    void addSample (double secondsPerMegabyte, const Load& load, base::TimePoint now);
    void reduceConcurrency (base::TimePoint now);

    std::uint32_t m_limit = 0;  ///< Of the catalogue; 0 before the first observation.
    std::uint32_t m_concurrency = 1;
    double m_tokens = 0;
    base::TimePoint m_refilledAt{};
    base::TimePoint m_slowedAt{};
    double m_nominalSecondsPerMegabyte = 0;  ///< 0: no load has ended yet.
    std::map<base::ReplicaId, Load> m_loads;
};

}  // namespace fernlift::placement
