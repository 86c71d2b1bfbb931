#pragma once

/// What all stand-in processes have in common.

#include <memory>
#include <string>

#include "base/Error.h"
#include "http/ErrorResponse.h"
#include "http/Server.h"

namespace fernlift::standin
{

/// One kind of stand-in behind an HTTP server.
class StandinServer
{
public:
    virtual ~StandinServer() = default;
    StandinServer() = default;
    StandinServer (const StandinServer&) = delete;
    StandinServer& operator= (const StandinServer&) = delete;

    virtual void handle (const http::Request& request,
                         const std::shared_ptr<http::Responder>& responder) = 0;
    /// Begins a planned stop: new work is refused, open work finishes.
    virtual void beginStop() {}
    [[nodiscard]] virtual bool isIdle() const { return true; }
    /// What it has run, as GET /standin/ledger answers; empty for kinds that run no requests.
    [[nodiscard]] virtual std::string ledgerJson() const { return {}; }
};

/// Name of the header that says whether a request was performed.
inline constexpr const char* kExecutionHeader = "X-Fernlift-Execution";
/// Name of the header that says that a runner is leaving.
inline constexpr const char* kLeavingHeader = "X-Fernlift-Leaving";

/// Answers 404 with the error object.
void answerNotFound (http::Responder& responder, const std::string& path);
/// Answers 400 with the error object.
void answerInvalid (http::Responder& responder, const std::string& message);
/// Answers 429 (queue full) or 503 with "not_run"; `isLeaving` adds the header for it.
void answerRefused (http::Responder& responder, const base::Error& refusal, bool isLeaving);
/// Answers {"done":true}.
void answerDone (http::Responder& responder);

/// Parses a JSON body and passes it to `use`, or answers 400. `use` returns false when the body
/// asks for something this stand-in does not have, which is answered 400 too.
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
                problem = "this stand-in does not know that name";
            return {};
        },
        [&] (const base::Error& error) { problem = error.message; });
    if (! problem.empty())
        answerInvalid (responder, problem);
}

}  // namespace fernlift::standin
