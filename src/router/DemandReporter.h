#pragma once

/// Tells the controller how many requests wait and run for each target.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::router
{

/// Demand of each target at one moment, by name.
using DemandByTarget = std::map<std::string, cell::Demand>;

class DemandReporter
{
public:
    explicit DemandReporter (base::Duration interval) : m_interval (interval) {}

    void onArrival (const std::string& target) { m_arrivals[target] += 1; }
    /// A request began to wait for a target that has no replica: the next report does not wait for
    /// its turn.
    void onColdTarget() { m_isUrgent = true; }
    /// On a new connection everything is reported again.
    void onConnected();

    [[nodiscard]] bool isDue (base::TimePoint now) const;
    /// What the controller should hear of; nothing when there is nothing.
    [[nodiscard]] std::optional<cell::DemandReport> report (DemandByTarget current,
                                                            base::TimePoint now);
    /// Whether the latest report about `target` stated demand for it.
    [[nodiscard]] bool isStated (const std::string& target) const
    {
        return m_stated.contains (target);
    }

private:
    struct Statement
    {
        cell::Demand demand;
        base::TimePoint statedAt{};
    };

    [[nodiscard]] bool isWorthStating (const cell::Demand& demand, base::TimePoint now) const;

    base::Duration m_interval;
    base::TimePoint m_nextReport{};
    bool m_isUrgent = false;
    std::map<std::string, std::uint32_t> m_arrivals;
    std::map<std::string, Statement> m_stated;  ///< Demand that was last reported and is not nil.
};

}  // namespace fernlift::router
