#include "http/RetryAfter.h"

#include <QDateTime>
#include <QLocale>
#include <QTimeZone>
#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "http/FieldValues.h"

namespace fernlift::http
{
namespace
{

constexpr std::size_t kLoggedBytes = 32;

/// Parses a date of the form "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<QDateTime> parseDate (std::string_view text)
{
    QDateTime date = QLocale::c().toDateTime (
        QString::fromLatin1 (text.data(), static_cast<qsizetype> (text.size())),
        QStringLiteral ("ddd, dd MMM yyyy hh:mm:ss 'GMT'"));
    if (! date.isValid())
        return std::nullopt;
    date.setTimeZone (QTimeZone::utc());
    return date;
}

std::optional<base::Duration> parseDelay (std::string_view text, const Headers& headers)
{
    if (const std::optional<double> seconds = parseDecimal (text))
    {
        const double longest = std::chrono::duration<double> (kMaxRetryAfter).count();
        return std::chrono::duration_cast<base::Duration> (
            std::chrono::duration<double> (std::min (*seconds, longest)));
    }
    const std::optional<QDateTime> until = parseDate (text);
    const std::optional<QDateTime> sentAt = parseDate (headers.value ("Date"));
    if (! until || ! sentAt || *until < *sentAt)
        return std::nullopt;
    const base::milliseconds delay (sentAt->msecsTo (*until));
    return std::min<base::Duration> (delay, kMaxRetryAfter);
}

}  // namespace

RetryAfter readRetryAfter (const Headers& headers)
{
    std::optional<base::Duration> longest;
    std::optional<std::string> unreadable;
    for (const Header& field : headers.fields())
    {
        if (! equalsIgnoringCase (field.name, "Retry-After"))
            continue;
        if (const std::optional<base::Duration> delay = parseDelay (field.value, headers))
            longest = std::max (longest.value_or (*delay), *delay);
        else
            unreadable = field.value.substr (0, kLoggedBytes);
    }
    if (longest)
        return RetryAfterDelay{ *longest };
    if (unreadable)
        return UnreadableRetryAfter{ std::move (*unreadable) };
    return NoRetryAfter{};
}

}  // namespace fernlift::http
