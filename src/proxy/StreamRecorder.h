#pragma once

/**
 * Streams that the controllers keep for the routers of their cell: this router records there the
 * streams that it announces to other routers, and looks up streams that it does not know. Streams
 * thus stay known when all routers that knew them have ended.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"
#include "cell/StreamBatch.h"
#include "cell/StreamMessages.h"
#include "cell/StreamVersions.h"

namespace fernlift::proxy
{

/** Pure: time is passed in. Threading: none; owned by one ProxyProcess. */
class StreamRecorder
{
public:
    /** Lookups of which the answer is kept or awaited; beyond it no stream is looked up. */
    static constexpr std::size_t kMaxLookups = 10'000;

    /** Queues a stream for the controllers. */
    void record (const cell::StreamNotice& stream) { m_batch.add (stream); }
    /** Looks up a stream, unless that was done just now. Returns whether the answer is awaited. */
    [[nodiscard]] bool lookUp (const std::string& key, base::TimePoint now);

    /** Handles the end or replacement of the connection to the controller. Nothing that was looked
        up there is awaited any longer.
    */
    void onLinkLost();
    /** Handles the statement of the controller that it keeps streams. */
    void onSupported() { m_isSupported = true; }
    /** Records the streams of an answer in `known`. */
    void onReply (const cell::StreamLookupReply& reply, cell::StreamVersions& known,
                  base::TimePoint now);

    /** Returns the streams that are due to be sent. */
    [[nodiscard]] std::optional<cell::StreamRecords> takeRecords (base::TimePoint now);
    /** Returns the keys that were not yet asked for. */
    [[nodiscard]] std::optional<cell::StreamLookup> takeLookup();
    void expire (base::TimePoint now);

    /** Streams looked up so far. */
    [[nodiscard]] std::uint64_t lookups() const { return m_lookupCount; }
    /** Those of them that the controllers had. */
    [[nodiscard]] std::uint64_t found() const { return m_found; }
    /** Streams dropped before a controller received them. */
    [[nodiscard]] std::uint64_t dropped() const { return m_batch.dropped(); }

private:
    struct Lookup
    {
        std::uint64_t sequence = 0;  ///< Message that asks for the stream; 0: not yet sent.
        bool isAwaited = true;
        base::TimePoint endsAt{};
    };

    bool m_isSupported = false;  ///< Whether the connected controller keeps streams.
    cell::StreamBatch m_batch;
    std::uint64_t m_sequence = 0;             ///< Of the last StreamLookup.
    std::map<std::string, Lookup> m_lookups;  ///< By key of the stream.
    std::uint64_t m_lookupCount = 0;
    std::uint64_t m_found = 0;
};

}  // namespace fernlift::proxy
