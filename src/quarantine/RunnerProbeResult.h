#pragma once

/// Result of probing a runner.

#include <cstdint>
#include <string_view>

namespace fernlift::quarantine
{

enum class RunnerProbeResult : std::uint8_t
{
    kGone,     ///< The connection did not open, or ended before the runner sent anything.
    kAlive,    ///< The runner accepts connections, and answers if the probe sends a request.
    kSilent,   ///< The connection opened, but the request of the probe got no answer in time.
    kUnknown,  ///< The probe timed out: the runner may be partitioned from this router.
};

/** Returns the text used in logs, for example "gone". */
[[nodiscard]] constexpr std::string_view toString (RunnerProbeResult probeResult)
{
    switch (probeResult)
    {
        case RunnerProbeResult::kGone:
            return "gone";
        case RunnerProbeResult::kAlive:
            return "alive";
        case RunnerProbeResult::kSilent:
            return "silent";
        case RunnerProbeResult::kUnknown:
            break;
    }
    return "unknown";
}

}  // namespace fernlift::quarantine
