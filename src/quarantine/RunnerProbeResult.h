#pragma once

/// Result of probing a runner whose answer was interrupted.

#include <cstdint>
#include <string_view>

namespace fernlift::quarantine
{

enum class RunnerProbeResult : std::uint8_t
{
    kGone,     ///< Nothing listens at the runner's address.
    kAlive,    ///< The runner accepts connections.
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
        case RunnerProbeResult::kUnknown:
            break;
    }
    return "unknown";
}

}  // namespace fernlift::quarantine
