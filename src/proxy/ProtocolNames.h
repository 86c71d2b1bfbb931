#pragma once

/// Names of the header fields by which a platform speaks of one thing. An empty name: the platform
/// has no such field.

#include <string>
#include <vector>

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
    std::string tenant;          ///< Name of the tenant that holds the caller's key.
    /// Fields by which only this system may steer a runner. What a caller sent in one never
    /// reaches a runner: a forged reservation alone made runners refuse 8 in 100 requests.
    std::vector<std::string> reserved;
    // From runners.
    std::string notExecuted;  ///< Present: the runner has not run the request and never will.
    std::string load;         ///< Requests running, waiting and slots, separated by commas.
    /// Requests a second that the runner takes from all routers together, for as long as its
    /// answers say so.
    std::string rateLimit;
    /// Fields that runners write for this system only; callers do not get them.
    std::vector<std::string> internalAnswerFields;
    std::string lastEventId = "Last-Event-Id";  ///< Where a stream goes on.
    /// Path on which readiness is asked for; any other path of that address is unknown.
    std::string readinessPath;
};

}  // namespace fernlift::proxy
