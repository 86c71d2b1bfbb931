#pragma once

/// Conversion of requests and answers on their way through the router: which header fields are
/// forwarded and which the router sets itself.

#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "http/Message.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/// Header fields that the router sets for one attempt.
struct AttemptFields
{
    std::string instance;  ///< The only instance that may execute the request.
    base::Duration timeLeft{};
    int priority = 0;
    std::string tenant;  ///< Tenant that holds the caller's key; empty: the field is not set.
    bool dropsCredentials = false;  ///< Whether the caller's key was checked here and is not
                                    ///< forwarded.
    std::optional<std::string> lastEventId;  ///< Event after which a stream is resumed.
};

/// Request as sent to the runner, with method, target and body unchanged.
[[nodiscard]] std::string requestBytes (const ParsedRequest& request, const ProtocolNames& names,
                                        const AttemptFields& fields);

/// Header fields without those that concern one connection only and without the framing.
[[nodiscard]] http::Headers endToEndFields (const http::Headers& headers);

/// Header fields of a runner's answer that are sent to the caller. The connection adds the framing.
[[nodiscard]] http::Headers forwardedAnswerHeaders (const http::Headers& headers,
                                                    const ProtocolNames& names);

/// Time that the caller waits, as stated in its request; none if not stated.
[[nodiscard]] std::optional<base::Duration> statedDeadline (const ParsedRequest& request,
                                                            const ProtocolNames& names);

}  // namespace fernlift::proxy
