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

/// Digest of the request body as the application back end reports it; empty when the answer is not
/// a complete JSON object.
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
    record.isAnswerComplete = outcome.end == CallEnd::kComplete && answer.isComplete;
    record.textDigest = base::sha256Hex (answer.text);
    record.errorKind = answer.errorKind;
    record.execution = answer.errorKind.empty() ? "ran" : answer.execution;
}

/// True when the request did not run because this router cannot serve now.
bool shouldTryNextRouter (const CallRecord& record)
{
    const bool isRefused = record.end == CallEnd::kComplete && record.execution == "not_run";
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
        record.isAnswerComplete = outcome.end == CallEnd::kComplete && ! record.textDigest.empty();
        record.execution = "ran";
    }
    else
    {
        readCompletion (outcome, record);
    }
}

LoadRunner::LoadRunner (LoadOptions options) : m_options (std::move (options))
{
    m_timer.setSingleShot (true);
    m_timer.setTimerType (Qt::PreciseTimer);
    QObject::connect (&m_timer, &QTimer::timeout, [this] { startDueCalls(); });
}

void LoadRunner::start()
{
    m_elapsed.start();
    startDueCalls();
}

bool LoadRunner::isFinished() const
{
    return m_next == m_options.arrivals.size() && m_calls.empty();
}

void LoadRunner::startDueCalls()
{
    m_ended.clear();
    const base::Duration now (m_elapsed.nsecsElapsed() / kNanosecondsPerMicrosecond);
    while (m_next < m_options.arrivals.size() && m_options.arrivals[m_next].at <= now)
    {
        begin (m_next);
        ++m_next;
    }
    if (m_next < m_options.arrivals.size())
    {
        m_timer.start (static_cast<int> (base::toMilliseconds (m_options.arrivals[m_next].at - now))
                       + 1);
    }
}

void LoadRunner::begin (std::size_t index)
{
    const Arrival& arrival = m_options.arrivals[index];
    const TraceTarget& target = m_options.targets[arrival.target];
    OpenCall open;
    open.record.requestId = m_options.idPrefix + "-" + std::to_string (index);
    if (! target.isRepeatable)
    {
        const std::string& prefix =
            m_options.keyPrefix.empty() ? m_options.idPrefix : m_options.keyPrefix;
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
    open.record.sentMicroseconds = m_elapsed.nsecsElapsed() / kNanosecondsPerMicrosecond;
    open.router = index % m_options.routers.size();
    m_calls.emplace (index, std::move (open));
    send (index);
}

void LoadRunner::send (std::uint64_t id)
{
    OpenCall& open = m_calls.at (id);
    const base::SocketAddress& router = m_options.routers[open.router];
    open.record.router = router.toString();
    if (open.call)
    {
        m_ended.push_back (std::move (open.call));
    }
    open.call = std::make_unique<HttpCall> (
        m_client, requestOf (open.record, router, m_options.callTimeout),
        [this, id] (const HttpOutcome& outcome) { onEnd (id, outcome); });
}

void LoadRunner::onEnd (std::uint64_t id, const HttpOutcome& outcome)
{
    OpenCall& open = m_calls.at (id);
    readOutcome (outcome, open.record);
    open.record.endMicroseconds += open.attemptStart;
    if (open.record.firstByteMicroseconds > 0)
    {
        open.record.firstByteMicroseconds += open.attemptStart;
    }
    if (shouldTryNextRouter (open.record) && ++open.skippedRouters < m_options.routers.size())
    {
        resend (id);
        return;
    }
    m_history.push_back (std::move (open.record));
    m_ended.push_back (std::move (open.call));
    m_calls.erase (id);
}

void LoadRunner::resend (std::uint64_t id)
{
    OpenCall& open = m_calls.at (id);
    if (open.record.end != CallEnd::kNotConnected)
    {
        CallRecord refused = open.record;
        refused.isResent = true;
        open.record.requestId += "-resent" + std::to_string (open.skippedRouters);
        m_history.push_back (std::move (refused));
    }
    open.record.errorKind.clear();
    open.record.execution.clear();
    open.attemptStart =
        m_elapsed.nsecsElapsed() / kNanosecondsPerMicrosecond - open.record.sentMicroseconds;
    open.router = (open.router + 1) % m_options.routers.size();
    send (id);
}

}  // namespace fernlift::lab
