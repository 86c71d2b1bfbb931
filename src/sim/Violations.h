#pragma once

/// What broke in a run.

#include <string>
#include <vector>

#include "base/Time.h"
#include "sim/EventQueue.h"
#include "sim/Trace.h"

namespace fernlift::sim
{

struct Violation
{
    base::TimePoint at{};
    std::string invariant;  ///< Short name, the same for every run.
    std::string detail;
};

class Violations
{
public:
    Violations (const EventQueue& queue, Trace& trace) : queue_ (queue), trace_ (trace) {}

    void add (std::string invariant, std::string detail);
    [[nodiscard]] const std::vector<Violation>& list() const { return list_; }
    [[nodiscard]] bool isEmpty() const { return list_.empty(); }

private:
    /// More are counted as one and the same failure.
    static constexpr std::size_t kMaximumKept = 20;

    const EventQueue& queue_;
    Trace& trace_;
    std::vector<Violation> list_;
};

}  // namespace fernlift::sim
