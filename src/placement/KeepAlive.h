#pragma once

/// Keep-alive time of idle replicas from the configured prices.

#include "base/Time.h"
#include "config/Catalogue.h"

namespace fernlift::placement
{

/// Keep-alive time after which idling has cost as much as the cold start it avoids. Whenever the
/// next request arrives, the cost is at most twice the minimum possible. `acceleratorShare` is the
/// number of accelerators that the replica's memory occupies; it may be fractional. The result is
/// at most `longest` and, up to that, at least a fixed minimum.
[[nodiscard]] base::Duration keepAliveFor (const config::Prices& prices, base::Duration loadTime,
                                           double acceleratorShare, base::Duration longest);

/// Estimated load time of a target without measured loads.
[[nodiscard]] base::Duration assumedLoadTime (config::Megabytes memory);

}  // namespace fernlift::placement
