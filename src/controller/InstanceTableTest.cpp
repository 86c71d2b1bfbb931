#include <gtest/gtest.h>

#include "controller/InstanceTable.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::Duration kSilence = base::seconds (3);

InstanceHeartbeat heartbeatOf (const std::string& id, std::uint64_t sequence,
                               const std::string& address = "10.0.0.1:80")
{
    InstanceHeartbeat heartbeat;
    heartbeat.instance.id = id;
    heartbeat.instance.service = "service";
    heartbeat.instance.address = address;
    heartbeat.sequence = sequence;
    heartbeat.models = { { "m" + std::to_string (sequence), 1, {} } };
    return heartbeat;
}

class InstanceTableTest : public ::testing::Test
{
protected:
    void receive (const InstanceHeartbeat& heartbeat, base::TimePoint now)
    {
        m_table.onHeartbeat (heartbeat, now);
        m_replicated.add (heartbeat.instance);
        m_table.refresh (m_replicated, now);
    }

    InstanceTable m_table{ 7, kSilence };
    cell::ServiceInstances m_replicated;
};

TEST_F (InstanceTableTest, IgnoresALateHeartbeat)
{
    receive (heartbeatOf ("i-1", 5), kStart);
    EXPECT_FALSE (m_table.onHeartbeat (heartbeatOf ("i-1", 4), kStart));
    m_table.refresh (m_replicated, kStart);
    EXPECT_EQ (m_table.rows().at ("i-1").instance.models[0].model, "m5");
}

TEST_F (InstanceTableTest, InstanceIsSilentUntilItsNextHeartbeat)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    m_table.refresh (m_replicated, kStart + kSilence);
    EXPECT_TRUE (m_table.rows().at ("i-1").isSilent);
    receive (heartbeatOf ("i-1", 2), kStart + kSilence);
    EXPECT_FALSE (m_table.rows().at ("i-1").isSilent);
}

TEST_F (InstanceTableTest, UnreachableInstanceIsSilentUntilItsNextHeartbeat)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    m_table.onUnreachable ("i-1", kStart + base::milliseconds (10));
    m_table.refresh (m_replicated, kStart + base::milliseconds (10));
    EXPECT_TRUE (m_table.rows().at ("i-1").isSilent);
    receive (heartbeatOf ("i-1", 2), kStart + base::milliseconds (20));
    EXPECT_FALSE (m_table.rows().at ("i-1").isSilent);
}

TEST_F (InstanceTableTest, InstanceIsSilentOnceAnotherSendsHeartbeatsFromItsAddress)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    receive (heartbeatOf ("i-2", 1), kStart + base::milliseconds (10));
    EXPECT_TRUE (m_table.rows().at ("i-1").isSilent);
    EXPECT_FALSE (m_table.rows().at ("i-2").isSilent);
}

TEST_F (InstanceTableTest, AnAddressBelongsToTheInstanceThatRegisteredThereLast)
{
    receive (heartbeatOf ("i-1", 9), kStart);
    receive (heartbeatOf ("i-3", 9, "10.0.0.3:80"), kStart);
    const InstanceHeartbeat next = heartbeatOf ("i-2", 1);
    EXPECT_FALSE (m_table.isFromPredecessor (next, kStart));
    EXPECT_EQ (m_table.predecessorsOf (next.instance), std::vector<std::string>{ "i-1" });
    m_replicated.remove ("i-1", false);
    receive (next, kStart);
    EXPECT_TRUE (m_table.predecessorsOf (next.instance).empty());
}

TEST_F (InstanceTableTest, DetectsALateHeartbeatOfAPredecessor)
{
    receive (heartbeatOf ("i-2", 1), kStart);
    const InstanceHeartbeat late = heartbeatOf ("i-1", 9);
    EXPECT_TRUE (m_table.isFromPredecessor (late, kStart + base::seconds (1)));
    EXPECT_FALSE (m_table.isFromPredecessor (heartbeatOf ("i-4", 9, "10.0.0.4:80"), kStart));
    // No other instance at the address has sent a heartbeat recently, so this one may be the only
    // one.
    EXPECT_FALSE (m_table.isFromPredecessor (late, kStart + kSilence));
}

TEST_F (InstanceTableTest, UpdatesContainChangesAndRemovals)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    receive (heartbeatOf ("i-2", 1, "10.0.0.2:80"), kStart);
    const std::uint64_t version = m_table.version();
    EXPECT_EQ (m_table.updateSince (0).upserts.size(), 2U);
    EXPECT_TRUE (m_table.updateSince (version).upserts.empty());
    m_replicated.remove ("i-1", true);
    m_table.refresh (m_replicated, kStart);
    const cell::InstanceUpdate update = m_table.updateSince (version);
    EXPECT_EQ (update.term, 7U);
    EXPECT_TRUE (update.upserts.empty());
    EXPECT_EQ (update.removals, std::vector<std::string>{ "i-1" });
}

TEST_F (InstanceTableTest, HeartbeatDoesNotOverwriteModelsSetByPlacement)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    m_table.setModels ("i-1", { { "placed", 1, {} } });
    receive (heartbeatOf ("i-1", 2), kStart);
    EXPECT_EQ (m_table.rows().at ("i-1").instance.models[0].model, "placed");
}

TEST_F (InstanceTableTest, NewLeaderShowsReplicatedModelsBeforeTheFirstHeartbeat)
{
    cell::ServiceInstance instance = heartbeatOf ("i-1", 1).instance;
    instance.isReported = true;
    instance.models = { { "agreed", 1, {} } };
    m_replicated.add (instance);
    m_table.refresh (m_replicated, kStart);
    EXPECT_EQ (m_table.rows().at ("i-1").instance.models[0].model, "agreed");
    EXPECT_FALSE (m_table.rows().at ("i-1").isSilent);
}

InstanceHeartbeat heartbeatOf (base::UnixMilliseconds startedAt, std::uint64_t sequence)
{
    InstanceHeartbeat heartbeat = heartbeatOf ("i-1", sequence);
    heartbeat.instance.startedAt = startedAt;
    return heartbeat;
}

TEST_F (InstanceTableTest, SequencesRestartWithEachIncarnation)
{
    receive (heartbeatOf (1000, 90), kStart);
    m_table.setModels ("i-1", { { "placed", 1, {} } });
    m_table.onUnreachable ("i-1", kStart + base::milliseconds (1));
    receive (heartbeatOf (2000, 1), kStart + base::milliseconds (2));
    const cell::RoutableInstance& row = m_table.rows().at ("i-1");
    EXPECT_FALSE (row.isSilent);
    EXPECT_EQ (row.instance.startedAt, 2000);
    ASSERT_EQ (row.instance.models.size(), 1U);
    EXPECT_EQ (row.instance.models[0].model, "m1");
    EXPECT_FALSE (m_table.onHeartbeat (heartbeatOf (1000, 91), kStart));
    m_table.refresh (m_replicated, kStart + base::milliseconds (3));
    EXPECT_EQ (m_table.rows().at ("i-1").instance.models[0].model, "m1");
}

TEST_F (InstanceTableTest, NewLeaderTakesRecordedSoftwareVersions)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    cell::SoftwareVersionHistory recorded = cell::SoftwareVersionHistory::ofNewCell();
    recorded.record (heartbeatOf ("i-1", 1).instance, "v1", 0);
    m_table.restoreSoftwareVersions (recorded);
    m_table.refreshChanged (m_replicated, kStart);
    EXPECT_EQ (m_table.rows().at ("i-1").softwareVersion, "v1");
}

TEST_F (InstanceTableTest, FirstRowIsSentAgain)
{
    receive (heartbeatOf ("i-1", 1), kStart);
    receive (heartbeatOf ("i-2", 1), kStart);
    const std::uint64_t version = m_table.version();
    m_table.renewFirstRow();
    const cell::InstanceUpdate update = m_table.updateSince (version);
    ASSERT_EQ (update.upserts.size(), 1U);
    EXPECT_EQ (update.upserts[0].instance.id, "i-1");
    EXPECT_GT (update.toVersion, version);
}

TEST_F (InstanceTableTest, SoftwareVersionOutlivesLeadersAndHeartbeatsWithoutIt)
{
    InstanceHeartbeat heartbeat = heartbeatOf ("i-1", 1);
    heartbeat.softwareVersion = "v1";
    receive (heartbeat, kStart);
    receive (heartbeatOf ("i-1", 2), kStart);
    EXPECT_EQ (m_table.rows().at ("i-1").softwareVersion, "v1");
    RelayInstanceTable copy;
    ASSERT_TRUE (copy.apply (m_table.updateSince (0), kStart));
    InstanceTable next (8, kSilence);
    next.continueFrom (std::move (copy), 8);
    next.refresh (m_replicated, kStart);
    EXPECT_EQ (next.rows().at ("i-1").softwareVersion, "v1");
    cell::RelayedHeartbeat relayed;
    relayed.instance = "i-1";
    relayed.sequence = 3;
    relayed.softwareVersion = "v2";
    next.onUnchangedHeartbeat (relayed, kStart);
    next.refresh (m_replicated, kStart);
    EXPECT_EQ (next.rows().at ("i-1").softwareVersion, "v2");
}

TEST_F (InstanceTableTest, HeartbeatOfAnEarlierIncarnationDoesNotEndSilence)
{
    receive (heartbeatOf (2000, 1), kStart);
    cell::RelayedHeartbeat late;
    late.instance = "i-1";
    late.sequence = 91;
    late.startedAt = 1000;
    m_table.onUnchangedHeartbeat (late, kStart + kSilence);
    m_table.refresh (m_replicated, kStart + kSilence);
    EXPECT_TRUE (m_table.rows().at ("i-1").isSilent);
    late.startedAt = 2000;
    m_table.onUnchangedHeartbeat (late, kStart + kSilence);
    m_table.refresh (m_replicated, kStart + kSilence);
    EXPECT_FALSE (m_table.rows().at ("i-1").isSilent);
}

}  // namespace
}  // namespace fernlift::controller
