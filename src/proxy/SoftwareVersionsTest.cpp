#include <gtest/gtest.h>

#include "proxy/SoftwareVersions.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (1000) };

TEST (SoftwareVersionsTest, VersionWithoutRunnersCountsFromItsLastOneOn)
{
    SoftwareVersions versions;
    EXPECT_EQ (versions.onlySince ("s", kStart), "");
    versions.add ("s", "v1");
    versions.add ("s", "v1");
    EXPECT_EQ (versions.onlySince ("s", kStart), "v1");
    versions.add ("s", "v2");
    versions.remove ("s", "v1", kStart);
    EXPECT_FALSE (versions.onlySince ("s", kStart + base::seconds (50)));
    versions.remove ("s", "v1", kStart + base::seconds (1));
    EXPECT_FALSE (versions.onlySince ("s", kStart + base::seconds (1)));
    EXPECT_EQ (versions.onlySince ("s", kStart + base::seconds (2)), "v2");
}

TEST (SoftwareVersionsTest, ServicesAreSeparateAndUnknownVersionsDoNotCount)
{
    SoftwareVersions versions;
    versions.add ("s", "v1");
    versions.add ("s", "");
    versions.add ("other", "v2");
    EXPECT_EQ (versions.onlySince ("s", kStart), "v1");
    EXPECT_EQ (versions.onlySince ("other", kStart), "v2");
    versions.remove ("s", "", kStart);
    versions.remove ("unknown", "v1", kStart);
    EXPECT_EQ (versions.onlySince ("s", kStart), "v1");
}

}  // namespace
}  // namespace fernlift::proxy
