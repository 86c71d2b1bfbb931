#pragma once

/// Generates the reference pages of events and errors from the tables in the code.

#include <span>
#include <string>

#include "base/Error.h"
#include "log/Log.h"

namespace fernlift::ctl
{

/// Text of docs/events.md, sorted by event number.
[[nodiscard]] std::string eventsMarkdown (std::span<const log::EventTraits> events);
/// Text of docs/errors.md, in the order of the error table.
[[nodiscard]] std::string errorsMarkdown (std::span<const base::ErrorTraits> errors);

}  // namespace fernlift::ctl
