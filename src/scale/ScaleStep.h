#pragma once

/// One step of a scale run: a cell of true controllers with hollow routers and hollow runners,
/// started, left to settle, measured and stopped.

#include <cstdint>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "lab/Fleet.h"
#include "scale/ScaleTable.h"

namespace fernlift::scale
{

struct StepOptions
{
    std::string dimension;  ///< Name of the size that this step belongs to.
    ScaleSizes sizes;
    std::int64_t size = 0;      ///< Of the stepped one.
    lab::FleetFolders folders;  ///< `run` is the step's own folder.
    std::string program;        ///< Path of fernlift-fleet, for the hollow processes.
    std::uint64_t seed = 1;
    double requestsPerSecond = 20;         ///< At each router.
    double runnerArrivalsPerSecond = 3.7;  ///< At each runner.
    base::Duration settle = base::seconds (8);
    base::Duration measure = base::seconds (10);
    /// Routers that share a process also share its thread: each waits while the others parse a
    /// configuration.
    std::int64_t routersPerProcess = 20;
    std::vector<std::string> controllerFlags;  ///< Passed on to each controller.
};

/// Starts fewer than 20 processes and ends all of them. Fails when the cell does not come up or the
/// leader changes while it is measured.
[[nodiscard]] base::Result<std::vector<Measurement>> runStep (const StepOptions& options);

}  // namespace fernlift::scale
