#pragma once

/// Queries the state of a running fleet over its public interfaces and fernliftctl.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "lab/Fleet.h"

namespace fernlift::lab
{

/// Result of a run of fernliftctl.
struct CtlOutcome
{
    int exitCode = -1;  ///< -1 when it did not end in time.
    std::string output;
};

/// Runs the fernliftctl of the folder `programs` against these controllers and routers.
[[nodiscard]] CtlOutcome runCtl (const std::string& programs,
                                 const std::vector<std::string>& arguments,
                                 const std::vector<base::SocketAddress>& controllers,
                                 const std::vector<base::SocketAddress>& routers);
/// Runs fernliftctl against the controllers and routers of a fleet.
[[nodiscard]] CtlOutcome runCtl (const Fleet& fleet, const std::vector<std::string>& arguments);

/// Returns the value of a series without labels in the Prometheus text format.
[[nodiscard]] std::optional<double> metricValue (std::string_view metrics, std::string_view name);
/// Returns /metrics of one process; empty when it does not answer.
[[nodiscard]] std::string fetchMetrics (const base::SocketAddress& address);

/// Returns the name of the running controller that reports itself leader, if any.
[[nodiscard]] std::optional<std::string> findLeader (const Fleet& fleet);
/// Waits until a controller leads; fails with kNoQuorum.
[[nodiscard]] base::Result<std::string> waitForLeader (const Fleet& fleet, base::Duration timeout);
/// Waits until every running router reports that it is ready; fails with kRequestTimeout.
[[nodiscard]] base::Result<void> waitForRouters (const Fleet& fleet, base::Duration timeout);
/// Counts the replicas of a target in any phase, over all running engines.
[[nodiscard]] std::size_t countLoadedReplicas (const Fleet& fleet, const std::string& target);
/// Returns the name of a running engine on which a replica of the target is ready, if any.
[[nodiscard]] std::optional<std::string> findEngineWith (const Fleet& fleet,
                                                         const std::string& target);
/// Counts the replicas of a target that are ready, over all running engines.
[[nodiscard]] std::size_t countReadyReplicas (const Fleet& fleet, const std::string& target);

}  // namespace fernlift::lab
