#pragma once

/// Names of the header fields that a platform uses. An empty name means that the platform does not
/// have the field.

#include <string>
#include <vector>

namespace fernlift::proxy
{

/// Header fields of forwarded requests and of their answers.
struct ProtocolNames
{
    // Sent by callers and forwarded unchanged, except for the deadline.
    std::string requestId;  ///< Identifies one attempt of a caller.
    std::string deadline;   ///< Milliseconds until the answer is due; the router replaces it by the
                            ///< remaining time.
    std::string model;      ///< MODEL or MODEL/ADAPTER.
    std::string promptParts;   ///< Parts of the prompt in order, as ID:TOKENS, separated by commas.
    std::string promptTokens;  ///< Tokens of the prompt and the output limit, separated by a comma.
    /// Request whose stream the caller resumes: its attempt that received the first event.
    std::string resumedRequest;
    // Set by the router.
    std::string targetInstance;  ///< Instance that may execute the request; every other one refuses
                                 ///< it.
    std::string priority;        ///< 0 (most urgent) to 9.
    std::string tenant;          ///< Name of the tenant that holds the caller's key.
    /// Fields reserved for this system to control a runner. They are removed from the requests of
    /// callers: forged reservations alone make runners refuse 8 % of the requests.
    std::vector<std::string> reserved;
    // Sent by runners.
    std::string notExecuted;  ///< Present when the runner did not and will not execute the request.
    std::string load;  ///< Running requests, waiting requests, slots and slowdown, separated by
                       ///< commas.
    /// Requests per second that the runner accepts from all routers together, for as long as its
    /// answers state it.
    std::string rateLimit;
    /// Has the value "1" in all answers of a runner that is leaving.
    std::string leaving;
    /// Present in all answers of a runner that fails when it has to decline more requests in a
    /// second than the value of the field.
    std::string brittle;
    /// Fields of answers that are meant for this system and are not forwarded to callers.
    std::vector<std::string> internalAnswerFields;
    std::string lastEventId = "Last-Event-Id";  ///< Event after which a stream is resumed.
    /// Path of the readiness check. Every other path of its address is unknown.
    std::string readinessPath;
};

}  // namespace fernlift::proxy
