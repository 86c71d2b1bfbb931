#pragma once

/**
 * Streams that wait to be sent, several in one message.
 */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/Time.h"
#include "cell/StreamMessages.h"

namespace fernlift::cell
{

/** Streams or keys of streams in one message. */
constexpr std::size_t kMaxStreamsPerMessage = 500;

/** Pure: time is passed in. Threading: none. */
class StreamBatch
{
public:
    /** Streams that may wait; beyond it the oldest ones are dropped. */
    static constexpr std::size_t kMaxPending = 20'000;
    static constexpr base::Duration kInterval = base::milliseconds (100);

    void add (const StreamNotice& stream);
    /** Returns the streams that are due to be sent. */
    [[nodiscard]] std::optional<StreamRecords> take (base::TimePoint now);
    /** Streams dropped before they were sent. */
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    std::deque<StreamNotice> m_pending;
    base::TimePoint m_nextAt{};  ///< Earliest time of the next message.
    std::uint64_t m_dropped = 0;
};

}  // namespace fernlift::cell
