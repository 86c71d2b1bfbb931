#include <gtest/gtest.h>

#include "ctl/ControllerClient.h"
#include "ctl/CtlTestSupport.h"

namespace fernlift::ctl
{
namespace
{

using test::addressAt;
using test::errorReply;
using test::ScriptedTransport;
using test::SentCall;

const AdminCall kCall{ "POST", "/admin/v1/drain", "{}" };

/// Result of a call as a plain value, without LEAF.
struct CallResult
{
    QJsonObject answer;
    std::optional<base::Error> error;
    QJsonArray problems;
    bool mayHaveRunBefore = false;
};

CallResult runCall (ScriptedTransport& transport, std::vector<base::SocketAddress> controllers)
{
    ControllerClient client (transport, std::move (controllers),
                             transport.now() + base::seconds (10));
    CallResult result = boost::leaf::try_handle_all (
        [&]() -> base::Result<CallResult>
        {
            BOOST_LEAF_AUTO (answer, client.call (kCall));
            return CallResult{ answer, std::nullopt, {}, false };
        },
        [] (const base::Error& error, const ReportedProblems* problems) {
            return CallResult{
                {}, error, problems == nullptr ? QJsonArray() : problems->list, false
            };
        },
        [] {
            return CallResult{ {}, base::Error{}, {}, false };
        });
    result.mayHaveRunBefore = client.mayHaveRunBefore();
    return result;
}

TEST (ControllerClientTest, FollowsLeaderHint)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            if (sent.address == "127.0.0.1:9")
                return AdminReply{ 200, R"({"done":true})" };
            return errorReply (503, "not_leader", R"(,"leader":"127.0.0.1:9")");
        });
    const CallResult result = runCall (transport, { addressAt (1), addressAt (2) });
    EXPECT_TRUE (result.answer.value (u"done").toBool());
    EXPECT_EQ (transport.calls().size(), 2U);
    EXPECT_FALSE (result.mayHaveRunBefore);
}

TEST (ControllerClientTest, TriesOtherControllersWhenOneIsUnreachable)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            if (sent.address == "127.0.0.1:3")
                return AdminReply{ 200, "{}" };
            return AdminCallFailure{ false, "refused" };
        });
    const CallResult result = runCall (transport, { addressAt (1), addressAt (2), addressAt (3) });
    EXPECT_FALSE (result.error);
    EXPECT_EQ (transport.calls().size(), 3U);
    EXPECT_FALSE (result.mayHaveRunBefore);
}

TEST (ControllerClientTest, RetriesAndReportsALostResponse)
{
    ScriptedTransport transport (
        [count = 0] (const SentCall&) mutable -> AdminCallOutcome
        {
            if (++count == 1)
                return AdminCallFailure{ true, "closed" };
            return AdminReply{ 200, "{}" };
        });
    const CallResult result = runCall (transport, { addressAt (1) });
    EXPECT_FALSE (result.error);
    ASSERT_EQ (transport.calls().size(), 2U);
    EXPECT_EQ (transport.calls()[1].call.body, kCall.body);
    EXPECT_TRUE (result.mayHaveRunBefore);
}

TEST (ControllerClientTest, FailsAtTheDeadlineWithTheLastError)
{
    ScriptedTransport transport ([] (const SentCall&) -> AdminCallOutcome
                                 { return errorReply (503, "no_quorum"); });
    const CallResult result = runCall (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (result.error);
    EXPECT_EQ (result.error->kind, base::ErrorKind::kNoQuorum);
    EXPECT_TRUE (result.mayHaveRunBefore);
    EXPECT_GE (transport.now().time_since_epoch(), base::seconds (10));
}

TEST (ControllerClientTest, PausesBetweenControllersThatNameEachOtherAsLeader)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            const std::string other = sent.address == "127.0.0.1:1" ? "127.0.0.1:2" : "127.0.0.1:1";
            return errorReply (503, "not_leader", R"(,"leader":")" + other + R"(")");
        });
    const CallResult result = runCall (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (result.error);
    EXPECT_EQ (result.error->kind, base::ErrorKind::kNotLeader);
    EXPECT_LT (transport.calls().size(), 200U);
}

TEST (ControllerClientTest, ReturnsOtherErrorsAtOnceWithTheirProblems)
{
    ScriptedTransport transport (
        [] (const SentCall&) -> AdminCallOutcome
        {
            return errorReply (422, "configuration_invalid",
                               R"(,"problems":[{"line":3,"key":"cell","message":"odd"}])");
        });
    const CallResult result = runCall (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (result.error);
    EXPECT_EQ (result.error->kind, base::ErrorKind::kConfigurationInvalid);
    EXPECT_EQ (result.error->message, "as scripted");
    ASSERT_EQ (result.problems.size(), 1);
    EXPECT_EQ (result.problems[0].toObject().value (u"line").toInteger(), 3);
    EXPECT_EQ (transport.calls().size(), 1U);
}

TEST (ControllerClientTest, ReportsResponseThatIsNotJsonAsInternalError)
{
    ScriptedTransport transport (
        [] (const SentCall&) -> AdminCallOutcome {
            return AdminReply{ 502, "<html>" };
        });
    const CallResult result = runCall (transport, { addressAt (1) });
    ASSERT_TRUE (result.error);
    EXPECT_EQ (result.error->kind, base::ErrorKind::kInternal);
    EXPECT_NE (result.error->message.find ("502"), std::string::npos);
}

}  // namespace
}  // namespace fernlift::ctl
