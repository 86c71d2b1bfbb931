#pragma once

/// Faults that tests and long runs bring about in a running fleet.

#include <string>

#include "base/Error.h"
#include "lab/FaultProxy.h"
#include "lab/Fleet.h"

namespace fernlift::lab
{

/// Replaces the faults of the proxy before `node`. Fails with kNotFound when it has none.
[[nodiscard]] base::Result<void> setProxyFaults (const Fleet& fleet, const std::string& node,
                                                 const ProxyFaults& faults);
/// Resets all connections through the proxy before `node`.
[[nodiscard]] base::Result<void> resetProxyConnections (const Fleet& fleet,
                                                        const std::string& node);
/// What the proxy before `node` has passed since it started.
[[nodiscard]] base::Result<ProxyCounters> proxyCounters (const Fleet& fleet,
                                                         const std::string& node);
/// Sends a command to POST /standin/faults of a stand-in, for example {"fault":"silent"}.
[[nodiscard]] base::Result<void> setStandinFault (const Fleet& fleet, const std::string& node,
                                                  const std::string& json);
/// Sends a command to POST /standin/machines of the machine list.
[[nodiscard]] base::Result<void> changeMachineList (const Fleet& fleet, const std::string& json);
/// Ends all faults: of proxies, of stand-ins, and frozen processes.
[[nodiscard]] base::Result<void> clearFaults (Fleet& fleet);

}  // namespace fernlift::lab
