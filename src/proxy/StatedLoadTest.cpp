#include <gtest/gtest.h>

#include "proxy/StatedLoad.h"

namespace fernlift::proxy
{
namespace
{

TEST (StatedLoad, HoldsAllFourFigures)
{
    EXPECT_EQ (parseStatedLoad ("12,3,64,250"), (StatedLoad{ 12, 3, 64, 250 }));
}

TEST (StatedLoad, TheSlowdownMayBeMissing)
{
    EXPECT_EQ (parseStatedLoad ("12,3,64"), (StatedLoad{ 12, 3, 64, std::nullopt }));
    EXPECT_EQ (parseStatedLoad ("12,3"), (StatedLoad{ 12, 3, 0, std::nullopt }));
}

TEST (StatedLoad, BlanksAndFurtherFiguresAreLeftOut)
{
    EXPECT_EQ (parseStatedLoad ("1, 2 ,6 , 100, 7"), (StatedLoad{ 1, 2, 6, 100 }));
}

TEST (StatedLoad, InvalidNumberStatesNothing)
{
    EXPECT_FALSE (parseStatedLoad (""));
    EXPECT_FALSE (parseStatedLoad ("12"));
    EXPECT_FALSE (parseStatedLoad ("a,b,c,d"));
    EXPECT_FALSE (parseStatedLoad ("-1,2,3"));
    EXPECT_FALSE (parseStatedLoad ("99999999999,2,3"));
}

TEST (StatedLoad, ABrokenSlowdownLeavesTheOtherFigures)
{
    EXPECT_EQ (parseStatedLoad ("12,3,64,fast"), (StatedLoad{ 12, 3, 64, std::nullopt }));
    EXPECT_EQ (parseStatedLoad ("12,3,64,0"), (StatedLoad{ 12, 3, 64, std::nullopt }));
}

}  // namespace
}  // namespace fernlift::proxy
