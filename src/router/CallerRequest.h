#pragma once

/// Parses the requests of callers: target, class, deadline and idempotency key, and the part that
/// is forwarded to the back end. docs/caller-interface.md describes the interface.

#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Ids.h"
#include "http/Message.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

/// A request of a caller in the form in which it is sent to back ends.
struct CallerRequest
{
    RequestHead head;
    std::string method;
    std::string path;       ///< Path at the back end, with the query.
    http::Headers headers;  ///< Forwarded header fields, without those set per attempt.
    std::string body;
};

/// True if requests to `path` are forwarded to back ends.
[[nodiscard]] bool isServedByBackEnds (std::string_view path);

/// Returns the identifier in X-Request-Id, or `fallback` if the field is missing. Fails with
/// kInvalidRequest if it is too long or has characters other than letters, digits and "._:-".
[[nodiscard]] base::Result<base::RequestId> requestIdOf (const http::Request& request,
                                                         const base::RequestId& fallback);

/// Parses a request whose path passes isServedByBackEnds(). Fails with kInvalidRequest,
/// kMethodNotAllowed or kNotFound.
[[nodiscard]] base::Result<CallerRequest> parseCallerRequest (const http::Request& request,
                                                              const base::RequestId& id);

/// True if a header field applies to one connection only and is never forwarded.
[[nodiscard]] bool isHopByHop (std::string_view headerName);

}  // namespace fernlift::router
