#pragma once

/// Result of probing a runner whose answer was interrupted.

#include <cstdint>
#include <string_view>

namespace fernlift::quarantine
{

enum class RunnerFate : std::uint8_t
{
    kGone,     ///< Nothing listens at the runner's address.
    kAlive,    ///< The runner accepts connections.
    kUnknown,  ///< The probe timed out: the runner may be partitioned from this router.
};

/** Returns the text used in logs, for example "gone". */
[[nodiscard]] constexpr std::string_view toString (RunnerFate fate)
{
    switch (fate)
    {
        case RunnerFate::kGone:
            return "gone";
        case RunnerFate::kAlive:
            return "alive";
        case RunnerFate::kUnknown:
            break;
    }
    return "unknown";
}

}  // namespace fernlift::quarantine
