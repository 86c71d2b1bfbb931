#pragma once

/**
 * Load that a runner states in its answers. Pure. Used by the instance directory and by the load
 * reports to the cell.
 */

#include <cstdint>
#include <optional>
#include <string_view>

namespace fernlift::proxy
{

struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;  ///< 0: not stated.
    /** Current duration of work on the machine in percent: 100 is nominal, 250 two and a half times
        as long. Not all runners state it.
    */
    std::optional<std::uint32_t> slowdownPercent{};

    bool operator== (const StatedLoad&) const = default;
};

/** Parses "RUNNING,WAITING,SLOTS,SLOWDOWN". The last two numbers are optional, and further ones are
    ignored. Returns nothing when a required number is invalid, since the field may then have
    another meaning.
*/
[[nodiscard]] std::optional<StatedLoad> parseStatedLoad (std::string_view text);

}  // namespace fernlift::proxy
