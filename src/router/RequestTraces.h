#pragma once

/// Traces of the latest requests, for diagnosis by operators.

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace fernlift::router
{

class RequestTraces
{
public:
    explicit RequestTraces (std::size_t maximum) : m_maximum (maximum) {}

    /// Begins the trace of a request. The oldest trace is evicted when the limit is reached.
    void begin (const base::RequestId& id, const std::string& target, base::TimePoint now,
                base::UnixMilliseconds unixNow);
    /// Adds a step to a trace, unless the trace was evicted or has its maximum of steps.
    void add (const base::RequestId& id, base::TimePoint now, std::string step);
    /// The trace as JSON; empty if there is no trace of the request.
    [[nodiscard]] std::string toJson (const base::RequestId& id) const;

private:
    struct Step
    {
        base::TimePoint at{};
        std::string text;
    };
    struct Trace
    {
        std::string target;
        base::TimePoint arrivedAt{};
        base::UnixMilliseconds arrivedUnix = 0;
        std::vector<Step> steps;
    };

    std::size_t m_maximum;
    std::deque<base::RequestId> m_order;
    std::unordered_map<base::RequestId, Trace> m_traces;
};

}  // namespace fernlift::router
