#include "scale/ControlMeter.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace fernlift::scale
{
namespace
{

constexpr std::string_view kMessagesFamily = "fernlift_control_messages_total{";
constexpr std::string_view kBytesFamily = "fernlift_control_bytes_total{";

std::string labelOf (std::string_view labels, std::string_view name)
{
    const std::string begin = std::string (name) + "=\"";
    const std::size_t at = labels.find (begin);
    if (at == std::string_view::npos)
        return {};
    labels.remove_prefix (at + begin.size());
    return std::string (labels.substr (0, labels.find ('"')));
}

void readLine (std::string_view line, std::string_view family, double TrafficCount::*value,
               TrafficByKind& traffic)
{
    if (! line.starts_with (family))
        return;
    const std::size_t end = line.find ("} ");
    if (end == std::string_view::npos)
        return;
    const std::string_view labels = line.substr (family.size(), end - family.size());
    const TrafficKind kind{ labelOf (labels, "direction"), labelOf (labels, "kind") };
    traffic[kind].*value = std::strtod (std::string (line.substr (end + 2)).c_str(), nullptr);
}

}  // namespace

TrafficByKind parseTraffic (std::string_view metrics)
{
    TrafficByKind traffic;
    while (! metrics.empty())
    {
        const std::size_t lineEnd = std::min (metrics.find ('\n'), metrics.size());
        const std::string_view line = metrics.substr (0, lineEnd);
        metrics.remove_prefix (std::min (lineEnd + 1, metrics.size()));
        readLine (line, kMessagesFamily, &TrafficCount::messages, traffic);
        readLine (line, kBytesFamily, &TrafficCount::bytes, traffic);
    }
    return traffic;
}

TrafficByKind trafficBetween (const TrafficByKind& before, const TrafficByKind& after)
{
    TrafficByKind difference = after;
    for (auto& [kind, count] : difference)
    {
        const auto found = before.find (kind);
        if (found == before.end())
            continue;
        count.messages -= found->second.messages;
        count.bytes -= found->second.bytes;
    }
    return difference;
}

}  // namespace fernlift::scale
