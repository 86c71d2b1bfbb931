#include "proxy/PromptParts.h"

#include <charconv>

namespace fernlift::proxy
{

std::string sharedParts (const std::string& parts)
{
    const std::size_t comma = parts.rfind (',');
    return comma == std::string::npos ? std::string() : parts.substr (0, comma);
}

std::vector<std::string> sharedPartIds (const std::string& parts)
{
    std::vector<std::string> ids;
    std::string_view rest = parts;
    for (std::size_t comma = rest.find (','); comma != std::string_view::npos;
         comma = rest.find (','))
    {
        const std::string_view part = rest.substr (0, comma);
        ids.emplace_back (part.substr (0, part.find (':')));
        rest.remove_prefix (comma + 1);
    }
    return ids;
}

std::uint64_t tokensOf (std::string_view parts)
{
    std::uint64_t total = 0;
    while (! parts.empty())
    {
        const std::size_t comma = parts.find (',');
        const std::string_view part = parts.substr (0, comma);
        const std::size_t colon = part.find (':');
        std::uint64_t tokens = 0;
        if (colon != std::string_view::npos)
        {
            const std::string_view text = part.substr (colon + 1);
            std::from_chars (text.data(), text.data() + text.size(), tokens);
        }
        total += tokens;
        parts.remove_prefix (comma == std::string_view::npos ? parts.size() : comma + 1);
    }
    return total;
}

}  // namespace fernlift::proxy
