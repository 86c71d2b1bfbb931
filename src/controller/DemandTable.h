#pragma once

/// Waiting and running requests that the routers reported, added up by target.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "placement/Placement.h"

namespace fernlift::controller
{

/// Identifies a connection of a router, as in ControllerCore.h.
using DemandSource = std::uint64_t;

class DemandTable
{
public:
    /// Demand for further targets is ignored.
    static constexpr std::size_t kMaxTargets = 20'000;

    /// Applies a report. A later report of the same source replaces the demand for the targets that
    /// it names.
    void report (DemandSource source, const cell::DemandReport& report, base::TimePoint now);
    void forget (DemandSource source);
    /// Removes demand that its source has not reported again for 30 s.
    void expire (base::TimePoint now);

    /// Returns the sum over all sources.
    [[nodiscard]] placement::TargetDemand total (const std::string& target) const;
    [[nodiscard]] std::map<std::string, placement::TargetDemand> totals() const;
    /// Returns the number of sources with waiting or running requests for a target.
    [[nodiscard]] std::uint32_t sourceCount (const std::string& target) const;
    [[nodiscard]] std::vector<DemandSource> sourcesOf (const std::string& target) const;
    [[nodiscard]] bool hasDemand (DemandSource source, const std::string& target) const;

private:
    struct SourceDemand
    {
        cell::Demand demand;
        base::TimePoint reportedAt{};
    };

    std::map<std::string, std::map<DemandSource, SourceDemand>> m_demands;
};

}  // namespace fernlift::controller
