#include <gtest/gtest.h>

#include "scale/ScaleProgram.h"

namespace fernlift::scale
{
namespace
{

bool isRefused (std::string_view text)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            auto ladder = parseLadder (text);
            if (! ladder)
                return ladder.error();
            return false;
        },
        [] (const base::Error& error) { return error.kind == base::ErrorKind::kUsage; });
}

TEST (ScaleProgramTest, ReadsALadder)
{
    const Ladder ladder = parseLadder ("runners=60,240,730").value();
    EXPECT_EQ (ladder.dimension, "runners");
    EXPECT_EQ (ladder.sizes, (std::vector<std::int64_t>{ 60, 240, 730 }));
}

TEST (ScaleProgramTest, RefusesWhatIsNoLadder)
{
    for (const char* text : { "", "routers", "routers=", "routers=1,", "routers=1,x", "zones=1",
                              "routers=-1", "routers=1 ,2" })
    {
        EXPECT_TRUE (isRefused (text)) << text;
    }
}

}  // namespace
}  // namespace fernlift::scale
