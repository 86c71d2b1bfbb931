#include "http/Message.h"

#include <QString>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <array>
#include <utility>

namespace fernlift::http
{
namespace
{

char toLower (char character)
{
    const bool isUpper = character >= 'A' && character <= 'Z';
    return isUpper ? static_cast<char> (character - 'A' + 'a') : character;
}

using StatusPhrase = std::pair<int, std::string_view>;

constexpr std::array kReasonPhrases{
    StatusPhrase{ 100, "Continue" },
    StatusPhrase{ 200, "OK" },
    StatusPhrase{ 201, "Created" },
    StatusPhrase{ 202, "Accepted" },
    StatusPhrase{ 204, "No Content" },
    StatusPhrase{ 206, "Partial Content" },
    StatusPhrase{ 301, "Moved Permanently" },
    StatusPhrase{ 302, "Found" },
    StatusPhrase{ 303, "See Other" },
    StatusPhrase{ 304, "Not Modified" },
    StatusPhrase{ 307, "Temporary Redirect" },
    StatusPhrase{ 308, "Permanent Redirect" },
    StatusPhrase{ 400, "Bad Request" },
    StatusPhrase{ 401, "Unauthorized" },
    StatusPhrase{ 403, "Forbidden" },
    StatusPhrase{ 404, "Not Found" },
    StatusPhrase{ 405, "Method Not Allowed" },
    StatusPhrase{ 408, "Request Timeout" },
    StatusPhrase{ 409, "Conflict" },
    StatusPhrase{ 411, "Length Required" },
    StatusPhrase{ 413, "Content Too Large" },
    StatusPhrase{ 415, "Unsupported Media Type" },
    StatusPhrase{ 422, "Unprocessable Content" },
    StatusPhrase{ 429, "Too Many Requests" },
    StatusPhrase{ 431, "Request Header Fields Too Large" },
    StatusPhrase{ 499, "Client Closed Request" },
    StatusPhrase{ 500, "Internal Server Error" },
    StatusPhrase{ 501, "Not Implemented" },
    StatusPhrase{ 502, "Bad Gateway" },
    StatusPhrase{ 503, "Service Unavailable" },
    StatusPhrase{ 504, "Gateway Timeout" },
    StatusPhrase{ 507, "Insufficient Storage" },
};

}  // namespace

bool equalsIgnoringCase (std::string_view left, std::string_view right)
{
    return std::equal (left.begin(), left.end(), right.begin(), right.end(),
                       [] (char one, char other) { return toLower (one) == toLower (other); });
}

std::string_view reasonPhrase (int status)
{
    for (const auto& [code, phrase] : kReasonPhrases)
    {
        if (code == status)
            return phrase;
    }
    return "Unknown";
}

void Headers::add (std::string name, std::string value)
{
    m_fields.push_back (Header{ std::move (name), std::move (value) });
}

void Headers::set (std::string name, std::string value)
{
    remove (name);
    add (std::move (name), std::move (value));
}

void Headers::remove (std::string_view name)
{
    std::erase_if (m_fields,
                   [&] (const Header& field) { return equalsIgnoringCase (field.name, name); });
}

std::optional<std::string> Headers::takeLast (std::string_view name)
{
    for (auto field = m_fields.rbegin(); field != m_fields.rend(); ++field)
    {
        if (! equalsIgnoringCase (field->name, name))
            continue;
        std::string value = std::move (field->value);
        m_fields.erase (std::next (field).base());
        return value;
    }
    return std::nullopt;
}

bool Headers::contains (std::string_view name) const { return count (name) > 0; }

std::string Headers::value (std::string_view name) const
{
    for (const Header& field : m_fields)
    {
        if (equalsIgnoringCase (field.name, name))
            return field.value;
    }
    return {};
}

std::size_t Headers::count (std::string_view name) const
{
    return static_cast<std::size_t> (std::count_if (
        m_fields.begin(), m_fields.end(),
        [&] (const Header& field) { return equalsIgnoringCase (field.name, name); }));
}

std::string Request::queryValue (std::string_view name) const
{
    const QUrlQuery items (QString::fromStdString (query));
    const QString key = QString::fromUtf8 (name.data(), static_cast<qsizetype> (name.size()));
    return items.queryItemValue (key, QUrl::FullyDecoded).toStdString();
}

}  // namespace fernlift::http
