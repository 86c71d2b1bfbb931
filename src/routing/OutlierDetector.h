#pragma once

/// Ejects runners with consecutive failures from the choice, and restores their weight gradually.

#include <cstdint>
#include <map>

#include "base/Ids.h"
#include "base/Time.h"

namespace fernlift::routing
{

struct OutlierOptions
{
    std::uint32_t failuresToEject = 3;  ///< Consecutive failures that eject a runner.
    base::Duration firstEjection = base::seconds (1);
    base::Duration longestEjection =
        base::seconds (30);  ///< Each ejection is twice as long, up to this.
    base::Duration slowReturn =
        base::seconds (10);     ///< Time from the end of an ejection to full weight.
    double returnWeight = 0.1;  ///< Weight at the end of an ejection.
};

class OutlierDetector
{
public:
    explicit OutlierDetector (OutlierOptions options = {}) : m_options (options) {}

    void onSuccess (const base::RunnerId& runner, base::TimePoint now);
    void onFailure (const base::RunnerId& runner, base::TimePoint now);

    [[nodiscard]] bool isEjected (const base::RunnerId& runner, base::TimePoint now) const;
    /// Weight of the runner: 0 while ejected, then rising from `returnWeight` to 1.
    [[nodiscard]] double weightOf (const base::RunnerId& runner, base::TimePoint now) const;

private:
    struct State
    {
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        base::TimePoint ejectedUntil{};
    };

    OutlierOptions m_options;
    std::map<base::RunnerId, State> m_states;
};

}  // namespace fernlift::routing
