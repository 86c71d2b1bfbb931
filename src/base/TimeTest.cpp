// Guards against leases that outlast a suspension of the machine, because the clock did not count
// it.

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "base/Time.h"

namespace
{

/// Simulated duration of a suspension of the machine.
timespec suspendedFor{ 0, 0 };

}  // namespace

/// Replaces the C library's function, also for the C++ library: the clock that counts suspended
/// time is ahead of the steady clock by the simulated suspension.
extern "C" int clock_gettime (clockid_t id, timespec* time) noexcept  // NOLINT
{
    const long result = ::syscall (SYS_clock_gettime, id, time);
    if (result == 0 && id == CLOCK_BOOTTIME)
        time->tv_sec += suspendedFor.tv_sec;
    return static_cast<int> (result);
}

namespace fernlift::base
{
namespace
{

class SystemClockTest : public ::testing::Test
{
protected:
    void TearDown() override { suspendedFor = { 0, 0 }; }
};

TEST_F (SystemClockTest, CountsTheTimeForWhichTheMachineWasSuspended)
{
    const SystemClock clock;
    const TimePoint leaseUntil = clock.now() + seconds (2);
    EXPECT_LT (clock.now(), leaseUntil);
    suspendedFor.tv_sec = 5;
    EXPECT_GE (clock.now(), leaseUntil) << "the lease has expired for all other processes";
}

TEST_F (SystemClockTest, MeasuresHowLongTheMachineWasSuspended)
{
    const SystemClock clock;
    SuspensionWatch watch;
    EXPECT_EQ (watch.observe (clock.now(), clock.runningTime()), Duration::zero());
    EXPECT_EQ (watch.observe (clock.now(), clock.runningTime()), Duration::zero());
    suspendedFor.tv_sec = 5;
    const Duration suspended = watch.observe (clock.now(), clock.runningTime());
    EXPECT_GE (suspended, milliseconds (4900));
    EXPECT_LE (suspended, milliseconds (5100));
    EXPECT_EQ (watch.observe (clock.now(), clock.runningTime()), Duration::zero());
}

}  // namespace
}  // namespace fernlift::base
