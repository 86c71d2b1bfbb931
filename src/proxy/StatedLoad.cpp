#include "proxy/StatedLoad.h"

#include <charconv>
#include <vector>

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kFigures = 4;
constexpr std::size_t kNeededFigures = 2;

std::string_view trimmed (std::string_view text)
{
    const std::size_t begin = text.find_first_not_of (' ');
    if (begin == std::string_view::npos)
        return {};
    return text.substr (begin, text.find_last_not_of (' ') - begin + 1);
}

std::optional<std::uint32_t> parseFigure (std::string_view text)
{
    const std::string_view digits = trimmed (text);
    std::uint32_t figure = 0;
    const char* const end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars (digits.data(), end, figure);
    if (error != std::errc() || last != end)
        return std::nullopt;
    return figure;
}

}  // namespace

std::optional<StatedLoad> parseStatedLoad (std::string_view text)
{
    std::vector<std::uint32_t> figures;
    while (figures.size() < kFigures)
    {
        const std::size_t comma = text.find (',');
        const auto figure = parseFigure (text.substr (0, comma));
        if (! figure)
            break;
        figures.push_back (*figure);
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix (comma + 1);
    }
    if (figures.size() < kNeededFigures)
        return std::nullopt;
    StatedLoad load{ figures[0], figures[1] };
    if (figures.size() > 2)
        load.slots = figures[2];
    // A machine is never without speed: 0 is no figure.
    if (figures.size() == kFigures && figures[3] > 0)
        load.slowdownPercent = figures[3];
    return load;
}

}  // namespace fernlift::proxy
