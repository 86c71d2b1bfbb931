#pragma once

/// Error answers in their common JSON form.

#include <optional>
#include <string>

#include "base/Error.h"
#include "base/Time.h"
#include "http/Server.h"

namespace fernlift::http
{

/// A complete answer, ready for Responder::send.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;

    void sendTo (Responder& responder) const { responder.send (status, headers, body); }
};

/// The JSON object of an error: {"error":{"kind","message","execution","request_id",
/// "retry_after_ms"}}; the last two only when known.
[[nodiscard]] std::string errorJson (const base::Error& error, base::Execution execution,
                                     const std::string& requestId,
                                     std::optional<base::Duration> retryAfter);
/// The answer with errorJson() as body, the HTTP status of the error's kind, and Retry-After in
/// whole seconds.
[[nodiscard]] Response errorResponse (const base::Error& error, base::Execution execution,
                                      const std::string& requestId = {},
                                      std::optional<base::Duration> retryAfter = std::nullopt);
/// As above, with the default execution of the error's kind.
[[nodiscard]] Response errorResponse (const base::Error& error);
/// An answer with a JSON body.
[[nodiscard]] Response jsonResponse (int status, std::string json);

}  // namespace fernlift::http
