#pragma once

/**
 * The Retry-After field of an answer: a number of seconds, fractions included, or an HTTP date
 * (RFC 9110, section 10.2.3). Pure.
 */

#include <string>
#include <variant>

#include "base/Time.h"
#include "http/Message.h"

namespace fernlift::http
{

/** The answer has no Retry-After field. */
struct NoRetryAfter
{
    bool operator== (const NoRetryAfter&) const = default;
};

/** Delay before the next request, 0 or more and at most kMaxRetryAfter. */
struct RetryAfterDelay
{
    base::Duration delay{};

    bool operator== (const RetryAfterDelay&) const = default;
};

/** The field is present but invalid. */
struct UnreadableRetryAfter
{
    std::string text;  ///< Beginning of the field, for logs.

    bool operator== (const UnreadableRetryAfter&) const = default;
};

using RetryAfter = std::variant<NoRetryAfter, RetryAfterDelay, UnreadableRetryAfter>;

/** Longer delays are shortened to this, so that one wrong field does not shut a server out for
    good.
*/
constexpr base::Duration kMaxRetryAfter = std::chrono::minutes (10);

/** Parses the Retry-After fields of an answer. With several fields the longest valid delay applies,
    because the server accepts nothing before that. A date is taken relative to the Date field of
    the same answer, so that the clocks of the machines need not agree; without it, or before it,
    the date is unreadable.
*/
[[nodiscard]] RetryAfter readRetryAfter (const Headers& headers);

}  // namespace fernlift::http
