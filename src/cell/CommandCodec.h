#pragma once

/**
 * Encodes commands as entries of the replicated log. Large commands, which are those that contain a
 * configuration file, are compressed once, by the proposer; every member stores and sends the
 * compressed bytes. Stateless; the functions may be called from any thread.
 */

#include <string>
#include <string_view>

#include "base/Error.h"
#include "cell/Commands.h"

namespace fernlift::cell
{

[[nodiscard]] std::string encodeCommand (const Command& command);

/** Inverse of encodeCommand(). Fails with kMessageInvalid on bytes that it cannot decode. */
[[nodiscard]] base::Result<Command> decodeCommand (std::string_view bytes);

}  // namespace fernlift::cell
