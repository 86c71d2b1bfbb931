#include "controller/SnapshotSchedule.h"

namespace fernlift::controller
{

void SnapshotSchedule::onEntry (std::size_t bytes)
{
    ++entries_;
    logBytes_ += bytes;
}

void SnapshotSchedule::onSnapshot (std::size_t bytes)
{
    entries_ = 0;
    logBytes_ = 0;
    snapshotBytes_ = bytes;
}

bool SnapshotSchedule::isDue() const
{
    const bool isLong = entries_ >= entriesBetween_ || logBytes_ >= kLongLogBytes;
    if (! isLong)
        return false;
    if (entries_ < entriesBetween_)
        return logBytes_ >= kLongLogToSnapshot * snapshotBytes_;
    return snapshotBytes_ <= kSmallSnapshotBytes || logBytes_ >= kLogToSnapshot * snapshotBytes_;
}

}  // namespace fernlift::controller
