#include <gtest/gtest.h>

#include "lab/HistoryCheck.h"

namespace fernlift::lab
{
namespace
{

/// A history and ledger without violations; each test introduces one.
class HistoryCheckTest : public testing::Test
{
protected:
    HistoryCheckTest()
    {
        CallRecord answered;
        answered.requestId = "r1";
        answered.idempotencyKey = "k1";
        answered.target = "small";
        answered.end = CallEnd::kComplete;
        answered.status = 200;
        answered.execution = "ran";
        answered.textDigest = "digest of r1";
        answered.isAnswerComplete = true;
        CallRecord refused = answered;
        refused.requestId = "r2";
        refused.idempotencyKey = "k2";
        refused.status = 503;
        refused.execution = "not_run";
        refused.errorKind = "queue_full";
        refused.isAnswerComplete = false;
        m_history = { answered, refused };
        m_ledger = { { "engine-1", "r1", "k1", "small" } };
    }

    std::vector<ViolationKind> check (const CheckOptions& options = {})
    {
        std::vector<ViolationKind> kinds;
        const auto expected = [] (const CallRecord& call) { return "digest of " + call.requestId; };
        for (const Violation& violation : checkHistory (m_history, m_ledger, expected, options))
        {
            kinds.push_back (violation.kind);
        }
        return kinds;
    }

    using Kinds = std::vector<ViolationKind>;
    std::vector<CallRecord> m_history;
    std::vector<LedgerRun> m_ledger;
};

TEST_F (HistoryCheckTest, AcceptsACorrectRun) { EXPECT_EQ (check(), Kinds{}); }

TEST_F (HistoryCheckTest, FindsAWrongText)
{
    m_history[0].textDigest = "digest of r2";
    EXPECT_EQ (check(), Kinds{ ViolationKind::kWrongText });
}

TEST_F (HistoryCheckTest, FindsACallWithoutAnEnd)
{
    m_history[0].end = CallEnd::kBroken;
    EXPECT_EQ (check(), Kinds{ ViolationKind::kNoFinalAnswer });
    EXPECT_EQ (check ({ .allowsBrokenCalls = true }), Kinds{});
}

TEST_F (HistoryCheckTest, FindsAStreamThatEndsWithoutDoneOrError)
{
    m_history[0].isAnswerComplete = false;
    EXPECT_EQ (check(), Kinds{ ViolationKind::kNoFinalAnswer });
}

TEST_F (HistoryCheckTest, FindsTwoAnswersToOneRequest)
{
    m_history.push_back (m_history[0]);
    EXPECT_EQ (check(), Kinds{ ViolationKind::kAnsweredTwice });
}

TEST_F (HistoryCheckTest, FindsARunReportedAsNotRun)
{
    m_ledger.push_back ({ "engine-2", "r2", "", "small" });
    EXPECT_EQ (check(), Kinds{ ViolationKind::kNotRunButRan });
}

TEST_F (HistoryCheckTest, FindsAKeyThatRanTwice)
{
    m_ledger.push_back ({ "engine-2", "r9", "k1", "small" });
    EXPECT_EQ (check(), Kinds{ ViolationKind::kKeyRanTwice });
}

TEST_F (HistoryCheckTest, FindsAnErrorThatDoesNotSayWhetherItRan)
{
    m_history[1].execution.clear();
    EXPECT_EQ (check(), Kinds{ ViolationKind::kExecutionMissing });
}

TEST_F (HistoryCheckTest, FindsAnAnswerThatNoBackEndGave)
{
    m_ledger.clear();
    EXPECT_EQ (check(), Kinds{ ViolationKind::kRanNowhere });
    EXPECT_EQ (check ({ .isLedgerComplete = false }), Kinds{});
}

std::string routerMetrics (int admitted, int answered, int open, int waiting)
{
    return "fernlift_router_requests_admitted_total " + std::to_string(admitted) +
         "\nfernlift_router_requests_answered_total " + std::to_string(answered) +
         "\nfernlift_router_requests_refused_total 1\nfernlift_router_callers_gone_total 2"
         "\nfernlift_router_requests_open " +
         std::to_string(open) + "\nfernlift_router_requests_waiting " + std::to_string(waiting) +
         "\nfernlift_router_waiting_bytes 0\n";
}

TEST (CheckIdleRouter, FindsRemainingRequests)
{
    EXPECT_EQ (checkIdleRouter ("r", routerMetrics (8, 5, 0, 0)).size(), 0U);
    EXPECT_EQ (checkIdleRouter ("r", routerMetrics (8, 4, 0, 0)).size(), 1U) << "one was lost";
    EXPECT_EQ (checkIdleRouter ("r", routerMetrics (8, 4, 1, 0)).size(), 2U) << "one is open";
    EXPECT_EQ (checkIdleRouter ("r", routerMetrics (8, 5, 0, 1)).size(), 1U) << "one waits";
    EXPECT_GT (checkIdleRouter ("r", "").size(), 0U) << "the router does not answer";
}

TEST_F (HistoryCheckTest, HistoryRoundTripsThroughJsonLines)
{
    m_history[1].isResent = true;
    std::string lines;
    for (const CallRecord& record : m_history)
    {
        lines += toJsonLine (record) + "\n";
    }
    const auto read =
        base::handleErrors ([&] { return parseHistory (lines); },
                            [] (const base::Error&) { return std::vector<CallRecord>(); });
    EXPECT_EQ (read, m_history);
}

}  // namespace
}  // namespace fernlift::lab
