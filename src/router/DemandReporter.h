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
    explicit DemandReporter (base::Duration interval) : interval_ (interval) {}

    void onArrival (const std::string& target) { arrivals_[target] += 1; }
    /// A request began to wait for a target that has no replica: the next report does not wait for
    /// its turn.
    void onColdTarget() { isUrgent_ = true; }
    /// On a new connection everything is reported again.
    void onConnected();

    [[nodiscard]] bool isDue (base::TimePoint now) const;
    /// What the controller should hear of; nothing when there is nothing.
    [[nodiscard]] std::optional<cell::DemandReport> report (DemandByTarget current,
                                                            base::TimePoint now);
    /// Whether the latest report about `target` stated demand for it.
    [[nodiscard]] bool isStated (const std::string& target) const
    {
        return stated_.contains (target);
    }

private:
    struct Statement
    {
        cell::Demand demand;
        base::TimePoint statedAt{};
    };

    [[nodiscard]] bool isWorthStating (const cell::Demand& demand, base::TimePoint now) const;

    base::Duration interval_;
    base::TimePoint nextReport_{};
    bool isUrgent_ = false;
    std::map<std::string, std::uint32_t> arrivals_;
    std::map<std::string, Statement> stated_;  ///< Demand that was last reported and is not nil.
};

}  // namespace fernlift::router
