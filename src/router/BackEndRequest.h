#pragma once

/// The request of one attempt, and what the head of a back end's answer means.

#include "http/Client.h"
#include "router/CallerRequest.h"

namespace fernlift::router
{

/// The HTTP request of an attempt. Requests with an idempotency key never reuse a connection.
[[nodiscard]] http::ClientRequest backEndRequest (const StartAttempt& attempt,
                                                  const CallerRequest& request,
                                                  const base::SocketAddress& address);

/// AttemptRefused when the back end says that it did not take the request, else AttemptHeaders.
[[nodiscard]] AttemptEvent headEventOf (const http::ClientResponse& response);

/// Whether the body is a stream of server-sent events.
[[nodiscard]] bool isEventStream (const http::Headers& headers);

/// The header fields of a back end's answer that the caller gets.
[[nodiscard]] http::Headers answerHeaders (const http::Headers& backEndHeaders,
                                           const base::RequestId& id);

}  // namespace fernlift::router
