#pragma once

/// Open-loop traces: when calls arrive and for what, whatever the answers do.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Random.h"
#include "base/Time.h"
#include "lab/CallRecord.h"

namespace fernlift::lab
{

enum class TraceShape : std::uint8_t
{
    kConstant,  ///< The same rate throughout.
    kDaily,     ///< One sine-shaped working day: from a tenth of the rate up to it and back.
    kStorm,  ///< A tenth of the rate; the full rate in the middle tenth, on the first target only.
    kMonthEnd,  ///< Rises in a straight line to the full rate, and stays there for the last third.
};

[[nodiscard]] std::optional<TraceShape> parseTraceShape (std::string_view name);

/// One kind of call in the mix.
struct TraceTarget
{
    CallKind kind = CallKind::kChat;
    std::string name;          ///< Model, adapter or application.
    std::string requestClass;  ///< Empty: the target's own.
    double weight = 1;
    bool isRepeatable = true;  ///< False: each call gets an idempotency key.

    bool operator== (const TraceTarget&) const = default;
};

/// Parses NAME[,class=C][,weight=W][,kind=chat|application][,once]; fails with kUsage.
[[nodiscard]] base::Result<TraceTarget> parseTraceTarget (std::string_view text);

struct TraceOptions
{
    TraceShape shape = TraceShape::kConstant;
    double callsPerSecond = 10;  ///< The highest rate of the shape.
    base::Duration length = base::seconds (10);
    std::vector<TraceTarget> targets;  ///< At least one.
    double streamingShare = 0.5;       ///< Of chat calls.
    std::uint64_t minimumTokens = 4;
    std::uint64_t maximumTokens = 32;
};

/// One call to be made.
struct Arrival
{
    base::Duration at{};  ///< Since the start of the load.
    std::size_t target = 0;
    bool isStreaming = false;
    std::uint64_t maxTokens = 0;
};

/// Rate at `at` as a share of the highest, from 0 to 1.
[[nodiscard]] double rateShare (TraceShape shape, base::Duration at, base::Duration length);
/// Arrivals in the order of time; a Poisson process of the shape's rate.
[[nodiscard]] std::vector<Arrival> generateTrace (const TraceOptions& options,
                                                  base::Random& random);

}  // namespace fernlift::lab
