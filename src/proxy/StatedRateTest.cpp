#include <gtest/gtest.h>

#include "proxy/StatedRate.h"

namespace fernlift::proxy
{
namespace
{

StatedRate rateOf (const std::string& text)
{
    return readStatedRate ({ { "Content-Type", "text/plain" }, { "rate", text } }, "Rate");
}

TEST (StatedRateTest, ReadsDecimalNumbers)
{
    EXPECT_EQ (rateOf ("1"), StatedRate (LimitedRate{ 1 }));
    EXPECT_EQ (rateOf ("0.05"), StatedRate (LimitedRate{ 0.05 }));
    EXPECT_EQ (rateOf ("0"), StatedRate (LimitedRate{ 0 }));
    EXPECT_EQ (rateOf (" 12.5\t"), StatedRate (LimitedRate{ 12.5 }));
}

TEST (StatedRateTest, AnAnswerWithoutTheFieldIsUnlimited)
{
    EXPECT_EQ (readStatedRate ({ { "Content-Type", "text/plain" } }, "Rate"),
               StatedRate (UnlimitedRate{}));
    EXPECT_EQ (readStatedRate ({ { "", "1" } }, ""), StatedRate (UnlimitedRate{}));
}

TEST (StatedRateTest, ARateBeyondAnyTrafficIsUnlimited)
{
    EXPECT_EQ (rateOf ("1e9"), StatedRate (UnlimitedRate{}));
    EXPECT_EQ (rateOf ("1000"), StatedRate (UnlimitedRate{}));
    EXPECT_EQ (rateOf ("999.5"), StatedRate (LimitedRate{ 999.5 }));
}

TEST (StatedRateTest, DistinguishesInvalidRateFromMissingOne)
{
    for (const std::string text :
         { "", " ", "-1", "-0", "nan", "inf", "1e999", "one", "1 2", "1,2", "0x1p3", "1s" })
    {
        EXPECT_EQ (rateOf (text), StatedRate (UnreadableRate{ text })) << text;
    }
    const std::string longText (100, 'x');
    EXPECT_EQ (rateOf (longText), StatedRate (UnreadableRate{ longText.substr (0, 32) }));
}

TEST (StatedRateTest, LowestOfSeveralFieldsApplies)
{
    EXPECT_EQ (readStatedRate ({ { "Rate", "3" }, { "Rate", "2" }, { "Rate", "nan" } }, "Rate"),
               StatedRate (LimitedRate{ 2 }));
}

}  // namespace
}  // namespace fernlift::proxy
