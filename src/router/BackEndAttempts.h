#pragma once

/// Open HTTP attempts at engines and application back ends.

#include <functional>
#include <map>
#include <memory>

#include "http/Client.h"
#include "router/AnswerReader.h"
#include "router/CallerRequest.h"

namespace fernlift::router
{

/// Sends each attempt once and reports its events until it ends or is cancelled.
class BackEndAttempts
{
public:
    struct Handlers
    {
        std::function<void (AttemptId, const AttemptEvent&)> onEvent;
        /// Receives the header fields of an answer unless it is a refusal. Called before the
        /// AttemptHeaders event of the answer.
        std::function<void (RequestTicket, AttemptId, const http::Headers&)> onHeaders;
    };

    /// `client` must outlive this object.
    BackEndAttempts (http::Client& client, std::size_t bufferBytes, Handlers handlers);

    void start (const StartAttempt& attempt, const CallerRequest& request);
    /// Closes the connection of an attempt; the back end cancels the request.
    void cancel (AttemptId attempt);
    /// Pauses or resumes reading the answers to a request.
    void setPaused (RequestTicket ticket, bool isPaused);
    [[nodiscard]] std::size_t countOpen() const { return m_attempts.size(); }

private:
    struct OpenAttempt
    {
        RequestTicket ticket = 0;
        bool isTokenStream = false;  ///< The caller requested a token stream.
        std::shared_ptr<http::Exchange> exchange;
        std::unique_ptr<AnswerReader> reader;
    };

    void onHeaders (AttemptId id, const http::ClientResponse& response);
    void onData (AttemptId id, std::string_view data);
    void onEnd (AttemptId id);
    void onError (AttemptId id, const http::ClientError& error);
    /// Reports an event. A final event removes the attempt, and the rest of its answer is ignored.
    void report (AttemptId id, const AttemptEvent& event);

    http::Client& m_client;
    std::size_t m_bufferBytes;
    Handlers m_handlers;
    std::map<AttemptId, OpenAttempt> m_attempts;
};

}  // namespace fernlift::router
