#pragma once

/// Formats a log record as text or JSON. Pure functions, so that both can be tested without a sink.

#include <span>
#include <string>
#include <string_view>

#include "log/Log.h"

namespace fernlift::log
{

/// All data written for one event.
struct Record
{
    std::string timestamp;  ///< ISO 8601 in UTC, with microseconds.
    std::string program;
    std::string instance;
    EventTraits event;
    std::span<const Field> fields;
};

/// Returns "debug", "info", "warning" or "error".
[[nodiscard]] std::string_view toString (Severity severity);
/// Returns one line without the newline; fields follow the summary as name=value. Values with
/// spaces, quotes or control characters are quoted and escaped, so that a record is always exactly
/// one line.
[[nodiscard]] std::string formatText (const Record& record);
/// Returns one JSON object on one line, without the newline; the event's fields are under "fields".
[[nodiscard]] std::string formatJson (const Record& record);

}  // namespace fernlift::log
