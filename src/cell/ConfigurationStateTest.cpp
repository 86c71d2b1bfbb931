#include <gtest/gtest.h>

#include "base/Digest.h"
#include "cell/CellTestSupport.h"
#include "cell/ConfigurationState.h"

namespace fernlift::cell
{
namespace
{

using test::configurationOf;
using test::kStart;
using enum ConfigurationOutcome;

class ConfigurationStateTest : public ::testing::Test
{
protected:
    explicit ConfigurationStateTest (PlantedFault fault = PlantedFault::kNone)
        : m_state (&test::parseTestCatalogue, fault)
    {
    }

    ConfigurationResult apply (std::uint64_t version, const std::string& note,
                               base::UnixMilliseconds at = kStart)
    {
        return m_state.apply (++m_index, configurationOf (version, note, at));
    }

    ConfigurationState m_state;
    base::LogIndex m_index = 0;
};

class ConfigurationByVersionOnlyTest : public ConfigurationStateTest
{
protected:
    ConfigurationByVersionOnlyTest()
        : ConfigurationStateTest (PlantedFault::kConfigurationByVersionOnly)
    {
    }
};

TEST_F (ConfigurationStateTest, SameFileAgainGetsTheEarlierAnswer)
{
    const ConfigurationResult first = apply (3, "file");
    EXPECT_EQ (first.outcome, kAccepted);
    const ConfigurationResult again = apply (3, "file", kStart + 1000);
    EXPECT_EQ (again.outcome, kUnchanged);
    EXPECT_EQ (again.inForce, first.inForce);
    EXPECT_EQ (again.inForce.acceptedAt, kStart);
    EXPECT_EQ (again.inForce.acceptedIndex, 1U);
}

TEST_F (ConfigurationStateTest, ConflictReportsTheConfigurationInForce)
{
    const ConfigurationResult winner = apply (3, "file");
    const ConfigurationResult loser = apply (3, "other", kStart + 5);
    EXPECT_EQ (loser.outcome, kConflict);
    EXPECT_EQ (loser.inForce.digest, base::sha256Hex ("3 file"));
    EXPECT_EQ (loser.inForce.acceptedAt, kStart);
    EXPECT_EQ (m_state.identity(), winner.inForce);
    EXPECT_EQ (m_state.text(), "3 file");
}

TEST_F (ConfigurationByVersionOnlyTest, AcceptsAnotherFileWithTheSameVersion)
{
    apply (3, "file");
    EXPECT_EQ (apply (3, "other").outcome, kUnchanged) << "the planted fault has no effect";
}

TEST_F (ConfigurationStateTest, LowerVersionIsStaleEvenWhenItWasInForce)
{
    apply (3, "file");
    apply (4, "file");
    const ConfigurationResult stale = apply (3, "file");
    EXPECT_EQ (stale.outcome, kStale);
    EXPECT_EQ (stale.inForce.version, 4U);
    EXPECT_EQ (m_state.catalogue()->version, 4U);
}

TEST_F (ConfigurationStateTest, NothingIsAppliedPartially)
{
    apply (3, "file");
    ApplyConfiguration otherDigest = configurationOf (4, "file", kStart);
    otherDigest.digest = base::sha256Hex ("something else");
    ApplyConfiguration otherVersion = configurationOf (5, "file", kStart);
    otherVersion.version = 6;
    ApplyConfiguration unreadable{ 7, base::sha256Hex ("no number"), "no number", kStart };
    for (const ApplyConfiguration& command : { otherDigest, otherVersion, unreadable })
    {
        EXPECT_EQ (m_state.apply (++m_index, command).outcome, kInvalid);
        EXPECT_EQ (m_state.identity().version, 3U);
        EXPECT_EQ (m_state.text(), "3 file");
        EXPECT_EQ (*m_state.catalogue(), test::catalogueOf (3));
    }
}

TEST_F (ConfigurationStateTest, VersionZeroIsNeverInForce)
{
    EXPECT_EQ (apply (0, "file").outcome, kInvalid);
    EXPECT_EQ (m_state.catalogue(), nullptr);
}

}  // namespace
}  // namespace fernlift::cell
