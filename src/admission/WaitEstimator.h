#pragma once

/// Estimates how long a new request of a target would wait, from the recent intervals between
/// dispatches of waiting requests.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"

namespace fernlift::admission
{

class WaitEstimator
{
public:
    /// A request of the target was dispatched. `othersWait` states whether more requests of the
    /// target wait, in which case the time to the next dispatch is a sample.
    void onDispatch (const std::string& target, bool othersWait, base::TimePoint now);
    /// No request of the target is waiting any longer.
    void onQueueEmpty (const std::string& target);

    /// Expected wait behind `ahead` requests; nothing while there are too few recent samples.
    [[nodiscard]] std::optional<base::Duration> waitBehind (const std::string& target,
                                                            std::size_t ahead,
                                                            base::TimePoint now) const;

private:
    struct DispatchRate
    {
        std::optional<base::TimePoint> lastDispatch;  ///< Set while other requests wait.
        double meanIntervalMicroseconds = 0;
        std::uint32_t samples = 0;
        base::TimePoint lastSampleAt{};
    };

    std::map<std::string, DispatchRate> m_rates;
};

}  // namespace fernlift::admission
