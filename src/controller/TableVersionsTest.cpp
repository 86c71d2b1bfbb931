#include <gtest/gtest.h>

#include "controller/TableVersions.h"

namespace fernlift::controller
{
namespace
{

TEST (TableVersionsTest, ChangesAreKnownSinceTheWholeTable)
{
    TableVersions versions;
    versions.restart (5);
    EXPECT_FALSE (versions.contains (0));
    EXPECT_FALSE (versions.contains (4));
    EXPECT_TRUE (versions.contains (5));
    EXPECT_TRUE (versions.contains (9));
}

TEST (TableVersionsTest, LaterVersionsOfAnEarlierLeaderAreNotKnown)
{
    TableVersions versions;
    versions.restart (firstVersionOf (2));
    versions.continueUnderLeader (firstVersionOf (2) + 7, 4);
    EXPECT_TRUE (versions.contains (firstVersionOf (2) + 7));
    EXPECT_FALSE (versions.contains (firstVersionOf (2) + 8));
    EXPECT_FALSE (versions.contains (firstVersionOf (3) + 1))
        << "version of a leader in between, which sent nothing to this member";
    EXPECT_TRUE (versions.contains (firstVersionOf (4)));
}

TEST (TableVersionsTest, AfterTwoChangesOfLeaderOnlyVersionsSinceTheFirstChangeAreKnown)
{
    TableVersions versions;
    versions.restart (firstVersionOf (2));
    versions.continueUnderLeader (firstVersionOf (2) + 7, 4);
    versions.continueUnderLeader (firstVersionOf (4) + 3, 5);
    EXPECT_FALSE (versions.contains (firstVersionOf (2) + 7));
    EXPECT_TRUE (versions.contains (firstVersionOf (4) + 3));
    EXPECT_FALSE (versions.contains (firstVersionOf (4) + 4));
    EXPECT_TRUE (versions.contains (firstVersionOf (5)));
}

}  // namespace
}  // namespace fernlift::controller
