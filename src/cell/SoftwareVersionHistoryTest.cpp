// Tests of the recorded software versions, in the replicated state and in its stored layouts.

#include <gtest/gtest.h>

#include "cell/CellState.h"
#include "cell/CommandCodec.h"
#include "cell/SoftwareVersionHistory.h"
#include "wire/Codec.h"

namespace fernlift::cell
{
namespace
{

ServiceInstance instanceOf (const std::string& id, base::UnixMilliseconds startedAt = 1)
{
    ServiceInstance instance;
    instance.id = id;
    instance.service = "s";
    instance.address = id + ":80";
    instance.startedAt = startedAt;
    return instance;
}

/// Applies commands as they come back from the log.
class SoftwareVersionHistoryTest : public ::testing::Test
{
protected:
    void apply (const Command& command)
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (read, decodeCommand (encodeCommand (command)));
                m_state.apply (++m_index, read);
                return {};
            },
            [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    }
    void restart()
    {
        const std::string stored = m_state.encode();
        base::handleErrors ([&] { return m_state.restore (stored); },
                            [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    }
    [[nodiscard]] const SoftwareVersionHistory& history() const
    {
        return m_state.softwareVersions();
    }
    [[nodiscard]] bool isCovered() const { return history().covers (m_state.instances()); }

    CellState m_state;
    base::LogIndex m_index = 0;
};

TEST_F (SoftwareVersionHistoryTest, VersionsThatLeftOutliveRestart)
{
    apply (AddInstance{ instanceOf ("i-1"), 10, "v1" });
    apply (AddInstance{ instanceOf ("i-2"), 20, "v1" });
    apply (AddInstance{ instanceOf ("i-3"), 30, "v2" });
    apply (RemoveInstance{ "i-1", true, 40, 1 });
    EXPECT_TRUE (history().departed().empty());
    apply (RemoveInstance{ "i-2", false, 50, 1 });
    restart();
    ASSERT_EQ (history().departed().size(), 1U);
    EXPECT_EQ (history().departed()[0].version, "v1");
    EXPECT_EQ (history().departed()[0].lastListedAt, 50);
    ASSERT_NE (history().versionOf ("i-3"), nullptr);
    EXPECT_EQ (*history().versionOf ("i-3"), "v2");
    EXPECT_EQ (history().completeSince(), 0);
    EXPECT_TRUE (isCovered());
}

TEST_F (SoftwareVersionHistoryTest, VersionOfLaterIncarnationReplacesEarlierOne)
{
    apply (AddInstance{ instanceOf ("i-1"), 10, "v1" });
    apply (AddInstance{ instanceOf ("i-1", 2), 20, "v2" });
    ASSERT_EQ (history().departed().size(), 1U);
    EXPECT_EQ (history().departed()[0].version, "v1");
    apply (AddInstance{ instanceOf ("i-1"), 30, "v1" });
    ASSERT_NE (history().versionOf ("i-1"), nullptr);
    EXPECT_EQ (*history().versionOf ("i-1"), "v2");
    apply (AddInstance{ instanceOf ("i-2"), 40, "v1" });
    EXPECT_TRUE (history().departed().empty()) << "it is back";
}

TEST_F (SoftwareVersionHistoryTest, RunnerWithoutVersionIsCovered)
{
    apply (AddInstance{ instanceOf ("i-1"), 10, "" });
    EXPECT_TRUE (isCovered());
    apply (RemoveInstance{ "i-1", true, 20, 1 });
    EXPECT_EQ (history().completeSince(), 0);
}

// Guards against taking what leaders of earlier builds didn't record for versions that didn't
// exist.
TEST_F (SoftwareVersionHistoryTest, RunnersOfEarlierLeaderLeaveGap)
{
    apply (AddInstance{ instanceOf ("i-1"), 10 });
    apply (AddInstance{ instanceOf ("i-2"), 20 });
    EXPECT_FALSE (isCovered());
    EXPECT_EQ (history().completeSince(), 20);
    apply (AddInstance{ instanceOf ("i-1"), 30, "v1" });
    EXPECT_FALSE (isCovered());
    apply (RemoveInstance{ "i-2", true, 40, 1 });
    EXPECT_TRUE (isCovered());
    EXPECT_EQ (history().completeSince(), 40) << "the version of i-2 is not known";
}

TEST_F (SoftwareVersionHistoryTest, SnapshotOfEarlierBuildBeginsAtItsTime)
{
    apply (AddInstance{ instanceOf ("i-1"), 10, "v1" });
    std::string stored = m_state.encode();
    const std::string added = wire::encodeValue (m_state.softwareVersions());
    ASSERT_TRUE (stored.ends_with (added));
    stored.resize (stored.size() - added.size());
    base::handleErrors ([&] { return m_state.restore (stored); },
                        [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    EXPECT_EQ (history().completeSince(), 10);
    EXPECT_FALSE (isCovered());
}

TEST_F (SoftwareVersionHistoryTest, AdditionWithoutVersionKeepsItsBytes)
{
    const std::string earlier = encodeCommand (AddInstance{ instanceOf ("i-1"), 10 });
    const std::string present = encodeCommand (AddInstance{ instanceOf ("i-1"), 10, "v1" });
    EXPECT_TRUE (present.starts_with (earlier));
}

}  // namespace
}  // namespace fernlift::cell
