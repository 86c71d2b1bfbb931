#include "lab/CallRecord.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <array>
#include <optional>

namespace fernlift::lab
{
namespace
{

constexpr std::array kAllEnds{ CallEnd::kComplete, CallEnd::kNotConnected, CallEnd::kBroken,
                               CallEnd::kTimeout };
constexpr std::string_view kChat = "chat";
constexpr std::string_view kApplication = "application";

QString text (std::string_view value)
{
    return QString::fromUtf8 (value.data(), static_cast<qsizetype> (value.size()));
}

std::string textOf (const QJsonObject& object, const char* key)
{
    return object.value (QLatin1String (key)).toString().toStdString();
}

std::int64_t integerOf (const QJsonObject& object, const char* key)
{
    return object.value (QLatin1String (key)).toInteger();
}

std::optional<CallEnd> parseEnd (std::string_view name)
{
    for (const CallEnd end : kAllEnds)
    {
        if (toString (end) == name)
        {
            return end;
        }
    }
    return std::nullopt;
}

base::Result<CallRecord> parseLine (const QByteArray& line, int number)
{
    const QJsonDocument document = QJsonDocument::fromJson (line);
    const QJsonObject object = document.object();
    const auto end = parseEnd (textOf (object, "end"));
    CallRecord record;
    record.requestId = textOf (object, "request_id");
    if (! document.isObject() || ! end || record.requestId.empty())
    {
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "history line " + std::to_string (number) + ": not a call record");
    }
    record.idempotencyKey = textOf (object, "idempotency_key");
    record.requestClass = textOf (object, "class");
    record.kind = textOf (object, "kind") == kChat ? CallKind::kChat : CallKind::kApplication;
    record.target = textOf (object, "target");
    record.router = textOf (object, "router");
    record.prompt = textOf (object, "prompt");
    record.maxTokens = static_cast<std::uint64_t> (integerOf (object, "max_tokens"));
    record.isStreaming = object.value (QLatin1String ("streaming")).toBool();
    record.sentMicroseconds = integerOf (object, "sent_us");
    record.firstByteMicroseconds = integerOf (object, "first_byte_us");
    record.endMicroseconds = integerOf (object, "end_us");
    record.end = *end;
    record.status = static_cast<int> (integerOf (object, "status"));
    record.execution = textOf (object, "execution");
    record.errorKind = textOf (object, "error_kind");
    record.textDigest = textOf (object, "text_sha256");
    record.isAnswerComplete = object.value (QLatin1String ("whole")).toBool();
    record.isResent = object.value (QLatin1String ("resent")).toBool();
    return record;
}

}  // namespace

std::string toJsonLine (const CallRecord& record)
{
    const QJsonObject object{
        { QStringLiteral ("request_id"), text (record.requestId) },
        { QStringLiteral ("idempotency_key"), text (record.idempotencyKey) },
        { QStringLiteral ("class"), text (record.requestClass) },
        { QStringLiteral ("kind"), text (record.kind == CallKind::kChat ? kChat : kApplication) },
        { QStringLiteral ("target"), text (record.target) },
        { QStringLiteral ("router"), text (record.router) },
        { QStringLiteral ("prompt"), text (record.prompt) },
        { QStringLiteral ("max_tokens"), static_cast<qint64> (record.maxTokens) },
        { QStringLiteral ("streaming"), record.isStreaming },
        { QStringLiteral ("sent_us"), static_cast<qint64> (record.sentMicroseconds) },
        { QStringLiteral ("first_byte_us"), static_cast<qint64> (record.firstByteMicroseconds) },
        { QStringLiteral ("end_us"), static_cast<qint64> (record.endMicroseconds) },
        { QStringLiteral ("end"), text (toString (record.end)) },
        { QStringLiteral ("status"), record.status },
        { QStringLiteral ("execution"), text (record.execution) },
        { QStringLiteral ("error_kind"), text (record.errorKind) },
        { QStringLiteral ("text_sha256"), text (record.textDigest) },
        { QStringLiteral ("whole"), record.isAnswerComplete },
        { QStringLiteral ("resent"), record.isResent },
    };
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

base::Result<std::vector<CallRecord>> parseHistory (std::string_view jsonLines)
{
    std::vector<CallRecord> records;
    const QByteArray bytes (jsonLines.data(), static_cast<qsizetype> (jsonLines.size()));
    int number = 0;
    for (const QByteArray& line : bytes.split ('\n'))
    {
        ++number;
        if (line.isEmpty())
        {
            continue;
        }
        BOOST_LEAF_AUTO (record, parseLine (line, number));
        records.push_back (std::move (record));
    }
    return records;
}

base::Result<std::vector<CallRecord>> readHistory (const std::string& path)
{
    QFile file (QString::fromStdString (path));
    if (! file.open (QIODevice::ReadOnly))
    {
        return base::fail (base::ErrorKind::kInvalidRequest, "cannot read " + path);
    }
    return parseHistory (file.readAll().toStdString());
}

base::Result<void> writeHistory (const std::string& path, const std::vector<CallRecord>& records)
{
    QFile file (QString::fromStdString (path));
    if (! file.open (QIODevice::WriteOnly))
    {
        return base::fail (base::ErrorKind::kInvalidRequest, "cannot write " + path);
    }
    for (const CallRecord& record : records)
    {
        const std::string line = toJsonLine (record) + "\n";
        if (file.write (line.data(), static_cast<qint64> (line.size())) < 0)
        {
            return base::fail (base::ErrorKind::kInvalidRequest, "cannot write " + path);
        }
    }
    return {};
}

}  // namespace fernlift::lab
