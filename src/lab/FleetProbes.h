#pragma once

/// Questions that tests and the demo ask a running fleet from outside.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "lab/Fleet.h"

namespace fernlift::lab
{

/// What a run of fernliftctl gave.
struct CtlOutcome
{
    int exitCode = -1;  ///< -1 when it did not end in time.
    std::string output;
};

/// Runs fernliftctl of a folder of programs against these controllers and routers.
[[nodiscard]] CtlOutcome runCtl (const std::string& programs,
                                 const std::vector<std::string>& arguments,
                                 const std::vector<base::SocketAddress>& controllers,
                                 const std::vector<base::SocketAddress>& routers);
/// Runs fernliftctl against the controllers and routers of a fleet.
[[nodiscard]] CtlOutcome runCtl (const Fleet& fleet, const std::vector<std::string>& arguments);

/// Value of a series without labels in the Prometheus text format.
[[nodiscard]] std::optional<double> metricValue (std::string_view metrics, std::string_view name);
/// /metrics of one process; empty when it does not answer.
[[nodiscard]] std::string fetchMetrics (const base::SocketAddress& address);

/// Name of the running controller that leads, if one says so.
[[nodiscard]] std::optional<std::string> findLeader (const Fleet& fleet);
/// Waits until a controller leads; fails with kNoQuorum.
[[nodiscard]] base::Result<std::string> waitForLeader (const Fleet& fleet, base::Duration timeout);
/// Waits until every running router says it is ready; fails with kRequestTimeout.
[[nodiscard]] base::Result<void> waitForRouters (const Fleet& fleet, base::Duration timeout);
/// Replicas of a target that the engines hold now, in whatever phase, over all running engines.
[[nodiscard]] std::size_t countLoadedReplicas (const Fleet& fleet, const std::string& target);
/// Name of a running engine on which a replica of the target is ready.
[[nodiscard]] std::optional<std::string> findEngineWith (const Fleet& fleet,
                                                         const std::string& target);
/// Replicas of a target that are ready now, over all running engines.
[[nodiscard]] std::size_t countReadyReplicas (const Fleet& fleet, const std::string& target);

}  // namespace fernlift::lab
