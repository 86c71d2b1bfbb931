#pragma once

/**
 * Messages by which routers record streams at the controllers of their cell, and look up streams
 * that they do not know. See docs/design/stream-versions.md.
 *
 * A controller that keeps streams sends an empty StreamRecords first on a connection whose hello
 * has the feature bit. The other messages are sent only to such a controller.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::cell
{

/** Software version of a stream that began. */
struct StreamNotice
{
    std::string key;              ///< Result of streamKeyOf().
    std::string softwareVersion;  ///< Version of the runner that wrote the first event.
    base::Duration lifetime{};    ///< Time for which callers may resume the stream.

    bool operator== (const StreamNotice&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        std::int64_t lifetimeMilliseconds = base::toMilliseconds (lifetime);
        archive& key& softwareVersion& lifetimeMilliseconds;
        if constexpr (Archive::is_loading::value)
            lifetime = base::milliseconds (lifetimeMilliseconds);
    }
};

/** Streams that began since the sender's last message of this type. Sent by routers, and passed on
    among the controllers so that each of them has the streams of all routers.
*/
struct StreamRecords
{
    std::vector<StreamNotice> streams;

    bool operator== (const StreamRecords&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& streams;
    }
};

/** Asks for the software versions of streams. Answered by a StreamLookupReply with this sequence.
 */
struct StreamLookup
{
    std::uint64_t sequence = 0;
    std::vector<std::string> keys;

    bool operator== (const StreamLookup&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& keys;
    }
};

/** Streams of the lookup that the controller has; it does not know the others. */
struct StreamLookupReply
{
    std::uint64_t sequence = 0;
    std::vector<StreamNotice> streams;

    bool operator== (const StreamLookupReply&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& streams;
    }
};

}  // namespace fernlift::cell
