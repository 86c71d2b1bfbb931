#pragma once

/// One attempt at a back end and its timeouts.

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
    /// `firstByteBy`: when the answer must have begun. `betweenParts`: longest silence after that.
    Attempt (AttemptId id, cell::RoutableReplica replica, base::TimePoint firstByteBy,
             base::Duration betweenParts);

    /// Headers or a part of the answer arrived.
    void onHeaders (int httpStatus, base::TimePoint now);
    void onPart (base::TimePoint now);
    /// While paused the attempt is not read and has no timeout.
    void setPaused (bool isPaused, base::TimePoint now);

    [[nodiscard]] AttemptId id() const { return m_id; }
    [[nodiscard]] const cell::RoutableReplica& replica() const { return m_replica; }
    [[nodiscard]] bool hasHeaders() const { return m_hasHeaders; }
    [[nodiscard]] int httpStatus() const { return m_httpStatus; }
    /// When the attempt is given up unless something more arrives.
    [[nodiscard]] base::TimePoint timeoutAt() const { return m_timeoutAt; }

private:
    AttemptId m_id;
    cell::RoutableReplica m_replica;
    base::Duration m_betweenParts;
    base::TimePoint m_timeoutAt;
    bool m_hasHeaders = false;
    bool m_isPaused = false;
    int m_httpStatus = 0;
};

}  // namespace fernlift::dispatch
