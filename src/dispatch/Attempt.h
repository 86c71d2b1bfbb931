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

    [[nodiscard]] AttemptId id() const { return id_; }
    [[nodiscard]] const cell::RoutableReplica& replica() const { return replica_; }
    [[nodiscard]] bool hasHeaders() const { return hasHeaders_; }
    [[nodiscard]] int httpStatus() const { return httpStatus_; }
    /// When the attempt is given up unless something more arrives.
    [[nodiscard]] base::TimePoint timeoutAt() const { return timeoutAt_; }

private:
    AttemptId id_;
    cell::RoutableReplica replica_;
    base::Duration betweenParts_;
    base::TimePoint timeoutAt_;
    bool hasHeaders_ = false;
    bool isPaused_ = false;
    int httpStatus_ = 0;
};

}  // namespace fernlift::dispatch
