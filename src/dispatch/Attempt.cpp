#include "dispatch/Attempt.h"

#include <utility>

namespace fernlift::dispatch
{

Attempt::Attempt (AttemptId id, cell::RoutableReplica replica, base::TimePoint firstByteBy,
                  base::Duration betweenParts)
    : id_ (id),
      replica_ (std::move (replica)),
      betweenParts_ (betweenParts),
      timeoutAt_ (firstByteBy)
{
}

void Attempt::onHeaders (int httpStatus, base::TimePoint now)
{
    hasHeaders_ = true;
    httpStatus_ = httpStatus;
    onPart (now);
}

void Attempt::onPart (base::TimePoint now)
{
    if (! isPaused_)
        timeoutAt_ = now + betweenParts_;
}

void Attempt::setPaused (bool isPaused, base::TimePoint now)
{
    isPaused_ = isPaused;
    timeoutAt_ = isPaused ? base::TimePoint::max() : now + betweenParts_;
}

}  // namespace fernlift::dispatch
