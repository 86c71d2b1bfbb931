#pragma once

/**
 * The text of a configuration as a change of another one, and back.
 *
 * Routers that hold one of the last configurations are told what changed. A change of the operator
 * often moves a few routes that stand far apart, so that a change is a list of pieces: parts that
 * are kept, each followed by new text.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/** Pieces of `base` that make up `text`. Takes time in proportion to both; what is kept is found
   where whole segments, which end after a closing brace or a line, are the same.
*/
[[nodiscard]] std::vector<TextPiece> piecesBetween (std::string_view base, std::string_view text);

/** The text that the pieces of `base` make up; nothing when one is not within `base`. */
[[nodiscard]] std::optional<std::string> joinPieces (std::string_view base,
                                                     const std::vector<TextPiece>& pieces);

/// The whole text that an update stands for; nothing when it does not follow on the one held, or
/// when the text does not have the update's digest.
[[nodiscard]] std::optional<std::string> wholeText (const ConfigurationUpdate& update,
                                                    const HeldConfiguration& held);

}  // namespace fernlift::cell
