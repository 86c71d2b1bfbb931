#include "lab/HistoryCheck.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <map>
#include <set>

#include "base/Digest.h"
#include "lab/FleetProbes.h"
#include "standin/AnswerText.h"
#include "standin/CompletionFormat.h"

namespace fernlift::lab
{
namespace
{

constexpr int kFirstError = 400;

void checkCall (const CallRecord& call, const ExpectedDigest& expectedDigest,
                const CheckOptions& options, std::vector<Violation>& violations)
{
    const bool isSuccess = call.status != 0 && call.status < kFirstError;
    const bool hasError = ! call.errorKind.empty();
    if (call.end != CallEnd::kComplete)
    {
        if (! options.allowsBrokenCalls)
        {
            violations.push_back ({ ViolationKind::kNoFinalAnswer, call.requestId,
                                    std::string (toString (call.end)) });
        }
    }
    else if (isSuccess && ! hasError && ! call.isAnswerComplete)
    {
        violations.push_back (
            { ViolationKind::kNoFinalAnswer, call.requestId, "neither an end nor an error" });
    }
    else if (isSuccess && call.isAnswerComplete && call.textDigest != expectedDigest (call))
    {
        violations.push_back ({ ViolationKind::kWrongText, call.requestId, call.target });
    }
    else if (! call.isAnswerComplete && call.execution.empty())
    {
        violations.push_back ({ ViolationKind::kExecutionMissing, call.requestId,
                                "status " + std::to_string (call.status) });
    }
}

void checkRuns (const std::vector<CallRecord>& history, const std::vector<LedgerRun>& ledger,
                const CheckOptions& options, std::vector<Violation>& violations)
{
    std::map<std::string, const LedgerRun*> runByRequest;
    std::map<std::string, int> runsByKey;
    for (const LedgerRun& run : ledger)
    {
        runByRequest.emplace (run.requestId, &run);
        if (! run.idempotencyKey.empty() && ++runsByKey[run.idempotencyKey] == 2)
        {
            violations.push_back (
                { ViolationKind::kKeyRanTwice, run.requestId, "key " + run.idempotencyKey });
        }
    }
    for (const CallRecord& call : history)
    {
        const auto run = runByRequest.find (call.requestId);
        if (call.execution == "not_run" && run != runByRequest.end())
        {
            violations.push_back (
                { ViolationKind::kNotRunButRan, call.requestId, "ran at " + run->second->node });
        }
        if (options.isLedgerComplete && call.isAnswerComplete && run == runByRequest.end())
        {
            violations.push_back ({ ViolationKind::kRanNowhere, call.requestId, call.target });
        }
    }
}

}  // namespace

std::string_view toString (ViolationKind kind)
{
    switch (kind)
    {
        case ViolationKind::kNoFinalAnswer:
            return "no_final_answer";
        case ViolationKind::kAnsweredTwice:
            return "answered_twice";
        case ViolationKind::kWrongText:
            return "wrong_text";
        case ViolationKind::kNotRunButRan:
            return "not_run_but_ran";
        case ViolationKind::kKeyRanTwice:
            return "key_ran_twice";
        case ViolationKind::kExecutionMissing:
            return "execution_missing";
        case ViolationKind::kRanNowhere:
            return "ran_nowhere";
        case ViolationKind::kRequestLeft:
            return "request_left";
    }
    return "";
}

base::Result<std::vector<LedgerRun>> parseLedger (const std::string& node, std::string_view json)
{
    const QJsonDocument document = QJsonDocument::fromJson (
        QByteArray::fromRawData (json.data(), static_cast<qsizetype> (json.size())));
    const QJsonValue entries = document.object().value (QStringLiteral ("entries"));
    if (! entries.isArray())
    {
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "the answer of " + node + " is not a ledger");
    }
    std::vector<LedgerRun> runs;
    for (const auto& value : entries.toArray())
    {
        const QJsonObject entry = value.toObject();
        runs.push_back ({ node,
                          entry.value (QStringLiteral ("request_id")).toString().toStdString(),
                          entry.value (QStringLiteral ("idempotency_key")).toString().toStdString(),
                          entry.value (QStringLiteral ("target")).toString().toStdString() });
    }
    return runs;
}

std::vector<Violation> checkHistory (const std::vector<CallRecord>& history,
                                     const std::vector<LedgerRun>& ledger,
                                     const ExpectedDigest& expectedDigest,
                                     const CheckOptions& options)
{
    std::vector<Violation> violations;
    std::set<std::string> requestIds;
    for (const CallRecord& call : history)
    {
        if (! requestIds.insert (call.requestId).second)
        {
            violations.push_back ({ ViolationKind::kAnsweredTwice, call.requestId, "" });
        }
        checkCall (call, expectedDigest, options, violations);
    }
    checkRuns (history, ledger, options, violations);
    return violations;
}

std::vector<Violation> checkIdleRouter (const std::string& router, std::string_view metrics)
{
    std::vector<Violation> violations;
    const auto value = [metrics] (std::string_view name)
    { return metricValue (metrics, "fernlift_router_" + std::string (name)).value_or (-1); };
    for (const char* name : { "requests_open", "requests_waiting", "waiting_bytes" })
    {
        if (value (name) != 0)
        {
            violations.push_back ({ ViolationKind::kRequestLeft, router,
                                    std::string (name) + " is " + std::to_string (value (name)) });
        }
    }
    const double admitted = value ("requests_admitted_total");
    const double ended = value ("requests_answered_total") + value ("requests_refused_total")
                         + value ("callers_gone_total");
    if (admitted != ended)
    {
        violations.push_back (
            { ViolationKind::kRequestLeft, router,
              std::to_string (admitted) + " admitted, " + std::to_string (ended) + " ended" });
    }
    return violations;
}

std::string standinAnswerDigest (const CallRecord& call)
{
    if (call.kind == CallKind::kApplication)
    {
        return base::sha256Hex (call.prompt);
    }
    const std::string prompt = standin::chatPrompt ({ { "user", call.prompt } });
    return base::sha256Hex (standin::expectedAnswer (call.target, prompt, call.maxTokens));
}

}  // namespace fernlift::lab
