#include "lab/CompletionAnswer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace fernlift::lab
{
namespace
{

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

QJsonDocument parseJson (std::string_view text)
{
    return QJsonDocument::fromJson (
        QByteArray::fromRawData (text.data(), static_cast<qsizetype> (text.size())));
}

bool readError (const QJsonObject& object, CompletionAnswer& answer)
{
    if (! object.contains (QStringLiteral ("error")))
    {
        return false;
    }
    const QJsonObject error = object.value (QStringLiteral ("error")).toObject();
    answer.errorKind = error.value (QStringLiteral ("kind")).toString().toStdString();
    answer.execution = error.value (QStringLiteral ("execution")).toString().toStdString();
    answer.isComplete = false;
    return true;
}

QString textOf (const QJsonObject& choice)
{
    for (const QString& part : { QStringLiteral ("delta"), QStringLiteral ("message") })
    {
        if (choice.contains (part))
        {
            return choice.value (part).toObject().value (QStringLiteral ("content")).toString();
        }
    }
    return choice.value (QStringLiteral ("text")).toString();
}

/// Returns the text of the answer's first choice.
std::string textOfAnswer (const QJsonObject& object)
{
    return textOf (object.value (QStringLiteral ("choices")).toArray().at (0).toObject())
        .toStdString();
}

/// Counts the tokens of a text of a stand-in engine, each of which ends in a space.
std::uint64_t countTokens (std::string_view text)
{
    return static_cast<std::uint64_t> (std::count (text.begin(), text.end(), ' '));
}

}  // namespace

CompletionAnswer readPlainAnswer (std::string_view body)
{
    CompletionAnswer answer;
    const QJsonDocument document = parseJson (body);
    if (! document.isObject() || readError (document.object(), answer))
    {
        return answer;
    }
    answer.text = textOfAnswer (document.object());
    answer.isComplete = document.object().contains (QStringLiteral ("choices"));
    return answer;
}

CompletionAnswer readStreamedAnswer (std::string_view body)
{
    CompletionAnswer answer;
    std::uint64_t expectedOffset = 0;
    bool isContiguous = true;
    while (! body.empty())
    {
        const std::size_t eventEnd = body.find (kEventEnd);
        if (eventEnd == std::string_view::npos)
        {
            return answer;  // An event without its blank line is truncated.
        }
        const std::string_view event = body.substr (0, eventEnd);
        body.remove_prefix (eventEnd + kEventEnd.size());
        const bool isLast = body.empty();
        if (! event.starts_with (kDataPrefix))
        {
            continue;
        }
        const std::string_view data = event.substr (kDataPrefix.size());
        if (data == kDone)
        {
            answer.isComplete = isLast && isContiguous && answer.errorKind.empty();
            return answer;
        }
        const QJsonObject object = parseJson (data).object();
        if (readError (object, answer))
        {
            return answer;
        }
        const auto offset =
            static_cast<std::uint64_t> (object.value (QStringLiteral ("offset")).toInteger (-1));
        isContiguous = isContiguous && offset == expectedOffset;
        const std::string text = textOfAnswer (object);
        expectedOffset += countTokens (text);
        answer.text += text;
        ++answer.events;
    }
    return answer;
}

CompletionAnswer readErrorAnswer (std::string_view body)
{
    CompletionAnswer answer;
    const QJsonDocument document = parseJson (body);
    if (document.isObject())
    {
        readError (document.object(), answer);
    }
    return answer;
}

}  // namespace fernlift::lab
