#include "lab/LoadRunner.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

#include "base/Digest.h"
#include "base/Error.h"
#include "lab/CompletionAnswer.h"

namespace fernlift::lab
{
namespace
{

constexpr int kFirstError = 400;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1000;

std::string chatBody (const CallRecord& record)
{
    const QJsonObject message{ { QStringLiteral ("role"), QStringLiteral ("user") },
                               { QStringLiteral ("content"),
                                 QString::fromStdString (record.prompt) } };
    const QJsonObject body{ { QStringLiteral ("model"), QString::fromStdString (record.target) },
                            { QStringLiteral ("messages"), QJsonArray{ message } },
                            { QStringLiteral ("max_tokens"),
                              static_cast<qint64> (record.maxTokens) },
                            { QStringLiteral ("stream"), record.isStreaming } };
    return QJsonDocument (body).toJson (QJsonDocument::Compact).toStdString();
}

/// Digest of the request body that an application back end says it got; empty when its answer is
/// not a whole JSON object.
std::string echoedDigest (const std::string& body)
{
    return QJsonDocument::fromJson (QByteArray::fromStdString (body))
        .object()
        .value (QStringLiteral ("body_digest"))
        .toString()
        .toStdString();
}

void readCompletion (const HttpOutcome& outcome, CallRecord& record)
{
    const CompletionAnswer answer =
        record.isStreaming ? readStreamedAnswer (outcome.body) : readPlainAnswer (outcome.body);
    record.isAnswerWhole = outcome.end == CallEnd::kWhole && answer.isWhole;
    record.textDigest = base::sha256Hex (answer.text);
    record.errorKind = answer.errorKind;
    record.execution = answer.errorKind.empty() ? "ran" : answer.execution;
}

/// Nothing was sent or performed, and it is the router that cannot serve now.
bool isWorthAnotherRouter (const CallRecord& record)
{
    const bool isRefused = record.end == CallEnd::kWhole && record.execution == "not_run";
    const bool isOfRouter =
        record.errorKind == base::traitsOf (base::ErrorKind::kStopping).name
        || record.errorKind == base::traitsOf (base::ErrorKind::kLeaseExpired).name;
    return record.end == CallEnd::kNotConnected || (isRefused && isOfRouter);
}

}  // namespace

HttpRequest requestOf (const CallRecord& record, const base::SocketAddress& router,
                       base::Duration timeout)
{
    HttpRequest request;
    request.address = router;
    request.timeout = timeout;
    request.headers = { { "X-Request-Id", record.requestId } };
    if (! record.idempotencyKey.empty())
    {
        request.headers.add ("Idempotency-Key", record.idempotencyKey);
    }
    if (! record.requestClass.empty())
    {
        request.headers.add ("X-Fernlift-Class", record.requestClass);
    }
    if (record.kind == CallKind::kApplication)
    {
        request.path = "/apps/" + record.target + "/calls";
        request.headers.add ("Content-Type", "text/plain");
        request.body = record.prompt;
    }
    else
    {
        request.path = "/v1/chat/completions";
        request.headers.add ("Content-Type", "application/json");
        request.body = chatBody (record);
    }
    return request;
}

void readOutcome (const HttpOutcome& outcome, CallRecord& record)
{
    record.end = outcome.end;
    record.status = outcome.status;
    record.firstByteMicroseconds = outcome.toFirstBodyByte.count();
    record.endMicroseconds = outcome.toEnd.count();
    if (outcome.status == 0)
    {
        record.execution = outcome.end == CallEnd::kNotConnected ? "not_run" : "unknown";
    }
    else if (outcome.status >= kFirstError)
    {
        const CompletionAnswer answer = readErrorAnswer (outcome.body);
        record.errorKind = answer.errorKind;
        record.execution = answer.execution;
    }
    else if (record.kind == CallKind::kApplication)
    {
        record.textDigest = echoedDigest (outcome.body);
        record.isAnswerWhole = outcome.end == CallEnd::kWhole && ! record.textDigest.empty();
        record.execution = "ran";
    }
    else
    {
        readCompletion (outcome, record);
    }
}

LoadRunner::LoadRunner (LoadOptions options) : options_ (std::move (options))
{
    timer_.setSingleShot (true);
    timer_.setTimerType (Qt::PreciseTimer);
    QObject::connect (&timer_, &QTimer::timeout, [this] { startDueCalls(); });
}

void LoadRunner::start()
{
    elapsed_.start();
    startDueCalls();
}

bool LoadRunner::isFinished() const { return next_ == options_.arrivals.size() && calls_.empty(); }

void LoadRunner::startDueCalls()
{
    ended_.clear();
    const base::Duration now (elapsed_.nsecsElapsed() / kNanosecondsPerMicrosecond);
    while (next_ < options_.arrivals.size() && options_.arrivals[next_].at <= now)
    {
        begin (next_);
        ++next_;
    }
    if (next_ < options_.arrivals.size())
    {
        timer_.start (static_cast<int> (base::toMilliseconds (options_.arrivals[next_].at - now))
                      + 1);
    }
}

void LoadRunner::begin (std::size_t index)
{
    const Arrival& arrival = options_.arrivals[index];
    const TraceTarget& target = options_.targets[arrival.target];
    OpenCall open;
    open.record.requestId = options_.idPrefix + "-" + std::to_string (index);
    if (! target.isRepeatable)
    {
        const std::string& prefix =
            options_.keyPrefix.empty() ? options_.idPrefix : options_.keyPrefix;
        open.record.idempotencyKey = "key-" + prefix + "-" + std::to_string (index);
    }
    open.record.requestClass = target.requestClass;
    open.record.kind = target.kind;
    open.record.target = target.name;
    const bool hasKey = ! open.record.idempotencyKey.empty();
    open.record.prompt =
        "Question of " + (hasKey ? open.record.idempotencyKey : open.record.requestId);
    open.record.maxTokens = arrival.maxTokens;
    open.record.isStreaming = arrival.isStreaming && target.kind == CallKind::kChat;
    open.record.sentMicroseconds = elapsed_.nsecsElapsed() / kNanosecondsPerMicrosecond;
    open.router = index % options_.routers.size();
    calls_.emplace (index, std::move (open));
    send (index);
}

void LoadRunner::send (std::uint64_t id)
{
    OpenCall& open = calls_.at (id);
    const base::SocketAddress& router = options_.routers[open.router];
    open.record.router = router.toString();
    if (open.call)
    {
        ended_.push_back (std::move (open.call));
    }
    open.call = std::make_unique<HttpCall> (
        client_, requestOf (open.record, router, options_.callTimeout),
        [this, id] (const HttpOutcome& outcome) { onEnd (id, outcome); });
}

void LoadRunner::onEnd (std::uint64_t id, const HttpOutcome& outcome)
{
    OpenCall& open = calls_.at (id);
    readOutcome (outcome, open.record);
    open.record.endMicroseconds += open.attemptStart;
    if (open.record.firstByteMicroseconds > 0)
    {
        open.record.firstByteMicroseconds += open.attemptStart;
    }
    if (isWorthAnotherRouter (open.record) && ++open.passedOver < options_.routers.size())
    {
        resend (id);
        return;
    }
    history_.push_back (std::move (open.record));
    ended_.push_back (std::move (open.call));
    calls_.erase (id);
}

void LoadRunner::resend (std::uint64_t id)
{
    OpenCall& open = calls_.at (id);
    if (open.record.end != CallEnd::kNotConnected)
    {
        CallRecord refused = open.record;
        refused.isResent = true;
        open.record.requestId += "-resent" + std::to_string (open.passedOver);
        history_.push_back (std::move (refused));
    }
    open.record.errorKind.clear();
    open.record.execution.clear();
    open.attemptStart =
        elapsed_.nsecsElapsed() / kNanosecondsPerMicrosecond - open.record.sentMicroseconds;
    open.router = (open.router + 1) % options_.routers.size();
    send (id);
}

}  // namespace fernlift::lab
