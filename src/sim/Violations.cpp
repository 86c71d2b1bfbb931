#include "sim/Violations.h"

#include <utility>

namespace fernlift::sim
{

void Violations::add (std::string invariant, std::string detail)
{
    if (list_.size() >= kMaximumKept)
        return;
    trace_.add (queue_.now(), "VIOLATION " + invariant + ": " + detail);
    list_.push_back ({ queue_.now(), std::move (invariant), std::move (detail) });
}

}  // namespace fernlift::sim
