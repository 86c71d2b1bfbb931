#pragma once

/**
 * Streams that the controllers keep for the routers of their cell. Each controller has the streams
 * of the routers that it serves; the leader receives those of all controllers and passes them on.
 */

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/Time.h"
#include "cell/StreamBatch.h"
#include "cell/StreamMessages.h"
#include "cell/StreamVersions.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class RecordedStreams
{
public:
    void record (const cell::StreamRecords& records, base::TimePoint now);
    /** The same, and queues the streams for other controllers. */
    void recordAndPassOn (const cell::StreamRecords& records, base::TimePoint now);
    /** Returns those of the streams that are known here. */
    [[nodiscard]] cell::StreamLookupReply answer (const cell::StreamLookup& lookup,
                                                  base::TimePoint now) const;
    /** Returns the streams that are due for other controllers. */
    [[nodiscard]] std::optional<cell::StreamRecords> takeRecords (base::TimePoint now)
    {
        return m_batch.take (now);
    }
    void expire (base::TimePoint now) { m_streams.expire (now); }

    [[nodiscard]] std::size_t size() const { return m_streams.size(); }
    /** Streams dropped before they were sent to other controllers. */
    [[nodiscard]] std::uint64_t dropped() const { return m_batch.dropped(); }

private:
    cell::StreamVersions m_streams;
    cell::StreamBatch m_batch;
};

}  // namespace fernlift::controller
