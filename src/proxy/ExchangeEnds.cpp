// How an exchange ends without a runner's answer, and what is logged of it.

#include <array>
#include <cstdio>
#include <utility>

#include "http/ErrorResponse.h"
#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

std::string retryAfterText (base::Duration duration)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double> (duration).count();
    const int length = std::snprintf (text.data(), text.size(), "%.3f", seconds);
    return { text.data(), static_cast<std::size_t> (length) };
}

}  // namespace

void Exchange::logEnd (log::Event event, const std::string& cause) const
{
    const auto sinceArrival = [this] (base::TimePoint time)
    { return time == base::TimePoint{} ? -1 : base::toMilliseconds (time - arrivedAt_); };
    log::write (event, { { "request", request_.headers.value (context_.names.requestId) },
                         { "route", route_ == nullptr ? std::string() : route_->name },
                         { "configuration", routes_ ? routes_->version() : 0 },
                         { "service", query_.service },
                         { "model", query_.model },
                         { "adapter", query_.adapter },
                         { "runner", instance_ },
                         { "table", context_.directory.version() },
                         { "table_age_ms", context_.directory.ageMilliseconds (now()) },
                         { "attempts", sent_ },
                         { "unreachable", unreachable_ },
                         { "waited_ms", base::toMilliseconds (waited_) },
                         { "head_ms", sinceArrival (answeredAt_) },
                         { "total_ms", sinceArrival (now()) },
                         { "cause", cause } });
}

void Exchange::logMove (log::Event event) const
{
    log::write (event,
                { { "request", request_.headers.value (context_.names.requestId) },
                  { "from_runner", instance_ },
                  { "status", head_.status },
                  { "attempts", sent_ },
                  { "last_event", events_ ? events_->lastId().value_or ("") : std::string() } });
}

void Exchange::refuse (ErrorKind kind, const std::string& message, base::Duration retryAfter)
{
    ++context_.counters.refused;
    logEnd (log::Event::kRequestRefused, message);
    sendError ({ kind, message }, retryAfter);
}

void Exchange::fail (ErrorKind kind, const std::string& message)
{
    ++context_.counters.failed;
    logEnd (log::Event::kRequestFailed, message);
    sendError ({ kind, message }, std::nullopt);
}

void Exchange::sendError (const base::Error& error, std::optional<base::Duration> retryAfter)
{
    http::Response response = http::errorResponse (error);
    if (retryAfter)
        response.headers.set ("Retry-After", retryAfterText (*retryAfter));
    const std::string id = request_.headers.value (context_.names.requestId);
    if (! id.empty())
        response.headers.set (context_.names.requestId, id);
    caller_.sendAnswer (response.status, response.headers, response.body);
    end();
}

void Exchange::cut()
{
    ++context_.counters.failed;
    logEnd (log::Event::kRequestFailed, "the stream broke off and cannot go on");
    caller_.abort();
    end();
}

void Exchange::onCallerLeft()
{
    if (isEnded_)
        return;
    ++context_.counters.left;
    logEnd (log::Event::kCallerLeft, "the caller left");
    if (connection_)
        endAttempt (AttemptEnd::kAbandoned, false);
    end();
}

void Exchange::end()
{
    if (std::exchange (isEnded_, true))
        return;
    timer_.stop();
    endWait();
    onEnd_ (*this);
}

}  // namespace fernlift::proxy
