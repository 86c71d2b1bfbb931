#include <gtest/gtest.h>

#include "scale/ScaleTable.h"

namespace fernlift::scale
{
namespace
{

Measurement row (std::int64_t routers, const std::string& quantity, double value)
{
    Measurement measurement;
    measurement.dimension = "routers";
    measurement.sizes.routers = routers;
    measurement.size = routers;
    measurement.role = "leader";
    measurement.quantity = quantity;
    measurement.value = value;
    return measurement;
}

TEST (ScaleTableTest, QuotesOnlyWhatNeedsIt)
{
    EXPECT_EQ (csvField ("plain text"), "plain text");
    EXPECT_EQ (csvField ("a,b"), "\"a,b\"");
    EXPECT_EQ (csvField ("say \"no\""), "\"say \"\"no\"\"\"");
}

TEST (ScaleTableTest, MeasurementsHaveAllSizes)
{
    EXPECT_EQ (
        measurementsCsv ({ row (10, "bytes_out_per_second", 1234.5) }),
        "dimension,routers,runners,models,adapters,loads_per_hour,changes_per_day,role,quantity,"
        "value\nrouters,10,60,16,400,1000,0,leader,bytes_out_per_second,1234.5\n");
}

TEST (ScaleTableTest, FitsEachQuantityByItself)
{
    const auto slopes = slopesOf ({ row (10, "a", 20), row (10, "b", 7), row (20, "a", 40),
                                    row (20, "b", 7), row (30, "a", 60), row (30, "b", 7) });
    ASSERT_EQ (slopes.size(), 2U);
    EXPECT_EQ (slopes[0].quantity, "a");
    EXPECT_NEAR (slopes[0].fit.slope, 2, 1e-9);
    EXPECT_NEAR (slopes[1].fit.slope, 0, 1e-9);
    EXPECT_EQ (slopes[0].largestSize, 30);
}

/// A kind of message that does not occur at a small size cost nothing there.
TEST (ScaleTableTest, AMissingQuantityCountsAsZero)
{
    const auto slopes =
        slopesOf ({ row (10, "a", 1), row (20, "a", 1), row (30, "a", 1), row (30, "b", 60) });
    ASSERT_EQ (slopes.size(), 2U);
    EXPECT_EQ (slopes[1].fit.points, 3U);
    EXPECT_NEAR (slopes[1].fit.slope, 3, 1e-9);
}

TEST (ScaleTableTest, RepeatedStepsCountEach)
{
    const auto slopes = slopesOf ({ row (10, "a", 1), row (10, "a", 3), row (20, "a", 4) });
    ASSERT_EQ (slopes.size(), 1U);
    EXPECT_EQ (slopes[0].fit.points, 3U);
    EXPECT_NEAR (slopes[0].fit.slope, 0.2, 1e-9);
}

TEST (ScaleTableTest, OneSizeGivesNoSlope)
{
    EXPECT_TRUE (slopesOf ({ row (10, "a", 1) }).empty());
}

TEST (ScaleTableTest, SlopesCsvLeavesUnknownErrorsEmpty)
{
    const auto slopes = slopesOf ({ row (10, "a", 20), row (20, "a", 40) });
    EXPECT_EQ (slopesCsv (slopes),
               "dimension,role,quantity,points,largest_size,slope,slope_standard_error,intercept,"
               "intercept_standard_error\nrouters,leader,a,2,20,2,,0,\n");
}

}  // namespace
}  // namespace fernlift::scale
