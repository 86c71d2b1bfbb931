#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <cstdlib>
#include <sstream>

#include "lab/Measure.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

TEST (MeasureTest, QuantilesAreSamples)
{
    Samples samples;
    EXPECT_EQ (samples.quantile (0.5), 0);
    for (int value = 100; value >= 1; --value)
        samples.add (base::milliseconds (value));
    EXPECT_EQ (samples.quantile (0.5), 50);
    EXPECT_EQ (samples.quantile (0.99), 99);
    EXPECT_EQ (samples.quantile (1), 100);
    EXPECT_EQ (samples.count(), 100U);
}

TEST (MeasureTest, UnknownNameIsRefused)
{
    std::ostringstream out;
    EXPECT_FALSE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_CHECK (runMeasurement ("speed", {}, out));
            return {};
        }));
}

TEST (MeasureTest, NoClaimOfAShortRunIsRefused)
{
    ensureApplication();
    const char* programs = std::getenv ("FERNLIFT_BIN_DIR");
    ASSERT_NE (programs, nullptr) << "set FERNLIFT_BIN_DIR to the folder of the programs";
    const QTemporaryDir folder;
    MeasureOptions options;
    options.programs = programs;
    options.run = folder.path().toStdString();
    options.csvFile = options.run + "/claims.csv";
    options.seconds = 1;
    std::ostringstream out;
    EXPECT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_CHECK (runMeasurement ("claims", options, out));
            return {};
        }));
    EXPECT_NE (out.str().find ("refused: 0,"), std::string::npos) << out.str();
}

}  // namespace
}  // namespace fernlift::lab
