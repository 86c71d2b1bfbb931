#pragma once

/// Callers whose requests are open: what they asked, and their answers as they are written.

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

/// Memory is bounded: a caller that does not read pauses its request.
class CallerExchanges
{
public:
    struct Handlers
    {
        /// The caller closed its connection before its answer was whole.
        std::function<void (RequestTicket)> onGone;
        /// The caller takes its answer too slowly (or has caught up). May come again while paused.
        std::function<void (RequestTicket, bool isPaused)> onPaused;
    };

    /// Answers with more than `bufferBytes` unsent are paused. `clock` and `metrics` must outlive
    /// this object.
    CallerExchanges (std::size_t bufferBytes, const base::Clock& clock, http::Metrics& metrics,
                     Handlers handlers);

    void add (RequestTicket ticket, CallerRequest request,
              std::shared_ptr<http::Responder> responder);
    /// Null when the caller was answered or has left.
    [[nodiscard]] const CallerRequest* requestOf (RequestTicket ticket) const;
    /// Remembers the header fields of an attempt's answer.
    void noteHeaders (RequestTicket ticket, AttemptId attempt, const http::Headers& headers);

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

    /// Forgets a caller; nothing of its request is paused any more.
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
