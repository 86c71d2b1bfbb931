#pragma once

/**
 * Commands as entries of the replicated log. Large ones, which are those that hold an operator's
 * file, are compressed once, when they are proposed: every member writes, sends and keeps them so.
 */

#include <string>
#include <string_view>

#include "base/Error.h"
#include "cell/Commands.h"

namespace fernlift::cell
{

[[nodiscard]] std::string encodeCommand (const Command& command);

/** Inverse of encodeCommand; fails with kMessageInvalid. */
[[nodiscard]] base::Result<Command> decodeCommand (std::string_view bytes);

}  // namespace fernlift::cell
