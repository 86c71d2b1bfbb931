#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>

#include <ctime>
#include <iostream>

#include "cell/CellState.h"
#include "cell/CellTestSupport.h"
#include "wire/Codec.h"

namespace fernlift::cell
{
namespace
{

using test::kStart;

constexpr int kCommands = 300;

rc::Gen<std::vector<std::uint32_t>> anyWords()
{
    return rc::gen::resize (kCommands, rc::gen::container<std::vector<std::uint32_t>> (
                                           rc::gen::inRange<std::uint32_t> (0, 1U << 31)));
}

bool restores (CellState& state, std::string_view bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (state.restore (bytes));
            return true;
        },
        [] (const base::Error&) { return false; });
}

RC_GTEST_PROP (CellStatePropertyTest, RestoredStateBehavesTheSame, ())
{
    CellState original (&test::parseTestCatalogue);
    RC_ASSERT (test::runCommands (original, *anyWords()) == "");
    const std::string bytes = original.encode();
    CellState restored (&test::parseTestCatalogue);
    RC_ASSERT (restores (restored, bytes));
    RC_ASSERT (restored.encode() == bytes);
    base::LogIndex index = original.appliedIndex();
    for (const std::uint32_t word : *anyWords())
    {
        const Command command = test::commandFrom (word, original, original.time() + word % 20);
        ++index;
        RC_ASSERT (original.apply (index, command) == restored.apply (index, command));
    }
    RC_ASSERT (original.encode() == restored.encode());
}

RC_GTEST_PROP (CellStatePropertyTest, SameCommandsGiveTheSameBytes, ())
{
    const std::vector<std::uint32_t> words = *anyWords();
    CellState left (&test::parseTestCatalogue);
    CellState right (&test::parseTestCatalogue);
    test::runCommands (left, words);
    test::runCommands (right, words);
    RC_ASSERT (left.encode() == right.encode());
}

TEST (CellStateTest, RejectsUnknownFormatsAndDamagedBytesWithoutChange)
{
    CellState state (&test::parseTestCatalogue);
    state.apply (1, test::configurationOf (6, "file", kStart));
    const std::string bytes = state.encode();
    std::string otherFormat = bytes;
    otherFormat[std::string ("fernlift cell ").size()] = '9';
    const std::string cutShort = bytes.substr (0, bytes.size() / 2);
    for (const std::string& bad : { otherFormat, cutShort, std::string() })
    {
        EXPECT_FALSE (restores (state, bad));
        EXPECT_EQ (state.encode(), bytes);
    }
}

TEST (CellStateTest, TimeNeverDecreases)
{
    CellState state (&test::parseTestCatalogue);
    state.apply (1, test::observationOf ("r1", 1, kStart + 5000));
    state.apply (2, test::observationOf ("r2", 1, kStart));
    EXPECT_EQ (state.time(), kStart + 5000);
    // A claim that has expired at the latest stated time is refused even if the clock of its
    // proposer is behind.
    const Claim claim{ base::IdempotencyKey ("k"), "digest", base::RouterId ("r"),
                       base::RequestId ("q"), kStart + 4999 };
    const auto result = std::get<ClaimResult> (state.apply (3, ClaimKeys{ { claim }, kStart }));
    EXPECT_EQ (result.answers.front().verdict, ClaimVerdict::kWindowPassed);
}

TEST (CellStateTest, JournalIsBoundedAndRecordsLoadsWithTheirReasons)
{
    CellState state (&test::parseTestCatalogue);
    state.apply (1, test::configurationOf (6, "file", kStart));
    state.apply (2, test::observationOf ("r1", 1, kStart));
    const std::string longReason (100'000, 'r');
    base::LogIndex index = 2;
    for (std::size_t number = 0; number < 2 * DecisionJournal::kMaxRecords; ++number)
    {
        state.apply (++index, DecideLoad{ base::RunnerId ("r1"), 1, base::ModelName ("a"),
                                          base::AdapterName(), 0, longReason, kStart });
    }
    const auto& records = state.journal().records();
    ASSERT_EQ (records.size(), DecisionJournal::kMaxRecords);
    EXPECT_EQ (records.back().kind, DecisionKind::kLoad);
    EXPECT_EQ (records.back().target, "a");
    EXPECT_EQ (records.back().outcome, "replica_bound");
    EXPECT_EQ (records.back().reason, longReason.substr (0, DecisionJournal::kMaxReasonBytes));
}

// Figures for docs/design/replica-bound.md and at-most-once-claims.md.

/// Prints the number of bytes that one item adds to a snapshot.
void printGrowth (const char* item, std::size_t before, std::size_t after, std::size_t count)
{
    std::cout << item << ": " << (after - before) / count << " bytes each in a snapshot\n";
}

TEST (CellStateFigures, PrintsSizeOfEachPart)
{
    constexpr std::size_t kItems = 1000;
    CellState state (&test::parseTestCatalogue);
    base::LogIndex index = 0;
    state.apply (++index, test::configurationOf (6, "file", kStart));
    const std::size_t empty = state.encode().size();
    for (std::size_t number = 0; number < kItems; ++number)
    {
        state.apply (++index, test::observationOf ("runner-" + std::to_string (number), 1, kStart));
    }
    // Each runner also adds a journal record.
    const std::size_t withRunners = state.encode().size();
    printGrowth ("runner with its journal record", empty, withRunners, kItems);
    const Claim model{ base::IdempotencyKey (std::string (36, 'k')), std::string (64, 'd'),
                       base::RouterId ("router-12"), base::RequestId (std::string (50, 'q')),
                       kStart + 600'000 };
    ClaimKeys claims;
    claims.proposedAt = kStart;
    for (std::size_t number = 0; number < kItems; ++number)
    {
        claims.claims.push_back (model);
        claims.claims.back().key.value += std::to_string (number);
    }
    std::cout << "claim: " << wire::encodeMessage (Command (claims)).size() / kItems
              << " bytes each in the log\n";
    state.apply (++index, claims);
    printGrowth ("claim", withRunners, state.encode().size(), kItems);
    EXPECT_EQ (state.claims().size(), kItems);
}

template <class Value>
void printSize (const char* item, const Value& value)
{
    std::cout << item << ": " << wire::encodeValue (value).size() << " bytes encoded\n";
}

TEST (CellStateFigures, PrintsSizeOfEachRecord)
{
    CellState state (&test::parseTestCatalogue);
    state.apply (1, test::configurationOf (6, "file", kStart));
    state.apply (2, test::observationOf ("runner-12", 1, kStart));
    state.apply (3, DecideLoad{ base::RunnerId ("runner-12"), 1, base::ModelName ("a"),
                                base::AdapterName(), 0, "3 waiting and 0 running", kStart });
    ASSERT_EQ (state.replicas().replicas().size(), 1U);
    printSize ("runner", state.replicas().runners().begin()->second);
    printSize ("replica", state.replicas().replicas().begin()->second);
    printSize ("journal record", state.journal().records().back());
    RoutableReplica routable;
    routable.runner = base::RunnerId ("runner-12");
    routable.zone = base::ZoneName ("zone-1");
    routable.address = "10.0.0.12:8000";
    routable.target = "contract-review-adapter";
    routable.baseModel = "contract-review";
    printSize ("replica in a router's table", routable);
    const std::string digest (64, 'd');
    printSize ("lease request of a router", LeaseRequest{ 1, 1, digest, 1 });
    printSize ("lease grant to a router", LeaseGrant{ 1, 1, digest, 1, 2000, 1 });
}

TEST (CellStateFigures, PrintsCostOfManyClaims)
{
    constexpr std::size_t kClaims = 100'000;
    CellState state (&test::parseTestCatalogue);
    const std::size_t heapBefore = mallinfo2().uordblks;
    ClaimKeys claims;
    claims.proposedAt = kStart;
    for (std::size_t number = 0; number < kClaims; ++number)
    {
        const std::string id = std::to_string (number);
        claims.claims.assign (
            1, { base::IdempotencyKey (std::string (30, 'k') + id), std::string (64, 'd'),
                 base::RouterId ("router-12"), base::RequestId (std::string (40, 'q') + id),
                 kStart + 600'000 });
        state.apply (number + 1, claims);
    }
    ASSERT_EQ (state.claims().size(), kClaims);
    const std::size_t heap = mallinfo2().uordblks - heapBefore;
    const std::clock_t begin = std::clock();
    const std::size_t bytes = state.encode().size();
    const double seconds = static_cast<double> (std::clock() - begin) / CLOCKS_PER_SEC;
    std::cout << kClaims << " claims: " << heap / kClaims << " bytes of heap and "
              << bytes / kClaims << " bytes of snapshot each, written in " << seconds
              << " s of processor time\n";
}

}  // namespace
}  // namespace fernlift::cell
