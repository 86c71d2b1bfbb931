#pragma once

/// Works out which targets need more replicas, and how pressing each need is.

#include <cstdint>
#include <string>
#include <vector>

#include "placement/Plan.h"

namespace fernlift::placement
{

/// One more replica of a target.
struct Need
{
    Target target;
    int urgency = kLeastUrgency;
    std::int64_t nearestDeadlineMilliseconds = 0;
    std::int64_t oldestWaitMilliseconds = 0;
    bool isRequested = false;  ///< Requests wait; false: only kept by minReplicas.
    std::string reason;
};

/// Needs, most pressing first.
[[nodiscard]] std::vector<Need> findNeeds (const Plan& plan);

}  // namespace fernlift::placement
