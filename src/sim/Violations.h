#pragma once

/// Collects the invariant violations of a run.

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
    std::string invariant;  ///< Short name, equal in every run.
    std::string detail;
};

class Violations
{
public:
    Violations (const EventQueue& queue, Trace& trace) : m_queue (queue), m_trace (trace) {}

    void add (std::string invariant, std::string detail);
    [[nodiscard]] const std::vector<Violation>& list() const { return m_list; }
    [[nodiscard]] bool isEmpty() const { return m_list.empty(); }

private:
    /// Violations beyond this number are not listed, as the run counts as one failure anyway.
    static constexpr std::size_t kMaxKept = 20;

    const EventQueue& m_queue;
    Trace& m_trace;
    std::vector<Violation> m_list;
};

}  // namespace fernlift::sim
