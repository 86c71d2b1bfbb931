#pragma once

/// Readings of the processes of one step and what happened between two readings.

#include <cstdint>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "scale/ControlMeter.h"
#include "scale/ProcessMeter.h"
#include "scale/ScaleTable.h"

namespace fernlift::scale
{

/// One process that is metered.
struct MeteredProcess
{
    std::string role;  ///< As in Measurement.
    std::int64_t processId = 0;
    base::SocketAddress metricsAddress;
    /// The values are divided by this, to give the mean of the nodes that share the process.
    double nodes = 1;
};

/// What one process stated at one moment.
struct Reading
{
    base::TimePoint at{};
    ProcessUse use;
    TrafficByKind traffic;
    std::string metrics;  ///< Whole text of /metrics.
};

/// Fails when the process is gone or does not answer.
[[nodiscard]] base::Result<Reading> readProcess (const MeteredProcess& process,
                                                 const base::Clock& clock);

/// A quantity with its unit, and its value.
struct Quantity
{
    std::string name;
    double value = 0;
};

/// Processor share, memory and control traffic between two readings of one process, and the rates
/// of the counters named in `counters`.
[[nodiscard]] std::vector<Quantity> quantitiesBetween (const MeteredProcess& process,
                                                       const Reading& before, const Reading& after,
                                                       const std::vector<std::string>& counters);

/// What one process gave: values a node, and the number of its nodes.
struct RoleQuantities
{
    std::string role;
    double nodes = 1;
    std::vector<Quantity> quantities;
};

/// Mean of each quantity over all nodes of a role, in order of first appearance. A quantity that a
/// process does not have counts as 0 there.
[[nodiscard]] std::vector<Quantity> meansOf (const std::string& role,
                                             const std::vector<RoleQuantities>& readings);

}  // namespace fernlift::scale
