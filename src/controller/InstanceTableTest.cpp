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
    void hear (const InstanceHeartbeat& heartbeat, base::TimePoint now)
    {
        table_.onHeartbeat (heartbeat, now);
        agreed_.add (heartbeat.instance);
        table_.refresh (agreed_, now);
    }

    InstanceTable table_{ 7, kSilence };
    cell::ServiceInstances agreed_;
};

TEST_F (InstanceTableTest, ALateHeartbeatChangesNothing)
{
    hear (heartbeatOf ("i-1", 5), kStart);
    EXPECT_FALSE (table_.onHeartbeat (heartbeatOf ("i-1", 4), kStart));
    table_.refresh (agreed_, kStart);
    EXPECT_EQ (table_.rows().at ("i-1").instance.models[0].model, "m5");
}

TEST_F (InstanceTableTest, AnInstanceThatIsNotHeardIsSilentUntilItIsHeard)
{
    hear (heartbeatOf ("i-1", 1), kStart);
    table_.refresh (agreed_, kStart + kSilence);
    EXPECT_TRUE (table_.rows().at ("i-1").isSilent);
    hear (heartbeatOf ("i-1", 2), kStart + kSilence);
    EXPECT_FALSE (table_.rows().at ("i-1").isSilent);
}

TEST_F (InstanceTableTest, AnUnreachableInstanceIsSilentUntilItIsHeard)
{
    hear (heartbeatOf ("i-1", 1), kStart);
    table_.onUnreachable ("i-1", kStart + base::milliseconds (10));
    table_.refresh (agreed_, kStart + base::milliseconds (10));
    EXPECT_TRUE (table_.rows().at ("i-1").isSilent);
    hear (heartbeatOf ("i-1", 2), kStart + base::milliseconds (20));
    EXPECT_FALSE (table_.rows().at ("i-1").isSilent);
}

TEST_F (InstanceTableTest, AnInstanceIsSilentOnceAnotherIsHeardAtItsAddress)
{
    hear (heartbeatOf ("i-1", 1), kStart);
    hear (heartbeatOf ("i-2", 1), kStart + base::milliseconds (10));
    EXPECT_TRUE (table_.rows().at ("i-1").isSilent);
    EXPECT_FALSE (table_.rows().at ("i-2").isSilent);
}

TEST_F (InstanceTableTest, UpdatesHoldWhatChangedAndWhatIsGone)
{
    hear (heartbeatOf ("i-1", 1), kStart);
    hear (heartbeatOf ("i-2", 1, "10.0.0.2:80"), kStart);
    const std::uint64_t version = table_.version();
    EXPECT_EQ (table_.updateSince (0).upserts.size(), 2U);
    EXPECT_TRUE (table_.updateSince (version).upserts.empty());
    agreed_.remove ("i-1", true);
    table_.refresh (agreed_, kStart);
    const cell::InstanceUpdate update = table_.updateSince (version);
    EXPECT_EQ (update.term, 7U);
    EXPECT_TRUE (update.upserts.empty());
    EXPECT_EQ (update.removals, std::vector<std::string>{ "i-1" });
}

TEST_F (InstanceTableTest, AHeartbeatDoesNotOverwriteWhatPlacementKnows)
{
    hear (heartbeatOf ("i-1", 1), kStart);
    table_.setModels ("i-1", { { "placed", 1, {} } });
    hear (heartbeatOf ("i-1", 2), kStart);
    EXPECT_EQ (table_.rows().at ("i-1").instance.models[0].model, "placed");
}

TEST_F (InstanceTableTest, ANewLeaderKnowsWhatWasAgreedBeforeItHearsAnything)
{
    cell::ServiceInstance instance = heartbeatOf ("i-1", 1).instance;
    instance.isReported = true;
    instance.models = { { "agreed", 1, {} } };
    agreed_.add (instance);
    table_.refresh (agreed_, kStart);
    EXPECT_EQ (table_.rows().at ("i-1").instance.models[0].model, "agreed");
    EXPECT_FALSE (table_.rows().at ("i-1").isSilent);
}

}  // namespace
}  // namespace fernlift::controller
