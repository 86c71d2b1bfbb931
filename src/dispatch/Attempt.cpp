#include "dispatch/Attempt.h"

#include <utility>

namespace fernlift::dispatch
{

Attempt::Attempt (AttemptId id, cell::RoutableReplica replica, base::TimePoint startedAt,
                  base::TimePoint firstByteBy, base::Duration betweenParts)
    : m_id (id),
      m_replica (std::move (replica)),
      m_startedAt (startedAt),
      m_betweenParts (betweenParts),
      m_timeoutAt (firstByteBy)
{
}

void Attempt::onHeaders (int httpStatus, base::TimePoint now)
{
    m_hasHeaders = true;
    m_httpStatus = httpStatus;
    onPart (now);
}

void Attempt::onPart (base::TimePoint now)
{
    if (! m_isPaused)
        m_timeoutAt = now + m_betweenParts;
}

void Attempt::setPaused (bool isPaused, base::TimePoint now)
{
    m_isPaused = isPaused;
    m_timeoutAt = isPaused ? base::TimePoint::max() : now + m_betweenParts;
}

}  // namespace fernlift::dispatch
