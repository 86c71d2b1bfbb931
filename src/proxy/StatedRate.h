#pragma once

/**
 * Request rate that a runner states in its answers: the requests per second that it accepts from
 * all routers together, for as long as its answers state it. Pure.
 */

#include <string>
#include <string_view>
#include <variant>

#include "http/Message.h"

namespace fernlift::proxy
{

/** The answer states no rate, or one beyond any possible traffic of a runner. */
struct UnlimitedRate
{
    bool operator== (const UnlimitedRate&) const = default;
};

/** Requests per second, 0 or more. */
struct LimitedRate
{
    double perSecond = 0;

    bool operator== (const LimitedRate&) const = default;
};

/** The field is present but invalid, which does not change the known rate. */
struct UnreadableRate
{
    std::string text;  ///< Beginning of the field, for logs.

    bool operator== (const UnreadableRate&) const = default;
};

using StatedRate = std::variant<UnlimitedRate, LimitedRate, UnreadableRate>;

/** A rate from this value on is no limit: a runner with 64 slots and requests of 60 ms completes
    about as many.
*/
constexpr double kUnlimitedThreshold = 1000;

/** Parses the fields named `field`; an empty name means that the platform has no such field. A rate
    is a decimal number without a sign, optionally surrounded by blanks. With several fields the
    lowest valid rate applies, because the runner accepts no more than that.
*/
[[nodiscard]] StatedRate readStatedRate (const http::Headers& headers, std::string_view field);

}  // namespace fernlift::proxy
