#pragma once

/// One attempt to run a request at a back end, with its timeouts.

#include <cstdint>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::dispatch
{

/// Identifies one attempt inside a router; never reused.
using AttemptId = std::uint64_t;

class Attempt
{
public:
    /// `firstByteBy` is the deadline for the start of the answer, `betweenParts` the timeout
    /// between its parts after that.
    Attempt (AttemptId id, cell::RoutableReplica replica, base::TimePoint startedAt,
             base::TimePoint firstByteBy, base::Duration betweenParts);

    /// The headers arrived, which counts as a part of the answer.
    void onHeaders (int httpStatus, base::TimePoint now);
    void onPart (base::TimePoint now);
    /// While the attempt is paused, its answer is not read and no timeout applies.
    void setPaused (bool isPaused, base::TimePoint now);

    [[nodiscard]] AttemptId id() const { return m_id; }
    [[nodiscard]] const cell::RoutableReplica& replica() const { return m_replica; }
    [[nodiscard]] base::TimePoint startedAt() const { return m_startedAt; }
    [[nodiscard]] bool hasHeaders() const { return m_hasHeaders; }
    [[nodiscard]] int httpStatus() const { return m_httpStatus; }
    /// Time at which the attempt times out unless another part arrives.
    [[nodiscard]] base::TimePoint timeoutAt() const { return m_timeoutAt; }

private:
    AttemptId m_id;
    cell::RoutableReplica m_replica;
    base::TimePoint m_startedAt;
    base::Duration m_betweenParts;
    base::TimePoint m_timeoutAt;
    bool m_hasHeaders = false;
    bool m_isPaused = false;
    int m_httpStatus = 0;
};

}  // namespace fernlift::dispatch
