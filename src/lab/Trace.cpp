#include "lab/Trace.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numbers>

namespace fernlift::lab
{
namespace
{

constexpr double kQuietShare = 0.1;
constexpr double kStormStart = 0.45;
constexpr double kStormEnd = 0.55;
constexpr double kMonthEndRise = 2.0 / 3.0;
constexpr double kMicrosecondsPerSecond = 1e6;

bool isInStorm (base::Duration at, base::Duration length)
{
    const double position = static_cast<double> (at.count()) / static_cast<double> (length.count());
    return position >= kStormStart && position < kStormEnd;
}

/// Returns the index of a random target, chosen by weight.
std::size_t chooseTarget (const std::vector<TraceTarget>& targets, base::Random& random)
{
    double total = 0;
    for (const TraceTarget& target : targets)
    {
        total += target.weight;
    }
    double draw = random.uniformReal() * total;
    for (std::size_t index = 0; index < targets.size(); ++index)
    {
        draw -= targets[index].weight;
        if (draw < 0)
        {
            return index;
        }
    }
    return targets.size() - 1;
}

base::Result<void> applyOption (std::string_view option, TraceTarget& target)
{
    const std::size_t equals = option.find ('=');
    const std::string_view key = option.substr (0, equals);
    const std::string_view value =
        equals == std::string_view::npos ? std::string_view() : option.substr (equals + 1);
    if (key == "class" && ! value.empty())
    {
        target.requestClass = value;
        return {};
    }
    if (key == "once" && equals == std::string_view::npos)
    {
        target.isRepeatable = false;
        return {};
    }
    if (key == "kind" && (value == "chat" || value == "application"))
    {
        target.kind = value == "chat" ? CallKind::kChat : CallKind::kApplication;
        return {};
    }
    if (key == "weight")
    {
        const auto [end, error] =
            std::from_chars (value.data(), value.data() + value.size(), target.weight);
        if (error == std::errc() && end == value.data() + value.size() && target.weight > 0)
        {
            return {};
        }
    }
    return base::fail (base::ErrorKind::kUsage,
                       "target option '" + std::string (option)
                           + "': allowed are class=C, weight=W, kind=chat, kind=application, once");
}

}  // namespace

std::optional<TraceShape> parseTraceShape (std::string_view name)
{
    if (name == "constant")
    {
        return TraceShape::kConstant;
    }
    if (name == "daily")
    {
        return TraceShape::kDaily;
    }
    if (name == "storm")
    {
        return TraceShape::kStorm;
    }
    if (name == "month-end")
    {
        return TraceShape::kMonthEnd;
    }
    return std::nullopt;
}

base::Result<TraceTarget> parseTraceTarget (std::string_view text)
{
    TraceTarget target;
    const std::size_t nameEnd = std::min (text.find (','), text.size());
    target.name = text.substr (0, nameEnd);
    if (target.name.empty())
    {
        return base::fail (base::ErrorKind::kUsage,
                           "a target has no name; expected NAME[,OPTION...]");
    }
    text.remove_prefix (nameEnd);
    while (! text.empty())
    {
        text.remove_prefix (1);
        const std::size_t optionEnd = std::min (text.find (','), text.size());
        BOOST_LEAF_CHECK (applyOption (text.substr (0, optionEnd), target));
        text.remove_prefix (optionEnd);
    }
    return target;
}

double rateShare (TraceShape shape, base::Duration at, base::Duration length)
{
    const double position = static_cast<double> (at.count()) / static_cast<double> (length.count());
    switch (shape)
    {
        case TraceShape::kConstant:
            return 1;
        case TraceShape::kDaily:
            return kQuietShare + (1 - kQuietShare) * std::sin (std::numbers::pi * position);
        case TraceShape::kStorm:
            return isInStorm (at, length) ? 1 : kQuietShare;
        case TraceShape::kMonthEnd:
            return std::min (1.0, kQuietShare + (1 - kQuietShare) * position / kMonthEndRise);
    }
    return 1;
}

std::vector<Arrival> generateTrace (const TraceOptions& options, base::Random& random)
{
    std::vector<Arrival> arrivals;
    const double meanGap = kMicrosecondsPerSecond / options.callsPerSecond;
    double time = random.exponential (meanGap);
    while (time < static_cast<double> (options.length.count()))
    {
        const base::Duration at (static_cast<std::int64_t> (time));
        time += random.exponential (meanGap);
        // Thinning turns the Poisson process of the peak rate into one of the shape's rate.
        if (! random.chance (rateShare (options.shape, at, options.length)))
        {
            continue;
        }
        const bool isStorm = options.shape == TraceShape::kStorm && isInStorm (at, options.length);
        Arrival arrival;
        arrival.at = at;
        arrival.target = isStorm ? 0 : chooseTarget (options.targets, random);
        arrival.isStreaming = random.chance (options.streamingShare);
        arrival.maxTokens = static_cast<std::uint64_t> (
            random.uniformInteger (static_cast<std::int64_t> (options.minimumTokens),
                                   static_cast<std::int64_t> (options.maximumTokens)));
        arrivals.push_back (arrival);
    }
    return arrivals;
}

}  // namespace fernlift::lab
