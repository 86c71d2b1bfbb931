#pragma once

/// Requests that wait and run at the routers, added up by target.

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
    static constexpr std::size_t kMaximumTargets = 20'000;

    /// Takes a report; later reports of a source replace what it said of the same targets.
    void report (DemandSource source, const cell::DemandReport& report, base::TimePoint now);
    void forget (DemandSource source);
    /// Drops statements that were not renewed for long.
    void expire (base::TimePoint now);

    /// Sum over all sources.
    [[nodiscard]] placement::TargetDemand total (const std::string& target) const;
    [[nodiscard]] std::map<std::string, placement::TargetDemand> totals() const;
    /// Sources with waiting or running requests for a target.
    [[nodiscard]] std::uint32_t askers (const std::string& target) const;
    [[nodiscard]] std::vector<DemandSource> sourcesOf (const std::string& target) const;
    [[nodiscard]] bool asks (DemandSource source, const std::string& target) const;

private:
    struct Statement
    {
        cell::Demand demand;
        base::TimePoint statedAt{};
    };

    std::map<std::string, std::map<DemandSource, Statement>> m_statements;
};

}  // namespace fernlift::controller
