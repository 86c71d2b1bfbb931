#include "http/ErrorResponse.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <utility>

namespace fernlift::http
{
namespace
{

using namespace Qt::StringLiterals;

QString toQString (std::string_view text)
{
    return QString::fromUtf8 (text.data(), static_cast<qsizetype> (text.size()));
}

std::int64_t roundUpToSeconds (base::Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds> (duration).count();
    return std::max<std::int64_t> (seconds, 1);
}

}  // namespace

std::string errorJson (const base::Error& error, base::Execution execution,
                       const std::string& requestId, std::optional<base::Duration> retryAfter)
{
    QJsonObject fields;
    fields[u"kind"_s] = toQString (base::traitsOf (error.kind).name);
    fields[u"message"_s] = toQString (error.message);
    fields[u"execution"_s] = toQString (base::toString (execution));
    if (! requestId.empty())
        fields[u"request_id"_s] = toQString (requestId);
    if (retryAfter)
    {
        fields[u"retry_after_ms"_s] = static_cast<qint64> (base::toMilliseconds (*retryAfter));
    }
    const QJsonObject whole{ { u"error"_s, fields } };
    return QJsonDocument (whole).toJson (QJsonDocument::Compact).toStdString();
}

Response jsonResponse (int status, std::string json)
{
    return Response{ status, { { "Content-Type", "application/json" } }, std::move (json) };
}

Response errorResponse (const base::Error& error, base::Execution execution,
                        const std::string& requestId, std::optional<base::Duration> retryAfter)
{
    Response response = jsonResponse (base::traitsOf (error.kind).httpStatus,
                                      errorJson (error, execution, requestId, retryAfter));
    response.headers.add ("X-Fernlift-Execution", std::string (base::toString (execution)));
    if (! requestId.empty())
        response.headers.add ("X-Request-Id", requestId);
    if (retryAfter)
    {
        response.headers.add ("Retry-After", std::to_string (roundUpToSeconds (*retryAfter)));
    }
    return response;
}

Response errorResponse (const base::Error& error)
{
    return errorResponse (error, base::traitsOf (error.kind).execution);
}

}  // namespace fernlift::http
