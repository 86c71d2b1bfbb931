#pragma once

/// Reference pages that are generated from the code's own tables.

#include <span>
#include <string>

#include "base/Error.h"
#include "log/Log.h"

namespace fernlift::ctl
{

/// The page docs/events.md, in the order of the numbers.
[[nodiscard]] std::string eventsMarkdown (std::span<const log::EventTraits> events);
/// The page docs/errors.md, in the order of the table.
[[nodiscard]] std::string errorsMarkdown (std::span<const base::ErrorTraits> errors);

}  // namespace fernlift::ctl
