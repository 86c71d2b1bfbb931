#include <gtest/gtest.h>

#include "lab/CompletionAnswer.h"

namespace fernlift::lab
{
namespace
{

std::string event (int offset, const std::string& text)
{
    return R"(data: {"offset":)" + std::to_string (offset)
           + R"(,"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

TEST (CompletionAnswer, JoinsAStream)
{
    const CompletionAnswer answer =
        readStreamedAnswer (event (0, "a b ") + event (2, "c ") + "data: [DONE]\n\n");
    EXPECT_EQ (answer.text, "a b c ");
    EXPECT_TRUE (answer.isComplete);
    EXPECT_EQ (answer.events, 2U);
}

TEST (CompletionAnswer, FindsAGapARepetitionAndAMissingEnd)
{
    EXPECT_FALSE (
        readStreamedAnswer (event (0, "a ") + event (2, "c ") + "data: [DONE]\n\n").isComplete);
    EXPECT_FALSE (
        readStreamedAnswer (event (0, "a ") + event (0, "a ") + "data: [DONE]\n\n").isComplete);
    EXPECT_FALSE (readStreamedAnswer (event (0, "a ")).isComplete);
    EXPECT_FALSE (readStreamedAnswer (event (0, "a ") + "data: [DONE]\n").isComplete);
}

TEST (CompletionAnswer, NothingMayFollowTheEndOfAStream)
{
    EXPECT_FALSE (
        readStreamedAnswer (event (0, "a ") + "data: [DONE]\n\n" + event (1, "b ")).isComplete);
}

TEST (CompletionAnswer, ReadsAnErrorEvent)
{
    const CompletionAnswer answer = readStreamedAnswer (
        event (0, "a ")
        + R"(data: {"error":{"kind":"upstream_broken","message":"m","execution":"unknown"}})"
          "\n\n");
    EXPECT_FALSE (answer.isComplete);
    EXPECT_EQ (answer.errorKind, "upstream_broken");
    EXPECT_EQ (answer.execution, "unknown");
}

TEST (CompletionAnswer, ReadsAPlainAnswer)
{
    const CompletionAnswer answer = readPlainAnswer (
        R"({"choices":[{"index":0,"message":{"role":"assistant","content":"a b "}}]})");
    EXPECT_EQ (answer.text, "a b ");
    EXPECT_TRUE (answer.isComplete);
    EXPECT_FALSE (readPlainAnswer (R"({"choices":[{"index":0,)").isComplete);
}

}  // namespace
}  // namespace fernlift::lab
