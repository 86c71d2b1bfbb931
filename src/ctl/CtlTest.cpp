#include <gtest/gtest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <fstream>
#include <sstream>

#include "base/Digest.h"
#include "config/Catalogue.h"
#include "ctl/Ctl.h"
#include "ctl/CtlTestSupport.h"

namespace fernlift::ctl
{
namespace
{

using test::addressAt;
using test::errorReply;
using test::ScriptedTransport;
using test::SentCall;

constexpr const char* kCatalogue = R"(cell = "c"
version = 7
zones = ["z1"]
[[class]]
name = "urgent"
urgency = 0
deadline_ms = 2000
)";

int exitCodeOf (base::ErrorKind kind) { return base::traitsOf (kind).exitCode; }

/// Output and exit code of a command.
struct CommandRun
{
    int exitCode = 0;
    std::string output;
    std::string errors;

    [[nodiscard]] QJsonObject json() const
    {
        return QJsonDocument::fromJson (QByteArray::fromStdString (output)).object();
    }
};

class CtlTest : public testing::Test
{
protected:
    CtlTest()
    {
        m_options.controllers = { addressAt (1), addressAt (2) };
        m_options.output = "json";
        m_options.timeout = base::seconds (10);
    }

    std::string writeFile (const std::string& text)
    {
        std::string path = m_directory.filePath (QStringLiteral ("file.toml")).toStdString();
        std::ofstream (path) << text;
        return path;
    }

    CommandRun run (const std::vector<std::string>& positionals, ScriptedTransport::Script script)
    {
        ScriptedTransport transport (std::move (script));
        std::ostringstream output;
        std::ostringstream errors;
        CommandRun result;
        result.exitCode = runCommand (m_options, positionals, transport, output, errors);
        result.output = output.str();
        result.errors = errors.str();
        m_calls = transport.calls();
        return result;
    }

    CommandRun runAnswered (const std::vector<std::string>& positionals, const std::string& body)
    {
        return run (positionals,
                    [body] (const SentCall&) -> AdminCallOutcome {
                        return AdminReply{ 200, body };
                    });
    }

    QTemporaryDir m_directory;
    CtlOptions m_options;
    std::vector<SentCall> m_calls;
};

TEST_F (CtlTest, ValidateNeedsNoController)
{
    const CommandRun result = runAnswered ({ "validate", writeFile (kCatalogue) }, "{}");
    EXPECT_EQ (result.exitCode, 0);
    EXPECT_EQ (result.json().value (u"version").toInteger(), 7);
    EXPECT_TRUE (m_calls.empty());
}

TEST_F (CtlTest, InvalidFileIsNotSentAndEveryProblemIsPrinted)
{
    m_options.output = "table";
    const std::string path =
        writeFile (std::string (kCatalogue) + "urgency2 = 1\nrepeatable = 3\n");
    const CommandRun result = runAnswered ({ "apply", path }, "{}");
    EXPECT_EQ (result.exitCode, exitCodeOf (base::ErrorKind::kConfigurationInvalid));
    EXPECT_NE (result.errors.find (path + ":8: class[0].urgency2: unknown key"), std::string::npos)
        << result.errors;
    EXPECT_NE (result.errors.find (path + ":9: class[0].repeatable: found 3"), std::string::npos);
    EXPECT_TRUE (m_calls.empty());
}

TEST_F (CtlTest, ApplySendsTheWholeFile)
{
    const CommandRun result = runAnswered (
        { "apply", writeFile (kCatalogue) },
        R"({"version":7,"digest":"d","result":"accepted","in_force_everywhere":false})");
    EXPECT_EQ (result.exitCode, 0);
    ASSERT_EQ (m_calls.size(), 1U);
    EXPECT_EQ (m_calls[0].call.method, "POST");
    EXPECT_EQ (m_calls[0].call.path, "/admin/v1/configuration");
    EXPECT_EQ (m_calls[0].call.body, kCatalogue);
    EXPECT_EQ (result.json().value (u"result").toString().toStdString(), "accepted");
}

TEST_F (CtlTest, ApplyWithWaitRepeatsUntilInForceEverywhere)
{
    m_options.isWaiting = true;
    const CommandRun result =
        run ({ "apply", writeFile (kCatalogue) },
             [count = 0] (const SentCall&) mutable -> AdminCallOutcome
             {
                 ++count;
                 if (count == 1)
                     return AdminReply{ 200, R"({"result":"accepted"})" };
                 if (count == 2)
                     return AdminCallFailure{ true, "closed" };
                 const char* const everywhere = count == 4 ? "true" : "false";
                 return AdminReply{ 200, std::string (R"({"result":"already_in_force",)")
                                             + R"("in_force_everywhere":)" + everywhere + "}" };
             });
    EXPECT_EQ (result.exitCode, 0);
    ASSERT_EQ (m_calls.size(), 4U);
    EXPECT_EQ (m_calls[3].call.path, "/admin/v1/configuration?wait=1&timeout_ms=2000");
    EXPECT_EQ (result.json().value (u"result").toString().toStdString(), "accepted");
    EXPECT_TRUE (result.json().value (u"in_force_everywhere").toBool());
}

TEST_F (CtlTest, ApplyWithWaitFailsWhenTheDeadlinePasses)
{
    m_options.isWaiting = true;
    const CommandRun result = runAnswered ({ "apply", writeFile (kCatalogue) },
                                           R"({"result":"accepted","in_force_everywhere":false})");
    EXPECT_EQ (result.exitCode, exitCodeOf (base::ErrorKind::kDeadlinePassed));
    EXPECT_EQ (result.json().value (u"result").toString().toStdString(), "accepted");
}

TEST_F (CtlTest, ApplyWithWaitReportsAcceptanceWhenControllersBecomeUnreachable)
{
    m_options.isWaiting = true;
    const CommandRun result = run ({ "apply", writeFile (kCatalogue) },
                                   [count = 0] (const SentCall&) mutable -> AdminCallOutcome
                                   {
                                       if (++count == 1)
                                           return AdminReply{ 200, R"({"result":"accepted"})" };
                                       return AdminCallFailure{ false, "refused" };
                                   });
    EXPECT_EQ (result.exitCode, exitCodeOf (base::ErrorKind::kDeadlinePassed));
    EXPECT_EQ (result.json().value (u"result").toString().toStdString(), "accepted");
}

TEST_F (CtlTest, RefusalAfterLostResponseReportsThatTheFileMayHaveBeenInForce)
{
    const CommandRun result = run ({ "apply", writeFile (kCatalogue) },
                                   [count = 0] (const SentCall&) mutable -> AdminCallOutcome
                                   {
                                       if (++count == 1)
                                           return AdminCallFailure{ true, "closed" };
                                       return errorReply (409, "configuration_stale");
                                   });
    EXPECT_EQ (result.exitCode, exitCodeOf (base::ErrorKind::kConfigurationStale));
    EXPECT_NE (result.output.find ("may have been in force"), std::string::npos) << result.output;
}

struct DiffCase
{
    const char* inForce;  ///< Text of the configuration in force; empty if there is none.
    const char* verdict;
    int exitCode;
};

class CtlDiffTest : public CtlTest, public testing::WithParamInterface<DiffCase>
{
};

TEST_P (CtlDiffTest, ReportsWhatApplyWouldDo)
{
    const std::string inForce = GetParam().inForce;
    const config::CatalogueOutcome parsed = config::parseCatalogue (inForce);
    const CommandRun result = run (
        { "diff", writeFile (kCatalogue) },
        [&] (const SentCall&) -> AdminCallOutcome
        {
            if (inForce.empty())
                return errorReply (404, "not_found");
            const QJsonObject body{
                { QStringLiteral ("version"), static_cast<qint64> (parsed.catalogue->version) },
                { QStringLiteral ("digest"), QString::fromStdString (base::sha256Hex (inForce)) },
                { QStringLiteral ("text"), QString::fromStdString (inForce) }
            };
            return AdminReply{ 200, QJsonDocument (body).toJson().toStdString() };
        });
    EXPECT_EQ (result.exitCode, GetParam().exitCode) << result.output;
    EXPECT_EQ (result.json().value (u"verdict").toString().toStdString(), GetParam().verdict);
}

constexpr const char* kOlder =
    "cell = \"c\"\nversion = 6\nzones = [\"z1\"]\n[[class]]\nname = \"urgent\"\nurgency = 0\n"
    "deadline_ms = 1000\n";
constexpr const char* kNewer =
    "cell = \"c\"\nversion = 8\nzones = [\"z1\"]\n[[class]]\nname = \"urgent\"\nurgency = 0\n"
    "deadline_ms = 1000\n";
constexpr const char* kEqualVersion =
    "cell = \"c\"\nversion = 7\nzones = [\"z1\"]\n[[class]]\nname = \"urgent\"\nurgency = 0\n"
    "deadline_ms = 1000\n";

INSTANTIATE_TEST_SUITE_P (Verdicts, CtlDiffTest,
                          testing::Values (DiffCase{ "", "would_replace", 0 },
                                           DiffCase{ kOlder, "would_replace", 0 },
                                           DiffCase{ kCatalogue, "already_in_force", 0 },
                                           DiffCase{ kNewer, "configuration_stale", 4 },
                                           DiffCase{ kEqualVersion, "configuration_conflict", 4 }));

TEST_F (CtlTest, DrainAndUndoSendTheDrainingFlag)
{
    EXPECT_EQ (runAnswered ({ "drain", "runner 1" }, "{}").exitCode, 0);
    ASSERT_EQ (m_calls.size(), 1U);
    EXPECT_EQ (m_calls[0].call.path, "/admin/v1/drain");
    EXPECT_EQ (m_calls[0].call.body, R"({"draining":true,"runner":"runner 1"})");
    m_options.isUndo = true;
    runAnswered ({ "drain", "runner 1" }, "{}");
    EXPECT_EQ (m_calls[0].call.body, R"({"draining":false,"runner":"runner 1"})");
}

TEST_F (CtlTest, QuarantineShowsAndReleasesRequests)
{
    EXPECT_EQ (runAnswered ({ "quarantine" }, R"({"suspects":[]})").exitCode, 0);
    EXPECT_EQ (m_calls[0].call.method, "GET");
    EXPECT_EQ (m_calls[0].call.path, "/admin/v1/quarantine");
    EXPECT_EQ (runAnswered ({ "quarantine", "release", "0a1b" }, "{}").exitCode, 0);
    EXPECT_EQ (m_calls[0].call.body, R"({"release":"0a1b"})");
    EXPECT_EQ (runAnswered ({ "quarantine", "release-all" }, "{}").exitCode, 0);
    EXPECT_EQ (m_calls[0].call.body, R"({"release_all":true})");
    EXPECT_EQ (runAnswered ({ "quarantine", "release" }, "{}").exitCode, 2);
}

TEST_F (CtlTest, ExplainEncodesTheName)
{
    EXPECT_EQ (runAnswered ({ "explain", "model", "a:b c" }, "{}").exitCode, 0);
    ASSERT_EQ (m_calls.size(), 1U);
    EXPECT_EQ (m_calls[0].call.path, "/admin/v1/explain/model/a%3Ab%20c");
}

TEST_F (CtlTest, ExplainRequestQueriesEveryRouter)
{
    m_options.routers = { addressAt (11), addressAt (12), addressAt (13) };
    const CommandRun result = run ({ "explain", "request", "r-1" },
                                   [] (const SentCall& sent) -> AdminCallOutcome
                                   {
                                       if (sent.address == "127.0.0.1:11")
                                           return AdminCallFailure{ false, "refused" };
                                       if (sent.address == "127.0.0.1:12")
                                           return errorReply (404, "not_found");
                                       return AdminReply{ 200, R"({"id":"r-1"})" };
                                   });
    EXPECT_EQ (result.exitCode, 0);
    EXPECT_EQ (result.json().value (u"router").toString().toStdString(), "127.0.0.1:13");
    EXPECT_EQ (m_calls.back().call.path, "/admin/v1/explain/request/r-1");
    EXPECT_EQ (m_calls.size(), 3U);
}

TEST_F (CtlTest, ExplainRequestDistinguishesUnreachableRoutersFromUnknownRequests)
{
    m_options.routers = { addressAt (11), addressAt (12) };
    const auto notFound = [] (const SentCall&) -> AdminCallOutcome
    { return errorReply (404, "not_found"); };
    EXPECT_EQ (run ({ "explain", "request", "r" }, notFound).exitCode,
               exitCodeOf (base::ErrorKind::kNotFound));
    const auto oneSilent = [] (const SentCall& sent) -> AdminCallOutcome
    {
        if (sent.address == "127.0.0.1:11")
            return AdminCallFailure{ false, "refused" };
        return errorReply (404, "not_found");
    };
    EXPECT_EQ (run ({ "explain", "request", "r" }, oneSilent).exitCode,
               exitCodeOf (base::ErrorKind::kConnectionFailed));
}

TEST_F (CtlTest, MembersAddSendsTheMember)
{
    EXPECT_EQ (
        runAnswered ({ "members", "add", "4", "127.0.0.1:5", "127.0.0.1:6", "z1" }, "{}").exitCode,
        0);
    ASSERT_EQ (m_calls.size(), 1U);
    EXPECT_EQ (
        m_calls[0].call.body,
        R"({"add":{"admin_address":"127.0.0.1:6","id":4,"peer_address":"127.0.0.1:5","zone":"z1"}})");
}

TEST_F (CtlTest, RefusedMemberChangeAfterLostResponseIsCheckedAgainstTheMembers)
{
    const auto script = [] (const std::string& members)
    {
        return [members, count = 0] (const SentCall& sent) mutable -> AdminCallOutcome
        {
            if (sent.call.method == "GET")
                return AdminReply{ 200, members };
            if (++count == 1)
                return AdminCallFailure{ true, "closed" };
            return errorReply (409, "membership_change_refused");
        };
    };
    EXPECT_EQ (run ({ "members", "remove", "4" }, script (R"({"members":[{"id":"5"}]})")).exitCode,
               0);
    EXPECT_EQ (run ({ "members", "remove", "4" }, script (R"({"members":[{"id":"4"}]})")).exitCode,
               exitCodeOf (base::ErrorKind::kMembershipChangeRefused));
    EXPECT_EQ (
        run ({ "members", "promote", "4" }, script (R"({"members":[{"id":"4","voter":false}]})"))
            .exitCode,
        exitCodeOf (base::ErrorKind::kMembershipChangeRefused));
}

TEST_F (CtlTest, MemberAddedByAttemptWithLostResponseIsRecognized)
{
    const CommandRun result =
        run ({ "members", "add", "4", "127.0.0.1:5", "127.0.0.1:6", "z1" },
             [count = 0] (const SentCall& sent) mutable -> AdminCallOutcome
             {
                 if (sent.call.method == "GET")
                 {
                     return AdminReply{ 200, R"({"members":[{"id":"4","voter":false}]})" };
                 }
                 if (++count == 1)
                     return AdminCallFailure{ true, "closed" };
                 return errorReply (409, "membership_change_refused");
             });
    EXPECT_EQ (result.exitCode, 0) << result.output;
}

/// Response of a controller to `members`; the leader is member 2 with the admin port 22.
std::string membersAnswer (const std::string& role, int term)
{
    return R"({"role":")" + role + R"(","leader":"2","term":)" + std::to_string (term)
           + R"(,"members":[{"id":"2","admin_address":"127.0.0.1:22"}]})";
}

TEST_F (CtlTest, MembersAndStatusComeFromTheLeaderEvenIfItIsNotListed)
{
    for (const char* command : { "members", "status" })
    {
        const CommandRun result =
            run ({ command },
                 [] (const SentCall& sent) -> AdminCallOutcome
                 {
                     const bool isLeader = sent.address == "127.0.0.1:22";
                     return AdminReply{ 200, membersAnswer (isLeader ? "leader" : "follower", 3) };
                 });
        EXPECT_EQ (result.json().value (u"role").toString(), QStringLiteral ("leader"));
        EXPECT_EQ (m_calls.size(), 2U);
    }
}

TEST_F (CtlTest, StatusWithoutALeaderComesFromTheHighestTerm)
{
    const CommandRun result = run (
        { "status" },
        [] (const SentCall& sent) -> AdminCallOutcome
        {
            if (sent.address == "127.0.0.1:22")
                return AdminCallFailure{ false, "refused" };
            return AdminReply{ 200,
                               membersAnswer ("follower", sent.address == "127.0.0.1:2" ? 5 : 4) };
        });
    EXPECT_EQ (result.exitCode, 0);
    EXPECT_EQ (result.json().value (u"term").toInteger(), 5);
}

TEST_F (CtlTest, MisuseIsAUsageError)
{
    const std::vector<std::vector<std::string>> misuses{ {},
                                                         { "unknown" },
                                                         { "apply" },
                                                         { "status", "x" },
                                                         { "explain", "planet", "x" },
                                                         { "explain", "model" },
                                                         { "explain", "request", "r" },
                                                         { "members", "add", "4" },
                                                         { "members", "remove", "x" },
                                                         { "members", "remove", "0" } };
    for (const std::vector<std::string>& positionals : misuses)
    {
        EXPECT_EQ (runAnswered (positionals, "{}").exitCode, exitCodeOf (base::ErrorKind::kUsage))
            << testing::PrintToString (positionals);
        EXPECT_TRUE (m_calls.empty());
    }
    m_options.controllers.clear();
    EXPECT_EQ (runAnswered ({ "status" }, "{}").exitCode, exitCodeOf (base::ErrorKind::kUsage));
}

TEST_F (CtlTest, MissingFileIsNamed)
{
    m_options.output = "table";
    const CommandRun result = runAnswered ({ "apply", "/nonexistent.toml" }, "{}");
    EXPECT_EQ (result.exitCode, exitCodeOf (base::ErrorKind::kNotFound));
    EXPECT_NE (result.errors.find ("/nonexistent.toml"), std::string::npos);
}

TEST_F (CtlTest, HelpListsEveryCommand)
{
    for (const Command& command : allCommands())
    {
        EXPECT_NE (commandsHelp().find ("  " + std::string (command.name) + " "),
                   std::string::npos);
    }
}

}  // namespace
}  // namespace fernlift::ctl
