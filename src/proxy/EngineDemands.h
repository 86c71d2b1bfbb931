#pragma once

/// Counts the requests for each model of each service for the reports to the leader.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::proxy
{

/// Model of a service, or an adapter of the model.
struct EngineTarget
{
    std::string service;
    std::string model;
    std::string adapter;  ///< Empty: the model itself.

    // clang-tidy 14 mistakes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const EngineTarget&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Interval between the regular reports of one router when `routers` routers report to the same
/// leader, chosen so that the leader reads a bounded number of reports per second. Urgent reports
/// are sent at once.
[[nodiscard]] base::Duration demandReportInterval (std::uint32_t routers);

class EngineDemands
{
public:
    void onArrival (const EngineTarget& target, std::uint64_t promptTokens);
    void onWaiting (const EngineTarget& target);
    void onWaitEnd (const EngineTarget& target);
    /// Called when a request was refused at once because no runner could take it in time. The next
    /// report counts it as waiting, since its demand would not reach placement otherwise.
    void onRefusedAtOnce (const EngineTarget& target);
    void onRunning (const EngineTarget& target);
    /// Called when the prefill ended or the attempt failed before that.
    void onPrefillEnd (const EngineTarget& target);
    void onRunEnd (const EngineTarget& target);

    /// Returns the report that is due, or nothing. A report is due at once when a request began to
    /// wait, else every `interval` while there is or was demand.
    [[nodiscard]] std::vector<cell::EngineDemand> takeDue (base::TimePoint now,
                                                           base::Duration interval);

private:
    struct Counts
    {
        std::uint32_t waiting = 0;
        std::uint32_t refusedAtOnce = 0;  ///< Requests since the last report.
        std::uint32_t running = 0;
        std::uint32_t prefilling = 0;  ///< Running requests in prefill.
        std::uint32_t arrivals = 0;
        std::uint64_t promptTokens = 0;  ///< Prompt tokens of the arrivals.
        bool isChanged = false;
    };

    std::map<EngineTarget, Counts> m_counts;
    bool m_isUrgent = false;
    base::TimePoint m_reportedAt{};
};

}  // namespace fernlift::proxy
