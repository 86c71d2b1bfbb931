#pragma once

/// Names of the header fields by which a platform speaks of one thing. An empty name: the platform
/// has no such field.

#include <string>

namespace fernlift::proxy
{

/// Header fields of forwarded requests and of their answers.
struct ProtocolNames
{
    // From callers; passed on unchanged.
    std::string requestId;  ///< Identifies one attempt of a caller.
    std::string deadline;   ///< Milliseconds that the receiver may take; rewritten to what is left.
    std::string model;      ///< MODEL or MODEL/ADAPTER.
    std::string promptParts;   ///< Parts of the prompt in order, as ID:TOKENS, separated by commas.
    std::string promptTokens;  ///< Tokens of the prompt and most tokens out, separated by a comma.
    // Set by the router.
    std::string targetInstance;  ///< Every other instance refuses the request.
    std::string priority;        ///< 0 (most urgent) to 9.
    // From runners.
    std::string notExecuted;  ///< Present: the runner has not run the request and never will.
    std::string load;         ///< Requests running, waiting and slots, separated by commas.
    std::string lastEventId = "Last-Event-Id";  ///< Where a stream goes on.
    /// Path on which readiness is asked for; any other path of that address is unknown.
    std::string readinessPath;
};

}  // namespace fernlift::proxy
