#include <gtest/gtest.h>

#include "base/TokenBucket.h"

namespace fernlift::base
{
namespace
{

constexpr TimePoint kStart{ seconds (100) };

int takenAt (TokenBucket& bucket, TimePoint now)
{
    int taken = 0;
    while (bucket.take (now))
        ++taken;
    return taken;
}

TEST (TokenBucketTest, RefillsUpToTheBurst)
{
    TokenBucket bucket (5, 2);
    EXPECT_EQ (takenAt (bucket, kStart), 5);
    EXPECT_EQ (takenAt (bucket, kStart + milliseconds (400)), 0);
    EXPECT_EQ (takenAt (bucket, kStart + seconds (1)), 2);
    EXPECT_EQ (takenAt (bucket, kStart + seconds (60)), 5);
}

}  // namespace
}  // namespace fernlift::base
