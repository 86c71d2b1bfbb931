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

/// What a call came to, without LEAF.
struct Ending
{
    QJsonObject answer;
    std::optional<base::Error> error;
    QJsonArray problems;
    bool mayHaveRunBefore = false;
};

Ending endingOf (ScriptedTransport& transport, std::vector<base::SocketAddress> controllers)
{
    ControllerClient client (transport, std::move (controllers),
                             transport.now() + base::seconds (10));
    Ending ending = boost::leaf::try_handle_all (
        [&]() -> base::Result<Ending>
        {
            BOOST_LEAF_AUTO (answer, client.call (kCall));
            return Ending{ answer, std::nullopt, {}, false };
        },
        [] (const base::Error& error, const ReportedProblems* problems) {
            return Ending{ {}, error, problems == nullptr ? QJsonArray() : problems->list, false };
        },
        [] {
            return Ending{ {}, base::Error{}, {}, false };
        });
    ending.mayHaveRunBefore = client.mayHaveRunBefore();
    return ending;
}

TEST (ControllerClientTest, FollowsTheHintToTheLeader)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            if (sent.address == "127.0.0.1:9")
                return AdminReply{ 200, R"({"done":true})" };
            return errorReply (503, "not_leader", R"(,"leader":"127.0.0.1:9")");
        });
    const Ending ending = endingOf (transport, { addressAt (1), addressAt (2) });
    EXPECT_TRUE (ending.answer.value (u"done").toBool());
    EXPECT_EQ (transport.calls().size(), 2U);
    EXPECT_FALSE (ending.mayHaveRunBefore);
}

TEST (ControllerClientTest, TriesTheOthersWhenOneCannotBeReached)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            if (sent.address == "127.0.0.1:3")
                return AdminReply{ 200, "{}" };
            return AdminCallFailure{ false, "refused" };
        });
    const Ending ending = endingOf (transport, { addressAt (1), addressAt (2), addressAt (3) });
    EXPECT_FALSE (ending.error);
    EXPECT_EQ (transport.calls().size(), 3U);
    EXPECT_FALSE (ending.mayHaveRunBefore);
}

TEST (ControllerClientTest, SendsAgainAndRemembersALostAnswer)
{
    ScriptedTransport transport (
        [count = 0] (const SentCall&) mutable -> AdminCallOutcome
        {
            if (++count == 1)
                return AdminCallFailure{ true, "closed" };
            return AdminReply{ 200, "{}" };
        });
    const Ending ending = endingOf (transport, { addressAt (1) });
    EXPECT_FALSE (ending.error);
    ASSERT_EQ (transport.calls().size(), 2U);
    EXPECT_EQ (transport.calls()[1].call.body, kCall.body);
    EXPECT_TRUE (ending.mayHaveRunBefore);
}

TEST (ControllerClientTest, GivesUpAtTheDeadlineWithTheLastReason)
{
    ScriptedTransport transport ([] (const SentCall&) -> AdminCallOutcome
                                 { return errorReply (503, "no_quorum"); });
    const Ending ending = endingOf (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (ending.error);
    EXPECT_EQ (ending.error->kind, base::ErrorKind::kNoQuorum);
    EXPECT_TRUE (ending.mayHaveRunBefore);
    EXPECT_GE (transport.now().time_since_epoch(), base::seconds (10));
}

TEST (ControllerClientTest, ControllersThatPointAtEachOtherAreNotAskedWithoutPause)
{
    ScriptedTransport transport (
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            const std::string other = sent.address == "127.0.0.1:1" ? "127.0.0.1:2" : "127.0.0.1:1";
            return errorReply (503, "not_leader", R"(,"leader":")" + other + R"(")");
        });
    const Ending ending = endingOf (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (ending.error);
    EXPECT_EQ (ending.error->kind, base::ErrorKind::kNotLeader);
    EXPECT_LT (transport.calls().size(), 200U);
}

TEST (ControllerClientTest, OtherErrorsAreFinalAndCarryTheirProblems)
{
    ScriptedTransport transport (
        [] (const SentCall&) -> AdminCallOutcome
        {
            return errorReply (422, "configuration_invalid",
                               R"(,"problems":[{"line":3,"key":"cell","message":"odd"}])");
        });
    const Ending ending = endingOf (transport, { addressAt (1), addressAt (2) });
    ASSERT_TRUE (ending.error);
    EXPECT_EQ (ending.error->kind, base::ErrorKind::kConfigurationInvalid);
    EXPECT_EQ (ending.error->message, "as scripted");
    ASSERT_EQ (ending.problems.size(), 1);
    EXPECT_EQ (ending.problems[0].toObject().value (u"line").toInteger(), 3);
    EXPECT_EQ (transport.calls().size(), 1U);
}

TEST (ControllerClientTest, AnswerThatIsNotOursIsAnError)
{
    ScriptedTransport transport (
        [] (const SentCall&) -> AdminCallOutcome {
            return AdminReply{ 502, "<html>" };
        });
    const Ending ending = endingOf (transport, { addressAt (1) });
    ASSERT_TRUE (ending.error);
    EXPECT_EQ (ending.error->kind, base::ErrorKind::kInternal);
    EXPECT_NE (ending.error->message.find ("502"), std::string::npos);
}

}  // namespace
}  // namespace fernlift::ctl
