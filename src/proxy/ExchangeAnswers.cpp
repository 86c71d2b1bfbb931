// What an exchange does with the answer of a runner.

#include <charconv>
#include <utility>

#include "proxy/Exchange.h"
#include "proxy/ForwardedMessage.h"

namespace fernlift::proxy
{
namespace
{

/// Answers up to this size are passed on once they are whole, so that a cut one can be replaced.
constexpr std::size_t kCollectedBytes = 256UL * 1024;
constexpr int kMisdirected = 421;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

}  // namespace

void Exchange::notePromptRead()
{
    if (std::exchange (isPromptRead_, true))
        return;
    context_.directory.onAnswerBegun (instance_, query_.promptTokens);
}

void Exchange::noteLoad (const http::AnswerHead& head)
{
    if (context_.names.load.empty())
        return;
    const std::string text = head.headers.value (context_.names.load);
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars (text.data(), end, running);
    if (first.ec != std::errc() || first.ptr == end)
        return;
    const auto second = std::from_chars (first.ptr + 1, end, waiting);
    if (second.ec != std::errc())
        return;
    context_.directory.onLoad (instance_, running, waiting, now());
}

void Exchange::onHead (http::AnswerHead head)
{
    noteLoad (head);
    notePromptRead();
    context_.directory.onBytes (instance_, now());
    if (! isAnswerBegun_)
        answeredAt_ = now();
    head_ = std::move (head);
    const bool isRefusal =
        head_.status == kMisdirected || head_.headers.contains (context_.names.notExecuted);
    if (isRefusal)
    {
        use_ = AnswerUse::kRefusal;
        return;
    }
    if (events_)
    {  // A resumed stream keeps the head of its first runner.
        const bool isStream = head_.status < kFirstErrorStatus;
        use_ = isStream ? AnswerUse::kEvents : AnswerUse::kRetry;
        return;
    }
    if (head_.status >= kFirstServerError && mayRunAgain())
    {
        use_ = AnswerUse::kRetry;
        return;
    }
    const bool isEventStream =
        head_.headers.value ("Content-Type").starts_with ("text/event-stream")
        && route_->kind == config::RouteKind::kStream;
    if (isEventStream)
    {
        use_ = AnswerUse::kEvents;
        events_.emplace();
        passHead();
        return;
    }
    const bool isSmall = ! head_.hasLength || head_.length <= kCollectedBytes;
    use_ = isSmall ? AnswerUse::kCollect : AnswerUse::kPass;
    if (! isSmall)
        passHead();
}

void Exchange::passHead()
{
    isAnswerBegun_ = true;
    const AnswerFraming framing{ head_.hasLength, head_.length };
    caller_.beginAnswer (head_.status, passedAnswerHeaders (head_.headers), framing);
}

void Exchange::onBody (std::string_view data)
{
    context_.directory.onBytes (instance_, now());
    noteProgress();
    switch (use_)
    {
        case AnswerUse::kCollect:
            collected_.append (data);
            if (collected_.size() > kCollectedBytes)
            {
                use_ = AnswerUse::kPass;
                passHead();
                caller_.writeBody (std::exchange (collected_, {}));
            }
            return;
        case AnswerUse::kPass:
            caller_.writeBody (data);
            return;
        case AnswerUse::kEvents:
            caller_.writeBody (events_->feed (data));
            return;
        case AnswerUse::kNone:
        case AnswerUse::kRefusal:
        case AnswerUse::kRetry:
            return;
    }
}

void Exchange::onDone()
{
    switch (use_)
    {
        case AnswerUse::kRefusal:
        {
            isAttemptSent_ = false;
            const bool isNotHeld = head_.status == kMisdirected;
            if (isNotHeld)
            {
                context_.directory.onNotHeld (instance_, query_.model, query_.adapter, now());
            }
            endAttempt (isNotHeld ? AttemptEnd::kNotHeld : AttemptEnd::kRefused, true);
            // A runner that does not hold what it was asked for, or is another instance, is no
            // attempt.
            if (isNotHeld)
                --sent_;
            afterRefusal();
            return;
        }
        case AnswerUse::kRetry:
            endAttempt (AttemptEnd::kFailed, true);
            afterFailure();
            return;
        default:
            finishAnswer();
    }
}

void Exchange::finishAnswer()
{
    if (use_ == AnswerUse::kCollect)
    {
        caller_.sendAnswer (head_.status, passedAnswerHeaders (head_.headers), collected_);
    }
    else
    {
        if (use_ == AnswerUse::kEvents)
            caller_.writeBody (events_->rest());
        caller_.endAnswer();
    }
    const bool isFailure = head_.status >= kFirstServerError;
    endAttempt (isFailure ? AttemptEnd::kFailed : AttemptEnd::kAnswered, true);
    ++context_.counters.answered;
    logEnd (log::Event::kRequestAnswered, std::to_string (head_.status));
    end();
}

}  // namespace fernlift::proxy
