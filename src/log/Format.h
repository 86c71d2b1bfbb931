#pragma once

/// Text and JSON forms of one log record. Pure, so that both can be tested without a sink.

#include <span>
#include <string>
#include <string_view>

#include "log/Log.h"

namespace fernlift::log
{

/// Everything that is written of one event.
struct Record
{
    std::string timestamp;  ///< ISO 8601 in UTC, with microseconds.
    std::string program;
    std::string instance;
    EventTraits event;
    std::span<const Field> fields;
};

/// "debug", "info", "warning" or "error".
[[nodiscard]] std::string_view toString (Severity severity);
/// One line without its end: fields follow the summary as name=value. A value with spaces, quotes
/// or control characters is quoted and escaped, so that a record is always exactly one line.
[[nodiscard]] std::string formatText (const Record& record);
/// One JSON object on one line without its end; the event's fields are under "fields".
[[nodiscard]] std::string formatJson (const Record& record);

}  // namespace fernlift::log
