#pragma once

/**
 * Encodes the text of a configuration as a difference to another one, and decodes it.
 *
 * Routers that hold one of the last configurations receive only the difference. Operators often
 * change a few routes that are far apart, so that a difference is a list of pieces: parts of the
 * base that are kept, each followed by new text. Stateless; the functions may be called from any
 * thread.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cell/RouterMessages.h"

namespace fernlift::cell
{

/// Configuration that a router holds.
struct HeldConfiguration
{
    std::uint64_t version = 0;  ///< 0: no configuration.
    std::string digest;
    std::string text;
};

/** Returns the pieces that produce `text` from `base`, in time linear in both. Parts are kept where
   whole segments are equal; a segment ends after a closing brace or at the end of a line.
*/
[[nodiscard]] std::vector<TextPiece> piecesBetween (std::string_view base, std::string_view text);

/** Returns the text that the pieces produce from `base`, or nothing if a piece exceeds `base`. */
[[nodiscard]] std::optional<std::string> joinPieces (std::string_view base,
                                                     const std::vector<TextPiece>& pieces);

/// Returns the complete text of the configuration in an update. Returns nothing if the update is a
/// difference to another configuration than the one held, or if the text that it produces does not
/// match the digest of the update.
[[nodiscard]] std::optional<std::string> wholeText (const ConfigurationUpdate& update,
                                                    const HeldConfiguration& held);

}  // namespace fernlift::cell
