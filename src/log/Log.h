#pragma once

/// Structured log of numbered events, written through Boost.Log as JSON lines or text.

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace fernlift::log
{

enum class Severity : std::uint8_t
{
    kDebug,
    kInfo,
    kWarning,
    kError
};

/// One entry of the event catalogue.
struct EventTraits
{
    int number = 0;         ///< Stable number; the thousands digit identifies the module.
    std::string_view name;  ///< For example "RouterStarted"; kRouterStarted in the code.
    Severity severity = Severity::kInfo;
    std::string_view summary;  ///< The message of the event.
    std::string_view action;   ///< What an operator should do about it.
};

/// All events. They are defined in log/events/*.def, one file per module, as
/// FERNLIFT_EVENT(number, Name, Severity, "summary", "action")
enum class Event : int
{
// An enumerator name cannot be parenthesized.
// NOLINTNEXTLINE(bugprone-macro-parentheses)
#define FERNLIFT_EVENT(number, name, severity, summary, action) k##name = number,
#include "log/events/AllEvents.def"
#undef FERNLIFT_EVENT
};

[[nodiscard]] std::span<const EventTraits> allEvents();
[[nodiscard]] const EventTraits& traitsOf (Event event);

/// A named value of an event, for example {"runner", runner.value}.
struct Field
{
    std::string_view name;
    std::string value;

    Field (std::string_view fieldName, std::string text)
        : name (fieldName), value (std::move (text))
    {
    }
    Field (std::string_view fieldName, const char* text) : name (fieldName), value (text) {}
    Field (std::string_view fieldName, std::string_view text) : name (fieldName), value (text) {}
    template <class Number>
    requires std::is_arithmetic_v<Number> Field (std::string_view fieldName, Number number)
        : name (fieldName), value (std::to_string (number))
    {
    }
};

enum class Format : std::uint8_t
{
    kText,
    kJson
};

/// Standard stream that log lines are written to.
enum class Destination : std::uint8_t
{
    kStandardError,
    kStandardOutput
};

struct Options
{
    Format format = Format::kText;
    Destination destination = Destination::kStandardError;
    Severity minimumSeverity = Severity::kInfo;
    std::string program;   ///< Written with each event.
    std::string instance;  ///< Identifier of this process, written with each event.
};

/// Configures the process-wide sink. Before this call, events at kInfo and above are written as
/// text to standard error.
void initialize (const Options& options);

/// Writes the counts of omitted lines that were not reported yet. Call once before the process
/// ends, as they are otherwise reported with a later line. Thread-safe.
void reportOmitted();

/// Writes one event. Thread-safe. Never blocks on the stream: lines above the rate limit of their
/// event, and lines that the stream does not accept, are dropped and counted.
void write (Event event, std::initializer_list<Field> fields = {});

}  // namespace fernlift::log
