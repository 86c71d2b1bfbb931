#pragma once

/// Common interface and HTTP answers of all stand-in servers.

#include <memory>
#include <string>

#include "base/Error.h"
#include "http/ErrorResponse.h"
#include "http/Server.h"

namespace fernlift::standin
{

/// Base class of the request handlers of all kinds of stand-ins.
class StandinServer
{
public:
    virtual ~StandinServer() = default;
    StandinServer() = default;
    StandinServer (const StandinServer&) = delete;
    StandinServer& operator= (const StandinServer&) = delete;

    virtual void handle (const http::Request& request,
                         const std::shared_ptr<http::Responder>& responder) = 0;
    /// Begins a planned stop: new requests are refused, accepted ones finish.
    virtual void beginStop() {}
    [[nodiscard]] virtual bool isIdle() const { return true; }
    /// Returns the ledger as in GET /standin/ledger; empty for kinds that run no requests.
    [[nodiscard]] virtual std::string ledgerJson() const { return {}; }
};

/// Name of the header that states whether a request was run.
inline constexpr const char* kExecutionHeader = "X-Fernlift-Execution";
/// Name of the header that states that a runner is leaving.
inline constexpr const char* kLeavingHeader = "X-Fernlift-Leaving";

/// Sends status 404 with an error object.
void answerNotFound (http::Responder& responder, const std::string& path);
/// Sends status 400 with an error object.
void answerInvalid (http::Responder& responder, const std::string& message);
/// Sends status 429 (queue full) or 503 with execution "not_run"; `isLeaving` adds the leaving
/// header.
void answerRefused (http::Responder& responder, const base::Error& refusal, bool isLeaving);
/// Sends status 200 with {"done":true}.
void answerDone (http::Responder& responder);

/// Parses a JSON body and passes it to `use`, or sends status 400. `use` returns false when the
/// body names something that this stand-in does not have, which also gives status 400.
template <class Parse, class Use>
void withBody (http::Responder& responder, const Parse& parse, const Use& use)
{
    std::string problem;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            auto parsed = parse();
            if (! parsed)
                return parsed.error();
            if (! use (parsed.value()))
                problem = "request names something that this stand-in does not support";
            return {};
        },
        [&] (const base::Error& error) { problem = error.message; });
    if (! problem.empty())
        answerInvalid (responder, problem);
}

}  // namespace fernlift::standin
