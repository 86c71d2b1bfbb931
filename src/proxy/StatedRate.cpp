#include "proxy/StatedRate.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kLoggedBytes = 32;

std::string_view trimmed (std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const std::size_t begin = text.find_first_not_of (kBlanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr (begin, text.find_last_not_of (kBlanks) - begin + 1);
}

std::optional<double> parseRate (std::string_view text)
{
    const std::string_view digits = trimmed (text);
    const char* const end = digits.data() + digits.size();
    double rate = 0;
    const auto [last, error] = std::from_chars (digits.data(), end, rate);
    const bool isNumber = error == std::errc() && last == end && std::isfinite (rate);
    if (! isNumber || std::signbit (rate))
        return std::nullopt;
    return rate;
}

}  // namespace

StatedRate readStatedRate (const http::Headers& headers, std::string_view field)
{
    std::optional<double> lowest;
    std::optional<std::string> unreadable;
    for (const http::Header& header : headers.fields())
    {
        if (field.empty() || ! http::equalsIgnoringCase (header.name, field))
            continue;
        if (const std::optional<double> rate = parseRate (header.value))
            lowest = std::min (lowest.value_or (*rate), *rate);
        else
            unreadable = header.value.substr (0, kLoggedBytes);
    }
    if (lowest && *lowest < kUnlimitedThreshold)
        return LimitedRate{ *lowest };
    if (! lowest && unreadable)
        return UnreadableRate{ std::move (*unreadable) };
    return UnlimitedRate{};
}

}  // namespace fernlift::proxy
