#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell/CellTestSupport.h"
#include "cell/ClaimTable.h"

namespace fernlift::cell
{
namespace
{

using enum ClaimVerdict;

constexpr base::UnixMilliseconds kNow = 1000;
constexpr base::UnixMilliseconds kExpiry = 5000;

Claim claimOf (const std::string& key, const std::string& request,
               base::UnixMilliseconds expiresAt = kExpiry, const std::string& digest = "digest")
{
    return { base::IdempotencyKey (key), digest, base::RouterId ("router"),
             base::RequestId (request), expiresAt };
}

OutcomeRecord outcomeOf (const std::string& key, const std::string& request, ClaimOutcome outcome,
                         std::int32_t status = 0)
{
    return { base::IdempotencyKey (key), base::RequestId (request), outcome, status };
}

class ClaimTableTest : public ::testing::Test
{
protected:
    ClaimVerdict claim (const Claim& claim, base::UnixMilliseconds now = kNow)
    {
        m_table.expire (now);
        return m_table.claim (claim, now).verdict;
    }
    ClaimTable m_table;
};

TEST_F (ClaimTableTest, SameClaimAgainGetsTheSameVerdict)
{
    EXPECT_EQ (claim (claimOf ("k", "first")), kGranted);
    EXPECT_EQ (claim (claimOf ("k", "first")), kGranted);
    EXPECT_EQ (claim (claimOf ("k", "second")), kInProgress);
    EXPECT_EQ (claim (claimOf ("k", "second")), kInProgress);
    EXPECT_EQ (claim (claimOf ("k", "first", kExpiry, "other")), kConflict);
    Claim otherRouter = claimOf ("k", "first");
    otherRouter.router = base::RouterId ("other");
    EXPECT_EQ (claim (otherRouter), kInProgress);
}

TEST_F (ClaimTableTest, OutcomeDecidesLaterVerdicts)
{
    claim (claimOf ("ran", "first"));
    claim (claimOf ("lost", "first"));
    claim (claimOf ("free", "first"));
    m_table.record (outcomeOf ("ran", "first", ClaimOutcome::kRan, 201));
    m_table.record (outcomeOf ("lost", "first", ClaimOutcome::kUnknown));
    m_table.record (outcomeOf ("free", "first", ClaimOutcome::kNotRun));
    const ClaimAnswer answer = m_table.claim (claimOf ("ran", "second"), kNow);
    EXPECT_EQ (answer.verdict, kAlreadyRan);
    EXPECT_EQ (answer.httpStatus, 201);
    EXPECT_EQ (claim (claimOf ("lost", "second")), kOutcomeUnknown);
    EXPECT_EQ (claim (claimOf ("free", "second")), kGranted);
    // A late outcome of the request that released the key does not affect the next holder.
    EXPECT_FALSE (m_table.record (outcomeOf ("free", "first", ClaimOutcome::kNotRun)));
    EXPECT_EQ (claim (claimOf ("free", "third")), kInProgress);
}

TEST_F (ClaimTableTest, OutcomesOnlyBecomeMoreCertain)
{
    claim (claimOf ("k", "first"));
    EXPECT_FALSE (m_table.record (outcomeOf ("k", "second", ClaimOutcome::kNotRun)));
    EXPECT_TRUE (m_table.record (outcomeOf ("k", "first", ClaimOutcome::kUnknown)));
    EXPECT_FALSE (m_table.record (outcomeOf ("k", "first", ClaimOutcome::kNotRun)));
    EXPECT_TRUE (m_table.record (outcomeOf ("k", "first", ClaimOutcome::kRan, 200)));
    EXPECT_FALSE (m_table.record (outcomeOf ("k", "first", ClaimOutcome::kUnknown)));
    EXPECT_EQ (claim (claimOf ("k", "second")), kAlreadyRan);
}

TEST_F (ClaimTableTest, ClaimOutsideTheWindowIsRefused)
{
    EXPECT_EQ (claim (claimOf ("late", "first", kNow - 1)), kWindowPassed);
    EXPECT_EQ (claim (claimOf ("far", "first", kNow + ClaimTable::kMaxLifetime + 1)),
               kWindowPassed);
    EXPECT_EQ (claim (claimOf ("edge", "first", kNow)), kGranted);
    EXPECT_EQ (m_table.size(), 1U);
}

TEST_F (ClaimTableTest, KeyIsKeptExactlyUntilItsExpiry)
{
    claim (claimOf ("k", "first"));
    EXPECT_EQ (claim (claimOf ("k", "second"), kExpiry), kInProgress);
    EXPECT_EQ (claim (claimOf ("k", "second", kExpiry + 10), kExpiry + 1), kGranted);
    EXPECT_EQ (m_table.size(), 1U);
}

TEST_F (ClaimTableTest, MemoryIsBounded)
{
    const std::string longKey (ClaimTable::kMaxKeyBytes + 1, 'k');
    EXPECT_EQ (claim (claimOf (longKey, "first")), kWindowPassed);
    Claim longFields = claimOf ("k", std::string (ClaimTable::kMaxFieldBytes + 1, 'r'));
    EXPECT_EQ (claim (longFields), kWindowPassed);
    for (std::size_t number = 0; number < ClaimTable::kMaxKeys; ++number)
    {
        m_table.claim (claimOf (std::to_string (number), "first", kExpiry + (number == 0 ? 0 : 1)),
                       kNow);
    }
    ASSERT_EQ (m_table.size(), ClaimTable::kMaxKeys);
    EXPECT_EQ (claim (claimOf ("one more", "first")), kTableFull);
    EXPECT_EQ (claim (claimOf ("1", "first")), kGranted)
        << "a claim of a held key must be answered even if the table is full";
    EXPECT_EQ (claim (claimOf ("one more", "first", kExpiry + 9), kExpiry + 1), kGranted);
}

/// Runs claims, outcomes and restarts from a snapshot. Returns whether two requests were granted
/// the same key although the first had not released it and it had not expired.
bool grantsTwice (PlantedFault fault, const std::vector<std::uint32_t>& words)
{
    CellState state (&test::parseTestCatalogue, fault);
    std::map<base::IdempotencyKey, Claim> holders;
    base::LogIndex index = 0;
    base::UnixMilliseconds at = test::kStart;
    for (const std::uint32_t word : words)
    {
        at += word % 10;
        if (word % 7 == 0)
        {
            const std::string bytes = state.encode();
            if (! state.restore (bytes))
                return true;
        }
        // Only claims and outcomes: kinds 13 to 15 of commandFrom().
        const Command command = test::commandFrom (word / 24 * 24 + 13 + word % 3, state, at);
        const ApplyResult result = state.apply (++index, command);
        if (const auto* outcomes = std::get_if<RecordOutcomes> (&command))
        {
            const OutcomeRecord& outcome = outcomes->outcomes.front();
            const auto held = holders.find (outcome.key);
            const bool isOver = std::get<ChangeResult> (result).changed && held != holders.end();
            if (isOver && outcome.outcome == ClaimOutcome::kNotRun)
                holders.erase (held);
            continue;
        }
        const Claim& claim = std::get<ClaimKeys> (command).claims.front();
        if (std::get<ClaimResult> (result).answers.front().verdict != kGranted)
            continue;
        const auto held = holders.find (claim.key);
        const bool isHeld = held != holders.end() && held->second.expiresAt >= state.time();
        if (isHeld && held->second.request != claim.request)
            return true;
        if (! isHeld)
            holders.insert_or_assign (claim.key, claim);
    }
    return false;
}

RC_GTEST_PROP (ClaimTablePropertyTest, KeyIsGrantedToOneRequestAtATime, ())
{
    const auto words = *rc::gen::resize (300, rc::gen::container<std::vector<std::uint32_t>> (
                                                  rc::gen::inRange<std::uint32_t> (0, 1U << 31)));
    RC_ASSERT (! grantsTwice (PlantedFault::kNone, words));
}

TEST (ClaimTableSequencesTest, CatchesClaimsMissingFromSnapshots)
{
    base::Random random (20261202);
    const std::vector<std::uint32_t> words = test::randomWords (random, 500);
    EXPECT_FALSE (grantsTwice (PlantedFault::kNone, words));
    EXPECT_TRUE (grantsTwice (PlantedFault::kClaimsNotSnapshotted, words));
}

}  // namespace
}  // namespace fernlift::cell
