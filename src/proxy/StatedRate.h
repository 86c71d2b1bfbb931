#pragma once

/**
 * The rate that a runner states in its answers: the requests a second that it takes from all
 * routers together, for as long as it says so. Pure.
 */

#include <string>
#include <string_view>
#include <variant>

#include "http/Message.h"

namespace fernlift::proxy
{

/** The answer states no rate, or one so high that no runner's traffic comes near. */
struct UnlimitedRate
{
    bool operator== (const UnlimitedRate&) const = default;
};

/** Requests a second, 0 or more. */
struct LimitedRate
{
    double perSecond = 0;

    bool operator== (const LimitedRate&) const = default;
};

/** A field is there and is no rate: it changes nothing of what was known. */
struct UnreadableRate
{
    std::string text;  ///< The beginning of the field, for logs.

    bool operator== (const UnreadableRate&) const = default;
};

using StatedRate = std::variant<UnlimitedRate, LimitedRate, UnreadableRate>;

/** From here on a rate limits nothing: a runner of 64 slots whose requests take 60 ms ends as many.
 */
constexpr double kUnlimitedFrom = 1000;

/** Reads the fields of that name; an empty name stands for a platform that has none. A rate is a
    decimal number without a sign, blanks around it aside. Of several fields the lowest rate that
    can be read counts: the runner asks for no more than that.
*/
[[nodiscard]] StatedRate readStatedRate (const http::Headers& headers, std::string_view field);

}  // namespace fernlift::proxy
