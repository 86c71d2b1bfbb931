#pragma once

/// Determines which targets need more replicas, and the priority of each need.

#include <cstdint>
#include <string>
#include <vector>

#include "placement/Plan.h"

namespace fernlift::placement
{

/// Need for one more replica of a target.
struct Need
{
    Target target;
    int urgency = kMinUrgency;
    std::int64_t nearestDeadlineMilliseconds = 0;
    std::int64_t oldestWaitMilliseconds = 0;
    bool isRequested = false;  ///< True: requests wait; false: required by minReplicas only.
    std::string reason;
};

/// Needs of all targets, most urgent first.
[[nodiscard]] std::vector<Need> findNeeds (const Plan& plan);

}  // namespace fernlift::placement
