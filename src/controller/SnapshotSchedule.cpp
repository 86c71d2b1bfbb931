#include "controller/SnapshotSchedule.h"

namespace fernlift::controller
{

void SnapshotSchedule::onEntry (std::size_t bytes)
{
    ++m_entries;
    m_logBytes += bytes;
}

void SnapshotSchedule::onSnapshot (std::size_t bytes)
{
    m_entries = 0;
    m_logBytes = 0;
    m_snapshotBytes = bytes;
}

bool SnapshotSchedule::isDue() const
{
    const bool isLong = m_entries >= m_entriesBetween || m_logBytes >= kLongLogBytes;
    if (! isLong)
        return false;
    if (m_entries < m_entriesBetween)
        return m_logBytes >= kLongLogToSnapshot * m_snapshotBytes;
    return m_snapshotBytes <= kSmallSnapshotBytes || m_logBytes >= kLogToSnapshot * m_snapshotBytes;
}

}  // namespace fernlift::controller
