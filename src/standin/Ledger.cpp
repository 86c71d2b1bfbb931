#include "standin/Ledger.h"

#include "engine/JsonFields.h"

namespace fernlift::standin
{

std::string_view toString (LedgerState state)
{
    switch (state)
    {
        case LedgerState::kRunning:
            return "running";
        case LedgerState::kEnded:
            return "ended";
        case LedgerState::kCancelled:
            return "cancelled";
        case LedgerState::kBroken:
            return "broken";
    }
    return "";
}

std::string toJson (const std::vector<LedgerEntry>& entries)
{
    using engine::jsonInteger;
    using engine::jsonText;
    QJsonArray array;
    for (const auto& entry : entries)
    {
        QJsonObject object;
        object[QLatin1String ("request_id")] = jsonText (entry.requestId);
        object[QLatin1String ("idempotency_key")] = jsonText (entry.idempotencyKey);
        object[QLatin1String ("target")] = jsonText (entry.target);
        object[QLatin1String ("replica")] = jsonInteger (entry.replica);
        object[QLatin1String ("started_ms")] =
            static_cast<qint64> (base::toMilliseconds (entry.startedAt.time_since_epoch()));
        object[QLatin1String ("resume_from")] = jsonInteger (entry.resumeFrom);
        object[QLatin1String ("tokens")] = jsonInteger (entry.tokens);
        object[QLatin1String ("state")] = jsonText (toString (entry.state));
        array.append (object);
    }
    QJsonObject ledger;
    ledger[QLatin1String ("entries")] = array;
    return engine::writeJson (ledger);
}

}  // namespace fernlift::standin
