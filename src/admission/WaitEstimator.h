#pragma once

/// Estimates how long a new request of a target would wait, from the pace at which waiting requests
/// were dispatched lately.

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
    /// A request of the target was dispatched; `othersWait` tells whether more of them wait, so
    /// that the time to the next one measures the pace.
    void onDispatch (const std::string& target, bool othersWait, base::TimePoint now);
    /// No request of the target waits any longer.
    void onQueueEmpty (const std::string& target);

    /// Expected wait behind `ahead` requests; nothing while too little was measured.
    [[nodiscard]] std::optional<base::Duration> waitBehind (const std::string& target,
                                                            std::size_t ahead,
                                                            base::TimePoint now) const;

private:
    struct Pace
    {
        std::optional<base::TimePoint> lastDispatch;  ///< Set while others wait.
        double meanIntervalMicroseconds = 0;
        std::uint32_t samples = 0;
        base::TimePoint lastSampleAt{};
    };

    std::map<std::string, Pace> m_paces;
};

}  // namespace fernlift::admission
