#pragma once

/// Builds the HTTP request of one attempt and interprets the header of the back end's answer.

#include "http/Client.h"
#include "router/CallerRequest.h"

namespace fernlift::router
{

/// Builds the HTTP request of an attempt. A request with an idempotency key gets a new connection.
[[nodiscard]] http::ClientRequest backEndRequest (const StartAttempt& attempt,
                                                  const CallerRequest& request,
                                                  const base::SocketAddress& address);

/// Returns AttemptRefused if the answer states that the request was not run, else AttemptHeaders.
[[nodiscard]] AttemptEvent headEventOf (const http::ClientResponse& response);

/// Returns the header fields of a back end's answer that are forwarded to the caller.
[[nodiscard]] http::Headers answerHeaders (const http::Headers& backEndHeaders,
                                           const base::RequestId& id);

}  // namespace fernlift::router
