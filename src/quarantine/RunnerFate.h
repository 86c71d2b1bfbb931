#pragma once

/// What became of a runner that broke off an answer.

#include <cstdint>
#include <string_view>

namespace fernlift::quarantine
{

enum class RunnerFate : std::uint8_t
{
    kGone,     ///< Nothing listens at its address.
    kAlive,    ///< It takes connections.
    kUnknown,  ///< No answer came in time: it may be cut off.
};

/** For logs, for example "gone". */
[[nodiscard]] constexpr std::string_view nameOf (RunnerFate fate)
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
