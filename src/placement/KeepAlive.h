#pragma once

/// How long an idle replica is worth keeping, by the operator's prices.

#include "base/Time.h"
#include "config/Catalogue.h"

namespace fernlift::placement
{

/// Keeps a replica until its idle time has cost as much as the cold start that keeping it spares:
/// whatever the next arrival, the cost is at most twice the least possible. `acceleratorShare` is
/// the part of the runner's accelerators that the replica's memory blocks, in accelerators. The
/// answer lies between a shortest residence and `longest`.
[[nodiscard]] base::Duration keepAliveFor (const config::Prices& prices, base::Duration loadTime,
                                           double acceleratorShare, base::Duration longest);

/// Load time of a target whose loads were not measured yet.
[[nodiscard]] base::Duration assumedLoadTime (config::Megabytes memory);

}  // namespace fernlift::placement
