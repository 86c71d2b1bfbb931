#include <gtest/gtest.h>

#include "routing/OutlierDetector.h"

namespace fernlift::routing
{
namespace
{

using base::milliseconds;
using base::seconds;

class OutlierDetectorTest : public ::testing::Test
{
protected:
    void fail (int times)
    {
        for (int made = 0; made < times; ++made)
            detector.onFailure (runner, now);
    }

    const base::RunnerId runner{ "r1" };
    base::TimePoint now{ seconds (100) };
    OutlierDetector detector;
};

TEST_F (OutlierDetectorTest, OnlyConsecutiveFailuresEject)
{
    fail (2);
    detector.onSuccess (runner, now);
    fail (2);
    EXPECT_FALSE (detector.isEjected (runner, now));
    fail (1);
    EXPECT_TRUE (detector.isEjected (runner, now));
    EXPECT_EQ (detector.weightOf (runner, now), 0.0);
    EXPECT_FALSE (detector.isEjected (base::RunnerId ("r2"), now));
    EXPECT_EQ (detector.weightOf (base::RunnerId ("r2"), now), 1.0);
}

TEST_F (OutlierDetectorTest, ReturnsSlowly)
{
    fail (3);
    now += seconds (1);
    EXPECT_FALSE (detector.isEjected (runner, now));
    EXPECT_NEAR (detector.weightOf (runner, now), 0.1, 0.001);
    EXPECT_NEAR (detector.weightOf (runner, now + seconds (5)), 0.55, 0.001);
    EXPECT_EQ (detector.weightOf (runner, now + seconds (10)), 1.0);
}

TEST_F (OutlierDetectorTest, ASuccessDuringTheReturnDoesNotRestoreFullWeight)
{
    fail (3);
    now += seconds (2);
    detector.onSuccess (runner, now);
    EXPECT_LT (detector.weightOf (runner, now), 0.5);
}

TEST_F (OutlierDetectorTest, AFailureDuringTheReturnDoublesTheEjection)
{
    fail (3);
    now += milliseconds (1500);
    fail (1);
    EXPECT_TRUE (detector.isEjected (runner, now + milliseconds (1900)));
    EXPECT_FALSE (detector.isEjected (runner, now + milliseconds (2100)));
}

TEST_F (OutlierDetectorTest, LateFailuresOfOldAttemptsDoNotProlongAnEjection)
{
    fail (3);
    fail (20);
    EXPECT_FALSE (detector.isEjected (runner, now + milliseconds (1001)));
}

TEST_F (OutlierDetectorTest, EjectionsAreBounded)
{
    for (int round = 0; round < 20; ++round)
    {
        fail (3);
        EXPECT_FALSE (detector.isEjected (runner, now + milliseconds (30'001)));
        while (detector.isEjected (runner, now))
            now += milliseconds (500);
    }
}

TEST_F (OutlierDetectorTest, ASuccessAfterTheFullReturnClearsTheRecord)
{
    fail (3);
    now += seconds (12);
    detector.onSuccess (runner, now);
    fail (2);
    EXPECT_FALSE (detector.isEjected (runner, now));
    fail (1);
    EXPECT_FALSE (detector.isEjected (runner, now + milliseconds (1001)))
        << "the first length again";
}

}  // namespace
}  // namespace fernlift::routing
