#pragma once

/// Starting a process of hollow nodes.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "lab/ChildProcess.h"
#include "scale/ScaleSizes.h"

namespace fernlift::scale
{

struct HollowProcessPlan
{
    std::string program;     ///< Path of fernlift-fleet.
    std::string role;        ///< Its command: "scale-routers" or "scale-runners".
    std::string filePrefix;  ///< Path before ".log" and ".address".
    ScaleSizes sizes;
    std::uint64_t seed = 1;
    std::vector<std::string> arguments;  ///< Further flags.
};

struct HollowProcess
{
    std::unique_ptr<lab::ChildProcess> process;
    base::SocketAddress address;  ///< Of its /metrics or its machine list.
};

/// Starts the process and waits until it listens. Fails with kInternal when it does not.
[[nodiscard]] base::Result<HollowProcess> startHollowProcess (const HollowProcessPlan& plan,
                                                              base::Duration timeout);

}  // namespace fernlift::scale
