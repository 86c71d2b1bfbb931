#pragma once

/// Open exchanges with callers: the request and the answer that is being written.

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/Time.h"
#include "http/Metrics.h"
#include "http/Server.h"
#include "router/CallerRequest.h"

namespace fernlift::router
{

/// Writes the answers to callers. Memory per caller is bounded: a request whose caller does not
/// read its answer is paused.
class CallerExchanges
{
public:
    struct Handlers
    {
        /// The caller closed its connection before its answer was complete.
        std::function<void (RequestTicket)> onDisconnected;
        /// The unsent part of an answer exceeds the buffer limit (true) or has been sent (false).
        /// May be called with true again while the request is paused.
        std::function<void (RequestTicket, bool isPaused)> onPaused;
    };

    /// An answer with more than `bufferBytes` unsent is paused. `clock` and `metrics` must outlive
    /// this object.
    CallerExchanges (std::size_t bufferBytes, const base::Clock& clock, http::Metrics& metrics,
                     Handlers handlers);

    void add (RequestTicket ticket, CallerRequest request,
              std::shared_ptr<http::Responder> responder);
    /// Null if the caller was answered or has disconnected.
    [[nodiscard]] const CallerRequest* requestOf (RequestTicket ticket) const;
    /// Stores the header fields of an attempt's answer until begin().
    void recordHeaders (RequestTicket ticket, AttemptId attempt, const http::Headers& headers);

    void begin (const AnswerHeaders& effect);
    void write (const AnswerData& effect);
    void end (const AnswerEnd& effect);
    void fail (const AnswerError& effect);
    [[nodiscard]] std::size_t countOpen() const { return m_callers.size(); }

private:
    struct Caller
    {
        CallerRequest request;
        std::shared_ptr<http::Responder> responder;
        std::map<AttemptId, http::Headers> headersOfAttempts;
        base::TimePoint arrivedAt{};
        bool hasBegun = false;
        bool isEventStream = false;
        bool isPaused = false;
    };

    /// Removes and returns a caller. A paused request is resumed.
    std::optional<Caller> take (RequestTicket ticket);
    void onDrained (RequestTicket ticket);
    [[nodiscard]] double secondsSince (base::TimePoint start) const;

    std::size_t m_bufferBytes;
    const base::Clock& m_clock;
    Handlers m_handlers;
    http::Histogram& m_firstByteSeconds;
    http::Histogram& m_answerSeconds;
    http::Counter& m_pauses;
    std::map<RequestTicket, Caller> m_callers;
};

}  // namespace fernlift::router
