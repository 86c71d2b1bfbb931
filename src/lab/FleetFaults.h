#pragma once

/// Injects faults into a running fleet: in its proxies, its stand-ins and its machine list.

#include <string>

#include "base/Error.h"
#include "lab/FaultProxy.h"
#include "lab/Fleet.h"

namespace fernlift::lab
{

/// Replaces the faults of the proxy before `node`. Fails with kNotFound when it has no proxy.
[[nodiscard]] base::Result<void> setProxyFaults (const Fleet& fleet, const std::string& node,
                                                 const ProxyFaults& faults);
/// Resets all connections through the proxy before `node`.
[[nodiscard]] base::Result<void> resetProxyConnections (const Fleet& fleet,
                                                        const std::string& node);
/// Returns the counters of the proxy before `node` since the proxy started.
[[nodiscard]] base::Result<ProxyCounters> proxyCounters (const Fleet& fleet,
                                                         const std::string& node);
/// Sends a command to POST /standin/faults of a stand-in, for example {"fault":"silent"}.
[[nodiscard]] base::Result<void> setStandinFault (const Fleet& fleet, const std::string& node,
                                                  const std::string& json);
/// Sends a command to POST /standin/machines of the machine list.
[[nodiscard]] base::Result<void> changeMachineList (const Fleet& fleet, const std::string& json);
/// Clears the faults of proxies and stand-ins and resumes frozen processes.
[[nodiscard]] base::Result<void> clearFaults (Fleet& fleet);

}  // namespace fernlift::lab
