#pragma once

/// Reads what callers send: which target, class, deadline and key a request names, and what of it
/// goes on to the back end. docs/caller-interface.md describes the interface.

#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Ids.h"
#include "http/Message.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

/// A request of a caller and the form in which back ends get it.
struct CallerRequest
{
    RequestHead head;
    std::string method;
    std::string path;       ///< At the back end, with the query.
    http::Headers headers;  ///< To pass on, without those of single attempts.
    std::string body;
};

/// Whether `path` is one that back ends serve.
[[nodiscard]] bool isServedByBackEnds (std::string_view path);

/// The identifier a caller gave its request in X-Request-Id, else `fallback`. Fails with
/// kInvalidRequest when it is too long or has other characters than letters, digits and "._:-".
[[nodiscard]] base::Result<base::RequestId> requestIdOf (const http::Request& request,
                                                         const base::RequestId& fallback);

/// Reads a request to a path of isServedByBackEnds(). Fails with kInvalidRequest or
/// kMethodNotAllowed.
[[nodiscard]] base::Result<CallerRequest> parseCallerRequest (const http::Request& request,
                                                              const base::RequestId& id);

/// Whether a header field concerns one connection only and is never passed on.
[[nodiscard]] bool isHopByHop (std::string_view headerName);

}  // namespace fernlift::router
