/**
 * Tests that the encoding of messages is compatible with the last release, so that both versions
 * can communicate during a rolling upgrade of a cell. The expected bytes were written by the
 * released code.
 *
 * A failure means that a cell cannot be upgraded without downtime. New data must go into a new
 * message, which is sent only to peers that announce support for it, or behind the last field of an
 * existing message (wire/OptionalTail.h).
 */

#include <gtest/gtest.h>

#include <array>
#include <string_view>

#include "cell/ReleasedMessagesTestSupport.h"

namespace fernlift::cell::test
{
namespace
{

struct ReleasedMessage
{
    std::string_view name;
    std::string_view hex;
};

constexpr std::array<ReleasedMessage, 13> kFromRouters{ {
    { "RouterHello",
      "00000000000000000000000300000000000000722d310000000000040000000000000063656c6c00"
      "0000000002000000000000007a310b0000000000000031302e302e302e313a383007000000000000"
      "00000000000000000000000000000000000000000000000000010003000000000000000900000000"
      "000000" },
    { "LeaseRequest",
      "01000000000005000000000000000700000000000000000000000000000000000000000000000000"
      "000000000000000900000000000000000000000000000004000000" },
    { "DemandReport",
      "02000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "00000000090000000000000000000000000000000000000000000000" },
    { "ClaimRequest",
      "03000000000002000000000000000000000000010000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "0000000000000000000000" },
    { "OutcomeReport",
      "04000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000300000000000000" },
    { "RunnerLeavingSeen", "050000000000000000000000000000000000000000000000000000" },
    { "EngineDemandReport",
      "06000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "000000000000000000000000000000000000000000000000000000000000000000000000" },
    { "MemberJoinRequest",
      "07000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "000000000000000000000000000000000100" },
    { "InstanceUnreachable", "0800000000000300000000000000692d31" },
    { "InstanceSightings",
      "090000000000000000000001000000000000000000000000000000000300000000000000692d3100"
      "00000000000000000000000000010000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000100000000000000000000000200000000"
      "0000006d310000000000000000000000000000000000010000000000000001000000000100000000"
      "00000000000000000000000000000000000000000000000000000000000000010000000000000000"
      "00000000000000000000000000000000000000000000000000" },
    { "QuotaRequest",
      "0a000000000006000000000000000000000000010000000000000000000000000000000004000000"
      "000000006661726d020000000000000028230000000000000c00000000000000" },
    { "SuspectReport",
      "0b000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "0000000000000000000500000000000000692d314035000000000000000000000000000000000000"
      "0000000100000000000000000000000600000000000000646967657374" },
    { "InstanceLoadReport",
      "0c0000000000000000000001000000000000000000000000000000000300000000000000692d3103"
      "00000084030000000000000000000000010000000000000000000000000000000003000000000000"
      "00692d3102000000000000006d310400000032000000000000000000000000010000000000000000"
      "00000000000000000300000000000000692d31780000000800000000000000" },
} };

constexpr std::array<ReleasedMessage, 11> kToRouters{ {
    { "NotLeaderReply", "0000000000000d0000000000000031302e302e302e323a37333830" },
    { "ConfigurationUpdate",
      "01000000000008000000000000000600000000000000646967657374040000000000000074657874"
      "07000000000000000000000000000000000000000001000000000000000000000000000000000100"
      "000000000000020000000000000003000000000000006e6577" },
    { "LeaseGrant",
      "0200000000000500000000000000080000000000000000000000000000000300000000000000d007"
      "00000000000000000000000000000000000000000000" },
    { "ReplicaUpdate",
      "03000000000000000000000000000000000000000000000000000001000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000001000000000000000000000000000000"
      "00000000000000000001000000000000000000000000000100000000000000000000000000000000"
      "0000000000000000000000000000000000000000" },
    { "ClaimReply",
      "04000000000002000000000000000000000000010000000000000000000000000000000000000000"
      "000000000000000000000000000000000000000000000000000000000000" },
    { "InstanceUpdate",
      "05000000000003000000000000000000000000000000090000000000000000000000000100000000"
      "00000000000000000000000000010000000300000000000000692d31000000000000000000000000"
      "00000000000000000000000001000000000000000000000000000000000000000000000000000000"
      "0000000000000000000100000000000000000000000300000000000000692d320000000000010000"
      "00000000000000000000000000000d0000000000000031302e302e302e323a373338300200000000"
      "0000007a31010100000000" },
    { "MemberJoinReply", "06000000000001" },
    { "QuotaGrant",
      "07000000000006000000000000000000000000010000000000000000000000000000000004000000"
      "000000006661726d282300000000000032000000000000001400000000000000" },
    { "SuspectUpdate",
      "08000000000001000000000000000200000000000000000000000001000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "0000000000000100000000000000000000000600000000000000646967657374" },
    { "SuspectHint",
      "09000000000000000000000000000000000000000000000000000000000000000000000000000000" },
    { "InstanceLoadUpdate",
      "0a000000000001000000000001000000000000000000000000000000000300000000000000692d31"
      "0300000084030000000000006e000000780000000800000000000000" },
} };

constexpr std::array<ReleasedMessage, 7> kBetweenMembers{ {
    { "VoteRequest", "000000000000000000000000000000000000000000000000" },
    { "VoteReply", "0100000000000000" },
    { "AppendRequest",
      "02000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000001000000000000000000000000000000000000000000000000000000000000000000000000"
      "0700000000000000636f6d6d616e64" },
    { "AppendReply", "03000000000000000000000000000000000000000000000000000000000000" },
    { "SnapshotChunk",
      "04000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "0000000000000800000000000000736e617073686f74" },
    { "SnapshotReply", "05000000000000000000000000000000000000000000000000000000000000" },
    { "TransferLeadership", "060000000000" },
} };

constexpr std::array<ReleasedMessage, 17> kCommands{ {
    { "ApplyConfiguration",
      "00000000000007000000000000000000000000000000040000000000000074657874000000000000"
      "0000" },
    { "ObserveRunner",
      "01000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000" },
    { "RemoveRunner", "020000000000000000000000000000000000000000000000000000" },
    { "DecideLoad",
      "03000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000" },
    { "DecideUnload", "040000000000000000000000000000000000000000000000000000000000" },
    { "ReplicaReady", "05000000000000000000000000000000000000000000" },
    { "ReplicaReleased", "060000000000000000000000000000000000000000000000000000000000" },
    { "ClaimKeys",
      "07000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "0000000000000000000000" },
    { "RecordOutcomes",
      "08000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "000000000000000000000000000003000000000000000000000000000000" },
    { "SetDraining", "09000000000000000000000000000000000000010000000000000000" },
    { "AddInstance",
      "0a000000000000010000000300000000000000692d31000000000000000000000000000000000000"
      "00000000000001000000000000000000000100000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000005000000000000000000000000"
      "000000" },
    { "DrainInstance", "0b0001000000000000000000000000000000000000000000000000000000" },
    { "RemoveInstance", "0c000100000000000000000000000000000000000000000000000000000000" },
    { "NoteHoldings",
      "0d000000000000000000000100000000000000010000000001000000000000000000000000000000"
      "0000000000000000000000000000000000000000000000000000000000" },
    { "NoteOrders",
      "0e000000000000000000000100000000000000000000000000000000000000000000000000000000"
      "0000000000" },
    { "NoteSuspects",
      "0f000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "0000000000000000" },
    { "ReleaseSuspects", "10000000000000000000000000000000000000000000000000000000000000" },
} };

constexpr std::string_view kSnapshot =
    "6665726e6c6966742063656c6c20340a000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000000000000000000000000100000000000000000100000000"
    "0000000000000000000000000300000000000000692d3100010000000300000000000000692d3103"
    "000000000000006c6c6d0b0000000000000031302e302e302e313a383002000000000000007a3104"
    "00000001000000000000010000000000000000000000000000000001000000000000006d01000000"
    "00000000000000000001000000000000000000000001000000000000006105000000000000000000"
    "00000001000000000000000000000000000000000100000000000000000000000003000000000000"
    "00692d32050000000000000000000000000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000070000000000000004000000000000000000000000000000"
    "00000000000000000000000000000000000000000000";

template <std::size_t kCount>
void expectReleasedBytes (const std::vector<MessageSample>& samples,
                          const std::array<ReleasedMessage, kCount>& released)
{
    ASSERT_EQ (samples.size(), released.size());
    for (std::size_t each = 0; each < kCount; ++each)
    {
        EXPECT_EQ (samples[each].first, released[each].name);
        // Fields that were added later are appended to the released ones.
        EXPECT_TRUE (hexOf (samples[each].second).starts_with (released[each].hex))
            << released[each].name << " is now " << hexOf (samples[each].second);
    }
}

TEST (ReleasedMessagesTest, MessagesFromRoutersKeepTheirBytes)
{
    expectReleasedBytes (samplesFromRouters(), kFromRouters);
}

TEST (ReleasedMessagesTest, MessagesToRoutersKeepTheirBytes)
{
    expectReleasedBytes (samplesToRouters(), kToRouters);
}

TEST (ReleasedMessagesTest, MessagesBetweenMembersKeepTheirBytes)
{
    expectReleasedBytes (samplesBetweenMembers(), kBetweenMembers);
}

/// Members of both versions apply the same commands, and a member that is rolled back to the last
/// release reads its log again.
TEST (ReleasedMessagesTest, CommandsOfTheLogKeepTheirBytes)
{
    expectReleasedBytes (samplesOfCommands(), kCommands);
}

bool restores (CellState& state, std::string_view snapshot)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (state.restore (snapshot));
            return true;
        },
        [] (const base::Error&) { return false; });
}

/// A member that is rolled back to the last release reads its snapshot again. It ignores the
/// software versions behind the fields that it knows.
TEST (ReleasedMessagesTest, SnapshotsKeepTheirBytes)
{
    const std::string snapshot = sampleSnapshot();
    CellState state;
    ASSERT_TRUE (restores (state, snapshot));
    EXPECT_EQ (state.encode(), snapshot);
    const std::string added = wire::encodeValue (state.softwareVersions());
    EXPECT_EQ (hexOf (snapshot), std::string (kSnapshot) + hexOf (added));
    const std::string released = snapshot.substr (0, snapshot.size() - added.size());
    ASSERT_TRUE (restores (state, released));
    EXPECT_EQ (hexOf (state.encode().substr (0, released.size())), kSnapshot);
}

TEST (ReleasedMessagesTest, HelloOfEarlierBuildIsReadWithoutPeerAddress)
{
    RouterHello hello;
    hello.router = base::RouterId ("r-1");
    hello.features = kReadsInstanceRates;
    std::string bytes = wire::encodeMessage (RouterToController (hello));
    constexpr std::size_t kPeerFieldBytes = 2 * sizeof (std::uint64_t);  // Empty text, and key.
    bytes.resize (bytes.size() - kPeerFieldBytes);
    const auto read = wire::decodeMessage<RouterToController> (bytes);
    ASSERT_TRUE (read);
    const auto& earlier = std::get<RouterHello> (read.value());
    EXPECT_EQ (earlier.router.value, "r-1");
    EXPECT_EQ (earlier.features, kReadsInstanceRates);
    EXPECT_TRUE (earlier.peerAddress.empty());
    EXPECT_EQ (earlier.peerKey, 0U);
}

TEST (ReleasedMessagesTest, TableOfEarlierBuildIsReadWithoutSoftwareVersions)
{
    InstanceUpdate update;
    update.upserts.resize (2);
    const std::string earlier = wire::encodeMessage (ControllerToRouter (update));
    update.upserts[1].softwareVersion = "v2";
    const std::string bytes = wire::encodeMessage (ControllerToRouter (update));
    EXPECT_TRUE (bytes.starts_with (earlier));
    const auto read = wire::decodeMessage<ControllerToRouter> (bytes);
    ASSERT_TRUE (read);
    EXPECT_EQ (std::get<InstanceUpdate> (read.value()).upserts, update.upserts);
    const auto readEarlier = wire::decodeMessage<ControllerToRouter> (earlier);
    ASSERT_TRUE (readEarlier);
    EXPECT_EQ (std::get<InstanceUpdate> (readEarlier.value()).upserts[1].softwareVersion, "");
}

TEST (ReleasedMessagesTest, TableOfEarlierBuildIsReadWithoutSoftwareHistory)
{
    InstanceUpdate update;
    update.upserts.resize (1);
    update.upserts[0].softwareVersion = "v2";
    const std::string earlier = wire::encodeMessage (ControllerToRouter (update));
    update.softwareHistory = { 9000, { { "service", "v1", 3000 } } };
    const std::string bytes = wire::encodeMessage (ControllerToRouter (update));
    EXPECT_TRUE (bytes.starts_with (earlier)) << "earlier builds ignore what follows";
    const auto read = wire::decodeMessage<ControllerToRouter> (bytes);
    ASSERT_TRUE (read);
    EXPECT_EQ (std::get<InstanceUpdate> (read.value()).upserts, update.upserts);
    EXPECT_EQ (std::get<InstanceUpdate> (read.value()).softwareHistory, update.softwareHistory);
    const auto readEarlier = wire::decodeMessage<ControllerToRouter> (earlier);
    ASSERT_TRUE (readEarlier);
    EXPECT_FALSE (std::get<InstanceUpdate> (readEarlier.value()).softwareHistory.isStated());
}

TEST (ReleasedMessagesTest, SoftwareHistoryIsReadBesideRowsWithoutVersions)
{
    InstanceUpdate update;
    update.upserts.resize (2);
    update.softwareHistory = { 9000, {} };
    const auto read =
        wire::decodeMessage<ControllerToRouter> (wire::encodeMessage (ControllerToRouter (update)));
    ASSERT_TRUE (read);
    EXPECT_EQ (std::get<InstanceUpdate> (read.value()).upserts, update.upserts);
    EXPECT_EQ (std::get<InstanceUpdate> (read.value()).softwareHistory, update.softwareHistory);
}

TEST (ReleasedMessagesTest, LeaseOfEarlierControllerIsReadWithoutTheNumberOfRouters)
{
    LeaseGrant lease;
    lease.sequence = 3;
    const std::string earlier = wire::encodeMessage (ControllerToRouter (lease));
    lease.routers = 8;
    const std::string bytes = wire::encodeMessage (ControllerToRouter (lease));
    EXPECT_TRUE (bytes.starts_with (earlier)) << "earlier builds ignore what follows";
    const auto read = wire::decodeMessage<ControllerToRouter> (bytes);
    ASSERT_TRUE (read);
    EXPECT_EQ (std::get<LeaseGrant> (read.value()).routers, 8U);
    const auto readEarlier = wire::decodeMessage<ControllerToRouter> (earlier);
    ASSERT_TRUE (readEarlier);
    EXPECT_FALSE (std::get<LeaseGrant> (readEarlier.value()).routers);
}

TEST (ReleasedMessagesTest, HeartbeatsOfEarlierRelayAreReadWithoutSoftwareVersions)
{
    RelayedHeartbeats heartbeats;
    heartbeats.relayedHeartbeats.resize (2);
    const std::string earlier = wire::encodeMessage (RouterToController (heartbeats));
    heartbeats.relayedHeartbeats[0].softwareVersion = "v1";
    const std::string bytes = wire::encodeMessage (RouterToController (heartbeats));
    EXPECT_TRUE (bytes.starts_with (earlier));
    const auto read = wire::decodeMessage<RouterToController> (bytes);
    ASSERT_TRUE (read);
    EXPECT_EQ (std::get<RelayedHeartbeats> (read.value()).relayedHeartbeats,
               heartbeats.relayedHeartbeats);
}

TEST (ReleasedMessagesTest, OnlyRouterHelloHasNewFields)
{
    const auto expectOnlyHelloGrown = [] (const auto& samples, const auto& released)
    {
        for (std::size_t each = 0; each < samples.size(); ++each)
        {
            const bool isHello = samples[each].first == "RouterHello";
            EXPECT_EQ (hexOf (samples[each].second).size() > released[each].hex.size(), isHello)
                << samples[each].first;
        }
    };
    expectOnlyHelloGrown (samplesFromRouters(), kFromRouters);
    expectOnlyHelloGrown (samplesToRouters(), kToRouters);
    expectOnlyHelloGrown (samplesBetweenMembers(), kBetweenMembers);
    expectOnlyHelloGrown (samplesOfCommands(), kCommands);
}

}  // namespace
}  // namespace fernlift::cell::test
