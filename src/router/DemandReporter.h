#pragma once

/// Builds the reports to the controller of how many requests wait and run for each target.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::router
{

/// Demand at one point in time, by target name.
using DemandByTarget = std::map<std::string, cell::Demand>;

class DemandReporter
{
public:
    explicit DemandReporter (base::Duration interval) : m_interval (interval) {}

    void onArrival (const std::string& target) { m_arrivals[target] += 1; }
    /// A request began to wait for a target without a replica. The next report is due at once
    /// instead of after the interval.
    void onColdTarget() { m_isUrgent = true; }
    /// Resets the reported state, so that a new connection gets a complete report.
    void onConnected();

    [[nodiscard]] bool isDue (base::TimePoint now) const;
    /// The demand that changed or has to be repeated; nullopt if there is none.
    [[nodiscard]] std::optional<cell::DemandReport> report (DemandByTarget current,
                                                            base::TimePoint now);
    /// True if the latest report on `target` contained demand for it.
    [[nodiscard]] bool hasReportedDemand (const std::string& target) const
    {
        return m_reported.contains (target);
    }

private:
    struct ReportedDemand
    {
        cell::Demand demand;
        base::TimePoint reportedAt{};
    };

    [[nodiscard]] bool isSignificantChange (const cell::Demand& demand, base::TimePoint now) const;

    base::Duration m_interval;
    base::TimePoint m_nextReport{};
    bool m_isUrgent = false;
    std::map<std::string, std::uint32_t> m_arrivals;
    std::map<std::string, ReportedDemand> m_reported;  ///< Last reported nonzero demand.
};

}  // namespace fernlift::router
