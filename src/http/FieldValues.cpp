#include "http/FieldValues.h"

#include <charconv>
#include <cmath>

namespace fernlift::http
{
namespace
{

std::string_view trimmed (std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const std::size_t begin = text.find_first_not_of (kBlanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr (begin, text.find_last_not_of (kBlanks) - begin + 1);
}

}  // namespace

std::optional<double> parseDecimal (std::string_view text)
{
    const std::string_view digits = trimmed (text);
    const char* const end = digits.data() + digits.size();
    double number = 0;
    const auto [last, error] = std::from_chars (digits.data(), end, number);
    const bool isNumber = error == std::errc() && last == end && std::isfinite (number);
    if (! isNumber || std::signbit (number))
        return std::nullopt;
    return number;
}

}  // namespace fernlift::http
