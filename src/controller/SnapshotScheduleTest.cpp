#include <gtest/gtest.h>

#include "controller/SnapshotSchedule.h"

namespace fernlift::controller
{
namespace
{

TEST (SnapshotScheduleTest, SmallStateIsDueByEntries)
{
    SnapshotSchedule schedule (2);
    schedule.onSnapshot (SnapshotSchedule::kSmallSnapshotBytes);
    schedule.onEntry (1);
    EXPECT_FALSE (schedule.isDue());
    schedule.onEntry (1);
    EXPECT_TRUE (schedule.isDue());
    schedule.onSnapshot (10);
    EXPECT_FALSE (schedule.isDue());
}

TEST (SnapshotScheduleTest, LargeStateIsDueOnceTheLogIsLarger)
{
    constexpr std::size_t kLarge = 2 * SnapshotSchedule::kSmallSnapshotBytes;
    SnapshotSchedule schedule (2);
    schedule.onSnapshot (kLarge);
    for (std::size_t part = 1; part < SnapshotSchedule::kLogToSnapshot; ++part)
    {
        schedule.onEntry (kLarge);
        EXPECT_FALSE (schedule.isDue()) << part;
    }
    schedule.onEntry (kLarge);
    EXPECT_TRUE (schedule.isDue());
}

TEST (SnapshotScheduleTest, LongLogIsDueBeforeTheNumberOfEntries)
{
    SnapshotSchedule schedule (1000);
    schedule.onSnapshot (10);
    schedule.onEntry (SnapshotSchedule::kLongLogBytes - 1);
    EXPECT_FALSE (schedule.isDue());
    schedule.onEntry (1);
    EXPECT_TRUE (schedule.isDue());
}

}  // namespace
}  // namespace fernlift::controller
