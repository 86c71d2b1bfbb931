#include <gtest/gtest.h>

#include <string>

#include "proxy/SoftwareVersions.h"

namespace fernlift::proxy
{
namespace
{

using base::seconds;
using cell::SoftwareHistory;

constexpr base::TimePoint kStart{ seconds (1000) };
const SoftwareHistory kWholePast{ SoftwareHistory::kWholePast, {} };
const SoftwareHistory kNotStated{};
constexpr base::Duration kLifetime = seconds (10);

OneSoftwareVersion one (const std::string& version) { return { version }; }

/// Knows the whole past.
class SoftwareVersionsTest : public ::testing::Test
{
protected:
    SoftwareVersionsTest() { m_versions.onHistory (kWholePast, kStart); }

    /// Versions in the lifetime of a stream before `at`.
    SoftwareVersionsInUse inUse (base::TimePoint at, const std::string& service = "s")
    {
        return m_versions.inUseSince (service, at - kLifetime, at);
    }

    SoftwareVersions m_versions;
};

TEST_F (SoftwareVersionsTest, VersionWithoutRunnersCountsFromItsLastOneOn)
{
    EXPECT_EQ (inUse (kStart), SoftwareVersionsInUse (NoSoftwareVersion{}));
    m_versions.add ("s", "v1");
    m_versions.add ("s", "v1");
    EXPECT_EQ (inUse (kStart), SoftwareVersionsInUse (one ("v1")));
    m_versions.add ("s", "v2");
    m_versions.remove ("s", "v1", kStart);
    m_versions.remove ("s", "v1", kStart + seconds (1));
    const base::TimePoint end = kStart + seconds (1) + kLifetime + SoftwareVersions::kMaxTableLag;
    m_versions.onHistory (kWholePast, end);
    EXPECT_EQ (inUse (end), SoftwareVersionsInUse (SeveralSoftwareVersions{}));
    EXPECT_EQ (inUse (end + seconds (1)), SoftwareVersionsInUse (one ("v2")));
}

TEST_F (SoftwareVersionsTest, ServicesAreSeparateAndUnstatedVersionsDoNotCount)
{
    m_versions.add ("s", "v1");
    m_versions.add ("s", "");
    m_versions.add ("other", "v2");
    EXPECT_EQ (inUse (kStart), SoftwareVersionsInUse (one ("v1")));
    EXPECT_EQ (inUse (kStart, "other"), SoftwareVersionsInUse (one ("v2")));
    m_versions.remove ("s", "", kStart);
    m_versions.remove ("unknown", "v1", kStart);
    EXPECT_EQ (inUse (kStart), SoftwareVersionsInUse (one ("v1")));
}

TEST_F (SoftwareVersionsTest, DepartedVersionOfHistoryCounts)
{
    m_versions.add ("s", "v2");
    m_versions.onHistory ({ SoftwareHistory::kWholePast, { { "s", "v1", 3000 } } }, kStart);
    EXPECT_EQ (inUse (kStart), SoftwareVersionsInUse (SeveralSoftwareVersions{}));
    m_versions.onHistory ({ SoftwareHistory::kWholePast, { { "s", "v1", 63'000 } } },
                          kStart + seconds (60));
    EXPECT_EQ (inUse (kStart + seconds (60)), SoftwareVersionsInUse (one ("v2")));
}

TEST_F (SoftwareVersionsTest, TimeWithoutControllerIsUnknownUntilChangesHaveArrived)
{
    m_versions.add ("s", "v1");
    m_versions.onLease (kStart);
    EXPECT_EQ (inUse (kStart + SoftwareVersions::kMaxUnconfirmed),
               SoftwareVersionsInUse (one ("v1")));
    const base::TimePoint back = kStart + SoftwareVersions::kMaxUnconfirmed + seconds (1);
    EXPECT_EQ (inUse (back), SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    EXPECT_TRUE (m_versions.onLease (back));
    EXPECT_EQ (inUse (back), SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    const base::TimePoint later = back + SoftwareVersions::kMaxUpdateDelay;
    EXPECT_FALSE (m_versions.onLease (later));
    EXPECT_EQ (inUse (later), SoftwareVersionsInUse (one ("v1")));
}

TEST_F (SoftwareVersionsTest, HistoryAfterGapStandsAlone)
{
    m_versions.add ("s", "v1");
    const base::TimePoint back = kStart + seconds (60);
    m_versions.onHistory ({ 5000, {} }, back);
    EXPECT_EQ (inUse (back), SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    m_versions.onHistory ({ 5000 + 1, {} }, back + seconds (1));
    EXPECT_EQ (inUse (back + seconds (10)), SoftwareVersionsInUse (UnknownSoftwareVersions{}));
}

// Guards against a router that takes its own start for the beginning of the service.
TEST (SoftwareVersionsOfRestartedRouterTest, PastIsUnknownUntilItIsStated)
{
    SoftwareVersions versions;
    versions.add ("s", "v2");
    versions.onHistory (kNotStated, kStart);
    EXPECT_EQ (versions.inUseSince ("s", kStart - kLifetime, kStart),
               SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    versions.onHistory ({ 2000, {} }, kStart);
    EXPECT_EQ (versions.inUseSince ("s", kStart - kLifetime, kStart),
               SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    versions.onHistory (kWholePast, kStart);
    EXPECT_EQ (versions.inUseSince ("s", kStart - kLifetime, kStart),
               SoftwareVersionsInUse (one ("v2")));
}

TEST (SoftwareVersionsOfRestartedRouterTest, OwnObservationCountsBesideEarlierControllers)
{
    SoftwareVersions versions;
    versions.onHistory (kNotStated, kStart);
    versions.add ("s", "v1");
    base::TimePoint now = kStart;
    const auto inUse = [&] { return versions.inUseSince ("s", now - kLifetime, now); };
    while (now < kStart + kLifetime + SoftwareVersions::kMaxTableLag)
    {
        EXPECT_EQ (inUse(), SoftwareVersionsInUse (UnknownSoftwareVersions{}));
        now += seconds (1);
        versions.onLease (now);
    }
    versions.onHistory (kNotStated, now);
    EXPECT_EQ (inUse(), SoftwareVersionsInUse (one ("v1")));
}

TEST (SoftwareVersionsOfRestartedRouterTest, DroppedVersionsMakeTheirTimeUnknown)
{
    SoftwareVersions versions;
    SoftwareHistory history = kWholePast;
    for (std::size_t number = 0; number <= cell::SoftwareVersionUses::kMaxDeparted; ++number)
        history.departed.push_back ({ "other", "v" + std::to_string (number), 3000 });
    history.departed.front().ageMilliseconds = 4000;
    versions.onHistory (history, kStart);
    EXPECT_EQ (versions.inUseSince ("s", kStart - kLifetime, kStart),
               SoftwareVersionsInUse (UnknownSoftwareVersions{}));
    const base::TimePoint later = kStart + kLifetime;
    versions.onHistory (kNotStated, kStart + seconds (8));
    EXPECT_EQ (versions.inUseSince ("s", later - kLifetime + seconds (2), later),
               SoftwareVersionsInUse (NoSoftwareVersion{}));
}

}  // namespace
}  // namespace fernlift::proxy
