#pragma once

/// Counts the requests for each model of each service, for the reports to the leader.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::proxy
{

/// A model of a service, or an adapter of it.
struct EngineTarget
{
    std::string service;
    std::string model;
    std::string adapter;  ///< Empty: the model itself.

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const EngineTarget&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Time between steady reports of one router when `routers` report to the same leader: the leader
/// reads a bounded number a second. What is urgent goes out at once all the same.
[[nodiscard]] base::Duration demandReportInterval (std::uint32_t routers);

class EngineDemands
{
public:
    void onArrival (const EngineTarget& target, std::uint64_t promptTokens);
    void onWaiting (const EngineTarget& target);
    void onWaitEnd (const EngineTarget& target);
    /// A request was refused at once, since no runner could take it in time. The next report counts
    /// it as one that waits: placement would not hear of it otherwise.
    void onTurnedAway (const EngineTarget& target);
    void onRunning (const EngineTarget& target);
    /// The runner has read the prompt and begins to answer, or never will.
    void onRead (const EngineTarget& target);
    void onRunEnd (const EngineTarget& target);

    /// The report that is due; nothing when there is none. One is due at once when a request began
    /// to wait, else every `interval` while there is or was demand.
    [[nodiscard]] std::vector<cell::EngineDemand> takeDue (base::TimePoint now,
                                                           base::Duration interval);

private:
    struct Counts
    {
        std::uint32_t waiting = 0;
        std::uint32_t turnedAway = 0;  ///< Since the last report.
        std::uint32_t running = 0;
        std::uint32_t unread = 0;  ///< Of the running.
        std::uint32_t arrivals = 0;
        std::uint64_t promptTokens = 0;  ///< Of the arrivals.
        bool isChanged = false;
    };

    std::map<EngineTarget, Counts> m_counts;
    bool m_isUrgent = false;
    base::TimePoint m_reportedAt{};
};

}  // namespace fernlift::proxy
