#pragma once

/// Rebuilds the text of a configuration from an update that holds only what changed.

#include <cstdint>
#include <optional>
#include <string>

#include "cell/RouterMessages.h"

namespace fernlift::cell
{

/// A configuration as a router holds it.
struct HeldConfiguration
{
    std::uint64_t version = 0;  ///< 0: none.
    std::string digest;
    std::string text;
};

/// The whole text that an update stands for; nothing when it does not follow on the one held, or
/// when the text does not have the update's digest.
[[nodiscard]] std::optional<std::string> wholeText (const ConfigurationUpdate& update,
                                                    const HeldConfiguration& held);

}  // namespace fernlift::cell
