#include "proxy/StatedRate.h"

#include <algorithm>
#include <optional>

#include "http/FieldValues.h"

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kLoggedBytes = 32;

}  // namespace

StatedRate readStatedRate (const http::Headers& headers, std::string_view field)
{
    std::optional<double> lowest;
    std::optional<std::string> unreadable;
    for (const http::Header& header : headers.fields())
    {
        if (field.empty() || ! http::equalsIgnoringCase (header.name, field))
            continue;
        if (const std::optional<double> rate = http::parseDecimal (header.value))
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
