#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>

#include "consensus/ConsensusCodec.h"

namespace fernlift::consensus
{
namespace
{

Entry arbitraryEntry (std::uint64_t index)
{
    const auto kind = *rc::gen::inRange (0, 3);
    return { index, *rc::gen::inRange<std::uint64_t> (1, 9), static_cast<EntryKind> (kind),
             *rc::gen::arbitrary<std::string>() };
}

RC_GTEST_PROP (Durable, RestoresEncodedState, ())
{
    PersistRequest request;
    request.hardState = HardState{ *rc::gen::arbitrary<std::uint64_t>(), 3 };
    Snapshot snapshot;
    snapshot.lastIndex = 7;
    snapshot.lastTerm = 2;
    snapshot.members.members.push_back ({ 1, "127.0.0.1:1", "127.0.0.1:2", "z1", true });
    snapshot.data = *rc::gen::arbitrary<std::string>();
    request.snapshot = snapshot;
    const auto count = *rc::gen::inRange<std::uint64_t> (0, 5);
    for (std::uint64_t step = 1; step <= count; ++step)
    {
        request.entries.push_back (arbitraryEntry (snapshot.lastIndex + step));
    }
    const storage::WriteBatch batch = toWriteBatch (request);
    const storage::Recovered recovered{ 1, batch.hardState, batch.snapshot, batch.entries, 0 };
    const auto state = toRecoveredState (recovered, {});
    RC_ASSERT (static_cast<bool> (state));
    RC_ASSERT (state->hardState == *request.hardState);
    RC_ASSERT (state->snapshot == snapshot);
    RC_ASSERT (state->entries == request.entries);
}

TEST (Durable, KeepsTheTruncationIndex)
{
    PersistRequest request;
    request.truncateFrom = 12;
    EXPECT_EQ (toWriteBatch (request).truncateFrom, 12U);
}

/// Prints the duration of the part of a start that follows the read of the storage folder. The
/// duration depends on the machine and is not asserted.
TEST (Durable, startsAMemberFromTenThousandEntries)
{
    constexpr LogIndex kEntries = 10'000;
    constexpr int kRuns = 10;
    PersistRequest request;
    request.hardState = HardState{ 3, 1 };
    for (LogIndex index = 1; index <= kEntries; ++index)
    {
        request.entries.push_back ({ index, 3, EntryKind::kCommand, std::string (200, 'x') });
    }
    const storage::WriteBatch batch = toWriteBatch (request);
    const storage::Recovered recovered{ 1, batch.hardState, {}, batch.entries, 0 };
    std::vector<double> times;
    times.reserve (kRuns);
    for (int run = 0; run < kRuns; ++run)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto state = toRecoveredState (recovered, {});
        ASSERT_TRUE (static_cast<bool> (state));
        const RaftNode node (1, {}, std::move (*state), 1, base::TimePoint());
        const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - begin;
        times.push_back (elapsed.count());
        EXPECT_EQ (node.status (base::TimePoint()).lastIndex, kEntries);
    }
    std::sort (times.begin(), times.end());
    std::cout << "member from " << kEntries << " entries: median " << times[times.size() / 2]
              << " ms, worst " << times.back() << " ms of " << kRuns << "\n";
}

TEST (Durable, RejectsUndecodableRecords)
{
    storage::Recovered recovered;
    recovered.memberId = 1;
    recovered.hardState = "x";
    const auto kind = base::handleErrors (
        [&]() -> base::Result<base::ErrorKind>
        {
            BOOST_LEAF_CHECK (toRecoveredState (recovered, {}));
            return base::ErrorKind::kInternal;
        },
        [] (const base::Error& error) { return error.kind; });
    EXPECT_EQ (kind, base::ErrorKind::kStorageCorrupt);
}

Message appendMessage()
{
    AppendRequest append;
    append.previousIndex = 4;
    append.previousTerm = 2;
    append.commitIndex = 3;
    append.round = 8;
    append.entries.push_back ({ 5, 2, EntryKind::kCommand, std::string ("a\0b", 3) });
    return { 1, 2, 6, append };
}

bool decodes (std::string_view bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (decode (bytes));
            return true;
        },
        [] (const base::Error& error)
        {
            EXPECT_EQ (error.kind, base::ErrorKind::kMessageInvalid);
            return false;
        });
}

TEST (MessageCodec, RestoresEnvelopeAndPayload)
{
    const auto decoded = decode (encode (appendMessage()));
    ASSERT_TRUE (decoded);
    EXPECT_EQ (decoded->from, 1U);
    EXPECT_EQ (decoded->to, 2U);
    EXPECT_EQ (decoded->term, 6U);
    const auto& append = std::get<AppendRequest> (decoded->payload);
    EXPECT_EQ (append.round, 8U);
    EXPECT_EQ (append.entries, std::get<AppendRequest> (appendMessage().payload).entries);
}

TEST (MessageCodec, RestoresTheTypeOfEveryPayload)
{
    const std::vector<Payload> payloads{ VoteRequest{},       VoteReply{},     AppendRequest{},
                                         AppendReply{},       SnapshotChunk{}, SnapshotReply{},
                                         TransferLeadership{} };
    ASSERT_EQ (payloads.size(), std::variant_size_v<Payload>);
    for (const Payload& payload : payloads)
    {
        const auto decoded = decode (encode ({ 1, 2, 3, payload }));
        ASSERT_TRUE (decoded);
        EXPECT_EQ (decoded->payload.index(), payload.index());
    }
}

TEST (MessageCodec, RejectsTruncatedBytes)
{
    const std::string bytes = encode (appendMessage());
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        EXPECT_FALSE (decodes (bytes.substr (0, length))) << length;
    }
}

}  // namespace
}  // namespace fernlift::consensus
