#include "scale/ProcessMeter.h"

#include <unistd.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>

namespace fernlift::scale
{
namespace
{

using base::ErrorKind;

/// Fields of /proc/PID/stat after the closing bracket of the program's name, from 0.
constexpr int kUserTicksField = 11;
constexpr int kSystemTicksField = 12;

std::optional<std::uint64_t> numberIn (std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars (text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

std::string_view fieldOf (std::string_view text, int index)
{
    for (int skipped = 0; skipped < index; ++skipped)
    {
        const std::size_t space = text.find (' ');
        if (space == std::string_view::npos)
            return {};
        text.remove_prefix (space + 1);
    }
    return text.substr (0, text.find (' '));
}

base::Result<std::string> readFile (const std::string& path)
{
    std::ifstream file (path);
    if (! file)
        return base::fail (ErrorKind::kNotFound, path + " cannot be read");
    return std::string (std::istreambuf_iterator<char> (file), {});
}

}  // namespace

base::Result<std::uint64_t> parseProcessorTicks (std::string_view statText)
{
    const std::size_t bracket = statText.rfind (')');
    if (bracket == std::string_view::npos || bracket + 2 > statText.size())
    {
        return base::fail (ErrorKind::kMessageInvalid, "no program name in the process state");
    }
    const std::string_view fields = statText.substr (bracket + 2);
    const auto user = numberIn (fieldOf (fields, kUserTicksField));
    const auto system = numberIn (fieldOf (fields, kSystemTicksField));
    if (! user || ! system)
    {
        return base::fail (ErrorKind::kMessageInvalid, "no processor time in the process state");
    }
    return *user + *system;
}

base::Result<std::uint64_t> parseStatusKilobytes (std::string_view statusText,
                                                  std::string_view field)
{
    while (! statusText.empty())
    {
        const std::size_t lineEnd = std::min (statusText.find ('\n'), statusText.size());
        std::string_view line = statusText.substr (0, lineEnd);
        statusText.remove_prefix (std::min (lineEnd + 1, statusText.size()));
        const bool isField =
            line.starts_with (field) && line.substr (field.size()).starts_with (':');
        if (! isField)
            continue;
        line.remove_prefix (field.size() + 1);
        line.remove_prefix (std::min (line.find_first_not_of (" \t"), line.size()));
        const auto value = numberIn (line);
        if (value && line.ends_with (" kB"))
            return *value;
        break;
    }
    return base::fail (ErrorKind::kMessageInvalid,
                       "no " + std::string (field) + " in the process status");
}

base::Result<ProcessUse> readProcessUse (std::int64_t processId)
{
    const std::string folder = "/proc/" + std::to_string (processId);
    BOOST_LEAF_AUTO (statText, readFile (folder + "/stat"));
    BOOST_LEAF_AUTO (statusText, readFile (folder + "/status"));
    BOOST_LEAF_AUTO (ticks, parseProcessorTicks (statText));
    ProcessUse use;
    use.processorSeconds =
        static_cast<double> (ticks) / static_cast<double> (::sysconf (_SC_CLK_TCK));
    BOOST_LEAF_ASSIGN (use.residentKilobytes, parseStatusKilobytes (statusText, "VmRSS"));
    BOOST_LEAF_ASSIGN (use.peakKilobytes, parseStatusKilobytes (statusText, "VmHWM"));
    return use;
}

}  // namespace fernlift::scale
