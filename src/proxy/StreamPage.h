#pragma once

/**
 * Body of the answer to a StreamQuery: one line for each stream, with its key, the time in ms for
 * which callers may still resume it, and its software version in percent-encoding.
 */

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "proxy/PeerMessage.h"

namespace fernlift::proxy
{

/** Streams in a whole page; a shorter one is the last. */
constexpr std::size_t kStreamsPerPage = 500;

[[nodiscard]] std::string formatStreamPage (std::span<const StreamNotice> streams);
/** Fails with kMessageInvalid. */
[[nodiscard]] base::Result<std::vector<StreamNotice>> parseStreamPage (std::string_view text);

}  // namespace fernlift::proxy
