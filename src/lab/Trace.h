#pragma once

/// Generates open-loop traces: the time and target of each call, independent of the answers.

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
    kConstant,  ///< Constant rate.
    kDaily,  ///< One sine-shaped working day, from a tenth of the rate to the full rate and back.
    kStorm,  ///< A tenth of the rate; in the middle tenth the full rate, on the first target only.
    kMonthEnd,  ///< Rises linearly to the full rate and stays there for the last third.
};

[[nodiscard]] std::optional<TraceShape> parseTraceShape (std::string_view name);

/// One kind of call in the load.
struct TraceTarget
{
    CallKind kind = CallKind::kChat;
    std::string name;          ///< Name of the model, adapter or application.
    std::string requestClass;  ///< Request class to send; empty for that of the target.
    double weight = 1;
    bool isRepeatable = true;  ///< If false, each call gets an idempotency key.

    bool operator== (const TraceTarget&) const = default;
};

/// Parses NAME[,class=C][,weight=W][,kind=chat|application][,once]; fails with kUsage.
[[nodiscard]] base::Result<TraceTarget> parseTraceTarget (std::string_view text);

struct TraceOptions
{
    TraceShape shape = TraceShape::kConstant;
    double callsPerSecond = 10;  ///< Peak rate of the shape.
    base::Duration length = base::seconds (10);
    std::vector<TraceTarget> targets;  ///< At least one.
    double streamingShare = 0.5;       ///< Share of chat calls with streamed answers.
    std::uint64_t minimumTokens = 4;
    std::uint64_t maximumTokens = 32;
};

/// One scheduled call.
struct Arrival
{
    base::Duration at{};  ///< Time since the start of the load.
    std::size_t target = 0;
    bool isStreaming = false;
    std::uint64_t maxTokens = 0;
};

/// Rate at `at` as a share of the peak rate, from 0 to 1.
[[nodiscard]] double rateShare (TraceShape shape, base::Duration at, base::Duration length);
/// Generates the arrivals of a Poisson process with the shape's rate, in order of time.
[[nodiscard]] std::vector<Arrival> generateTrace (const TraceOptions& options,
                                                  base::Random& random);

}  // namespace fernlift::lab
