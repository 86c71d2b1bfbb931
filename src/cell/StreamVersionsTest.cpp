#include <gtest/gtest.h>

#include "cell/StreamVersions.h"

namespace fernlift::cell
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (1000) };
constexpr base::Duration kLifetime = base::seconds (10);

TEST (StreamVersionsTest, VersionIsKnownForTheLifetimeOfItsStream)
{
    StreamVersions streams;
    streams.record ("a", "v1", kStart + kLifetime);
    streams.record ("a", "v2", kStart + 2 * kLifetime);
    EXPECT_EQ (streams.find ("a", kStart), "v1");
    EXPECT_FALSE (streams.find ("b", kStart));
    EXPECT_FALSE (streams.find ("a", kStart + kLifetime));
    streams.expire (kStart + kLifetime);
    EXPECT_EQ (streams.size(), 0U);
}

TEST (StreamVersionsTest, ForgetsTheFirstStreamsBeyondItsLimit)
{
    StreamVersions streams;
    streams.record ("first", "v1", kStart + kLifetime);
    for (std::size_t number = 0; number < StreamVersions::kMaxStreams; ++number)
        streams.record (std::to_string (number), "v1", kStart + kLifetime);
    EXPECT_EQ (streams.size(), StreamVersions::kMaxStreams);
    EXPECT_FALSE (streams.find ("first", kStart));
    EXPECT_EQ (streams.find ("0", kStart), "v1");
}

TEST (StreamVersionsTest, KeysOfTenantsRoutesAndRequestsDiffer)
{
    EXPECT_NE (streamKeyOf ("t", "route", "1"), streamKeyOf ("", "troute", "1"));
    EXPECT_NE (streamKeyOf ("t", "route", "1"), streamKeyOf ("t", "route1", ""));
    EXPECT_EQ (streamKeyOf ("t", "route", "1"), streamKeyOf ("t", "route", "1"));
    const std::string longId (16UL * 1024, 'x');
    EXPECT_EQ (streamKeyOf ("t", "route", longId).size(), streamKeyOf ("t", "route", "1").size());
}

TEST (StreamVersionsTest, ListsPagesInOrderWithoutExpiredOnes)
{
    StreamVersions streams;
    streams.record ("c", "v1", kStart + base::seconds (2));
    streams.record ("a", "v2", kStart + base::seconds (4));
    streams.record ("b", "v1", kStart);
    const std::vector<StreamNotice> first = streams.listAfter ("", 1, kStart);
    EXPECT_EQ (first, (std::vector<StreamNotice>{ { "a", "v2", base::seconds (4) } }));
    const std::vector<StreamNotice> next = streams.listAfter ("a", 5, kStart);
    EXPECT_EQ (next, (std::vector<StreamNotice>{ { "c", "v1", base::seconds (2) } }));
    EXPECT_TRUE (streams.listAfter ("c", 5, kStart).empty());
}

}  // namespace
}  // namespace fernlift::cell
