#pragma once

/// Processor time and memory of another process, as the kernel states them under /proc.

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Error.h"

namespace fernlift::scale
{

struct ProcessUse
{
    double processorSeconds = 0;  ///< User and system, since the start of the process.
    std::uint64_t residentKilobytes = 0;
    std::uint64_t peakKilobytes = 0;  ///< Largest resident size so far.
};

/// User and system time in clock ticks from the text of /proc/PID/stat. The name of the program
/// may hold spaces and brackets. Fails with kMessageInvalid.
[[nodiscard]] base::Result<std::uint64_t> parseProcessorTicks (std::string_view statText);
/// A field in kilobytes, for example "VmRSS", of the text of /proc/PID/status. Fails with
/// kMessageInvalid.
[[nodiscard]] base::Result<std::uint64_t> parseStatusKilobytes (std::string_view statusText,
                                                                std::string_view field);
/// Fails with kNotFound when there is no such process.
[[nodiscard]] base::Result<ProcessUse> readProcessUse (std::int64_t processId);

}  // namespace fernlift::scale
