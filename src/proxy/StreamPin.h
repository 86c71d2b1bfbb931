#pragma once

/**
 * Decides at which software version a stream that its caller resumes may go on. What runners of two
 * versions write does not fit together.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/SoftwareVersions.h"

namespace fernlift::proxy
{

/** What the software version of a resumed stream was read from; for logs. */
enum class PinSource : std::uint8_t
{
    kNone,    ///< The request resumes no stream, or its version is not known.
    kNotice,  ///< A router stated the version of the stream.
    kTable,   ///< All runners that may have begun the stream had the same version.
};

[[nodiscard]] std::string_view toString (PinSource source);

struct StreamPin
{
    PinSource source = PinSource::kNone;
    std::string version;  ///< Empty: the runners state no versions.

    bool operator== (const StreamPin&) const = default;
};

/** The version that all runners have or had; empty if they state none. None if versions are mixed
   or unknown.
*/
[[nodiscard]] std::optional<std::string> onlyVersionIn (const SoftwareVersionsInUse& versions);

/** Returns none if the version of the stream is not known. `stated` is the version that a router
    stated for this stream, `inUse` are the versions within the lifetime of a stream.
*/
[[nodiscard]] std::optional<StreamPin> pinResumedStream (const std::optional<std::string>& stated,
                                                         const SoftwareVersionsInUse& inUse);

/** Whether other routers need a notice of a stream to let it go on: its version doesn't follow from
    the table of runners.
*/
[[nodiscard]] bool needsNotice (const SoftwareVersionsInUse& inUse);

}  // namespace fernlift::proxy
