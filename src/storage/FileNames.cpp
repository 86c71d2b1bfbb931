#include "storage/FileNames.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace fernlift::storage
{
namespace
{

constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".new";
/// Width that holds any 64-bit number. Names are zero-padded to it, so that they sort by number.
constexpr std::size_t kDigits = 20;

std::string numbered (std::string_view prefix, std::uint64_t number)
{
    const std::string digits = std::to_string (number);
    return std::string (prefix) + std::string (kDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> numberAfter (std::string_view prefix, std::string_view name)
{
    const bool fits = name.starts_with (prefix) && name.size() == prefix.size() + kDigits;
    if (! fits)
        return std::nullopt;
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto [parsedEnd, error] = std::from_chars (name.data() + prefix.size(), end, number);
    if (error != std::errc() || parsedEnd != end)
        return std::nullopt;
    return number;
}

}  // namespace

std::string segmentName (std::uint64_t number) { return numbered (kSegmentPrefix, number); }

std::string snapshotName (std::uint64_t lastIndex) { return numbered (kSnapshotPrefix, lastIndex); }

std::optional<std::uint64_t> segmentNumberOf (const std::string& name)
{
    return numberAfter (kSegmentPrefix, name);
}

std::optional<std::uint64_t> snapshotIndexOf (const std::string& name)
{
    return numberAfter (kSnapshotPrefix, name);
}

std::string temporaryName (const std::string& name)
{
    return name + std::string (kTemporarySuffix);
}

bool isTemporary (const std::string& name) { return name.ends_with (kTemporarySuffix); }

std::vector<std::uint64_t> segmentNumbers (const std::vector<std::string>& names)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names)
    {
        if (const auto number = segmentNumberOf (name))
            numbers.push_back (*number);
    }
    std::sort (numbers.begin(), numbers.end());
    return numbers;
}

}  // namespace fernlift::storage
