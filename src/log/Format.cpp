#include "log/Format.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <array>

namespace fernlift::log
{
namespace
{

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool isControl (char character)
{
    const auto byte = static_cast<unsigned char> (character);
    return byte < kFirstPrintable || byte == kDelete;
}

bool needsQuotes (std::string_view value)
{
    return value.empty()
           || std::any_of (value.begin(), value.end(),
                           [] (char character)
                           {
                               return isControl (character) || character == ' ' || character == '"'
                                      || character == '=' || character == '\\';
                           });
}

void appendEscaped (std::string& line, char character)
{
    constexpr std::string_view kHexDigits = "0123456789abcdef";
    if (character == '"' || character == '\\')
    {
        line += '\\';
        line += character;
    }
    else if (character == '\n')
    {
        line += "\\n";
    }
    else if (isControl (character))
    {
        const auto byte = static_cast<unsigned char> (character);
        line += "\\x";
        line += kHexDigits[byte >> 4U];
        line += kHexDigits[byte & 0xfU];
    }
    else
    {
        line += character;
    }
}

void appendValue (std::string& line, std::string_view value)
{
    if (! needsQuotes (value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
        appendEscaped (line, character);
    line += '"';
}

QString toQt (std::string_view text)
{
    return QString::fromUtf8 (text.data(), static_cast<qsizetype> (text.size()));
}

}  // namespace

std::string_view toString (Severity severity)
{
    switch (severity)
    {
        case Severity::kDebug:
            return "debug";
        case Severity::kInfo:
            return "info";
        case Severity::kWarning:
            return "warning";
        case Severity::kError:
            break;
    }
    return "error";
}

std::string formatText (const Record& record)
{
    std::string line = record.timestamp;
    line += ' ';
    line += toString (record.event.severity);
    line += ' ';
    line += record.program;
    if (! record.instance.empty())
        line += "[" + record.instance + "]";
    line += ' ' + std::to_string (record.event.number) + ' ';
    line += record.event.name;
    line += ": ";
    line += record.event.summary;
    for (const Field& field : record.fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue (line, field.value);
    }
    return line;
}

std::string formatJson (const Record& record)
{
    QJsonObject fields;
    for (const Field& field : record.fields)
        fields.insert (toQt (field.name), toQt (field.value));
    QJsonObject object;
    object.insert (u"timestamp", toQt (record.timestamp));
    object.insert (u"severity", toQt (toString (record.event.severity)));
    object.insert (u"program", toQt (record.program));
    object.insert (u"instance", toQt (record.instance));
    object.insert (u"event", record.event.number);
    object.insert (u"name", toQt (record.event.name));
    object.insert (u"message", toQt (record.event.summary));
    object.insert (u"fields", fields);
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

}  // namespace fernlift::log
