#include "proxy/StatedLoad.h"

#include <charconv>
#include <vector>

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kMaxNumbers = 4;
constexpr std::size_t kRequiredNumbers = 2;

std::string_view trimmed (std::string_view text)
{
    const std::size_t begin = text.find_first_not_of (' ');
    if (begin == std::string_view::npos)
        return {};
    return text.substr (begin, text.find_last_not_of (' ') - begin + 1);
}

std::optional<std::uint32_t> parseNumber (std::string_view text)
{
    const std::string_view digits = trimmed (text);
    std::uint32_t number = 0;
    const char* const end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars (digits.data(), end, number);
    if (error != std::errc() || last != end)
        return std::nullopt;
    return number;
}

}  // namespace

std::optional<StatedLoad> parseStatedLoad (std::string_view text)
{
    std::vector<std::uint32_t> numbers;
    while (numbers.size() < kMaxNumbers)
    {
        const std::size_t comma = text.find (',');
        const auto number = parseNumber (text.substr (0, comma));
        if (! number)
            break;
        numbers.push_back (*number);
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix (comma + 1);
    }
    if (numbers.size() < kRequiredNumbers)
        return std::nullopt;
    StatedLoad load{ numbers[0], numbers[1] };
    if (numbers.size() > 2)
        load.slots = numbers[2];
    // A slowdown of 0 is impossible and counts as not stated.
    if (numbers.size() == kMaxNumbers && numbers[3] > 0)
        load.slowdownPercent = numbers[3];
    return load;
}

}  // namespace fernlift::proxy
