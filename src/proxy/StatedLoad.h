#pragma once

/**
 * The load that a runner states in its answers. Pure; the directory and the reports to the cell
 * make use of it.
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
    /** How long work takes on its machine for the moment: 100 as usual, 250 two and a half times as
        long. Not all runners tell it.
    */
    std::optional<std::uint32_t> slowdownPercent{};

    bool operator== (const StatedLoad&) const = default;
};

/** Reads "RUNNING,WAITING,SLOTS,SLOWDOWN"; the last two may be missing, and further ones are left
    out. Nothing when one that must be there is not a whole number, for it may be the text of
    something else.
*/
[[nodiscard]] std::optional<StatedLoad> parseStatedLoad (std::string_view text);

}  // namespace fernlift::proxy
