#pragma once

/// Requests that a hollow router generates for itself in place of callers.

#include <cstdint>
#include <optional>

#include "base/Random.h"
#include "base/Time.h"
#include "router/RouterCore.h"
#include "scale/ScaleSizes.h"

namespace fernlift::scale
{

struct HollowDemandOptions
{
    ScaleSizes sizes{};
    double requestsPerSecond = 20;  ///< At one router.
    double adapterShare = 0.2;      ///< Requests for adapters that are in use.
    double claimShare = 0.01;       ///< Requests that may run at most once.
    std::int64_t router = 0;        ///< Number of this router, from 0.
    base::Duration meanService = base::seconds (4);
};

/// One generated request and how long its answer takes.
struct GeneratedRequest
{
    router::RequestHead head;
    base::Duration service{};
};

/// Poisson arrivals. Models are drawn with weights that fall as 1/rank; loads are brought about by
/// requests for idle adapters, each router asking for its own share of them in turn.
class HollowDemand
{
public:
    HollowDemand (HollowDemandOptions options, std::uint64_t seed, base::TimePoint now);

    /// The next request that is due at `now`, if any.
    [[nodiscard]] std::optional<GeneratedRequest> next (base::TimePoint now);

private:
    [[nodiscard]] std::string warmTarget();
    [[nodiscard]] std::string coldTarget();
    [[nodiscard]] GeneratedRequest make (std::string target);
    [[nodiscard]] base::Duration drawn (double meanSeconds);

    HollowDemandOptions m_options;
    base::Random m_random;
    base::TimePoint m_nextWarm;
    base::TimePoint m_nextCold;
    std::int64_t m_coldRequests = 0;
    std::uint64_t m_requests = 0;
};

}  // namespace fernlift::scale
