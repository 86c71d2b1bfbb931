#pragma once

/// How requests and answers change on their way through the router: which header fields are passed
/// on and which the router sets itself.

#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "http/Message.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/// What the router sets on one attempt.
struct AttemptFields
{
    std::string instance;  ///< The only instance that may run it.
    base::Duration left{};
    int priority = 0;
    std::string tenant;             ///< Holds the caller's key; empty: no field is set.
    bool dropsCredentials = false;  ///< The caller's key was read here and is not passed on.
    std::optional<std::string> lastEventId;  ///< A stream goes on after this event.
};

/// The request as the runner gets it: method, target and body unchanged.
[[nodiscard]] std::string requestBytes (const ParsedRequest& request, const ProtocolNames& names,
                                        const AttemptFields& fields);

/// The fields of a runner's answer that the caller gets; framing is left to the connection.
[[nodiscard]] http::Headers passedAnswerHeaders (const http::Headers& headers,
                                                 const ProtocolNames& names);

/// Milliseconds that the caller waits, as its request states; none when it does not.
[[nodiscard]] std::optional<base::Duration> statedDeadline (const ParsedRequest& request,
                                                            const ProtocolNames& names);

}  // namespace fernlift::proxy
