// Tests with real controllers behind fault proxies: accepted versions stay in force despite
// failures.

#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <memory>

#include "lab/ControllerCluster.h"
#include "lab/EventWait.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kSettingsExitCode = 3;
constexpr base::Duration kWaitTimeout = base::seconds (20);

class ControllerFailureTest : public testing::Test
{
protected:
    void startCluster (std::vector<std::string> flags = {})
    {
        ensureApplication();
        const char* programs = std::getenv ("FERNLIFT_BIN_DIR");
        ASSERT_NE (programs, nullptr) << "set FERNLIFT_BIN_DIR to the folder of the programs";
        m_cluster = std::make_unique<ControllerCluster> (
            ControllerCluster::Options{ .programs = programs,
                                        .run = m_folder.path().toStdString(),
                                        .flags = std::move (flags) });
        ASSERT_TRUE (succeeds ([&] { return m_cluster->start(); }));
    }

    [[nodiscard]] ControllerCluster& cluster() { return *m_cluster; }

    /// Applies a version and expects that it is accepted.
    void applyVersion (std::uint64_t version)
    {
        const ConfigurationAnswer answer = cluster().apply (clusterCatalogue (version));
        EXPECT_EQ (answer.status, kOk) << "version " << version;
        EXPECT_EQ (answer.version, version);
    }

    /// Expects that every successful linearizable read returns this version and that one succeeds.
    void expectRead (std::uint64_t version)
    {
        ASSERT_NE (cluster().awaitLeader(), 0U);
        EXPECT_TRUE (waitUntil (
            [&]
            {
                std::size_t answered = 0;
                for (const base::MemberId id : cluster().live())
                {
                    const ConfigurationAnswer answer = cluster().readAt (id);
                    if (answer.status != kOk)
                        continue;
                    EXPECT_EQ (answer.version, version) << "read at member " << id;
                    ++answered;
                }
                return answered > 0;
            },
            kWaitTimeout));
    }

    std::string writeFile (const std::string& text)
    {
        std::string path = m_folder.filePath (QStringLiteral ("file.toml")).toStdString();
        std::ofstream (path) << text;
        return path;
    }

    /// Runs fernliftctl until it succeeds; adds a failure when it does not in time.
    void ctlUntilDone (const std::vector<std::string>& arguments)
    {
        CtlOutcome outcome;
        const bool isDone = waitUntil (
            [&]
            {
                outcome = cluster().ctl (arguments);
                return outcome.exitCode == 0;
            },
            kWaitTimeout);
        EXPECT_TRUE (isDone) << testing::PrintToString (arguments) << "\n" << outcome.output;
    }

    QTemporaryDir m_folder;
    std::unique_ptr<ControllerCluster> m_cluster;
};

TEST_F (ControllerFailureTest, KilledLeaderIsReplacedAndCatchesUp)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    applyVersion (1);
    const base::MemberId old = cluster().leader();
    cluster().kill (old);
    applyVersion (2);
    ASSERT_TRUE (succeeds ([&] { return cluster().restart (old); }));
    EXPECT_TRUE (cluster().awaitEverywhere (2));
    expectRead (2);
    EXPECT_EQ (cluster().apply (clusterCatalogue (1)).status, kConflict);
    const base::MemberId leader = cluster().leader();
    EXPECT_EQ (cluster().stop (leader), 0) << "planned stop of the leader";
    applyVersion (3);
}

TEST_F (ControllerFailureTest, FrozenLeaderReturnsNoStaleDataAndCommitsNothing)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    applyVersion (1);
    const base::MemberId old = cluster().leader();
    cluster().freeze (old);
    // These requests reach the frozen process, which still has the role of leader; it reads them
    // after the thaw.
    std::vector<ConfigurationAnswer> late;
    const auto note = [&] (const HttpOutcome& outcome)
    { late.push_back (parseConfigurationAnswer (outcome)); };
    http::Client client;
    const HttpCall read (client, cluster().adminRequest (old, "GET", "configuration"), note);
    const HttpCall write (
        client, cluster().adminRequest (old, "POST", "configuration", clusterCatalogue (2, "late")),
        note);
    ASSERT_NE (cluster().awaitLeader (old), 0U);
    applyVersion (2);
    applyVersion (3);
    cluster().thaw (old);
    EXPECT_TRUE (waitUntil ([&] { return late.size() == 2; }, kWaitTimeout));
    for (const ConfigurationAnswer& answer : late)
    {
        // Only a leader with a lease answers 200, and version 3 is in force by the thaw.
        if (answer.status == kOk)
        {
            EXPECT_EQ (answer.version, 3U);
        }
    }
    EXPECT_TRUE (cluster().awaitEverywhere (3));
    expectRead (3);
}

TEST_F (ControllerFailureTest, LeaderWithoutIncomingMessagesStepsDown)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    applyVersion (1);
    const base::MemberId old = cluster().leader();
    cluster().cutIncoming (old, true);
    ASSERT_NE (cluster().awaitLeader (old), 0U);
    applyVersion (2);
    EXPECT_NE (cluster().readAt (old).status, kOk)
        << "a leader without answers of the others has no lease";
    cluster().cutIncoming (old, false);
    EXPECT_TRUE (cluster().awaitEverywhere (2));
    expectRead (2);
}

TEST_F (ControllerFailureTest, LeaderWithoutOutgoingMessagesIsReplaced)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    applyVersion (1);
    const base::MemberId old = cluster().leader();
    cluster().cutOutgoing (old, true);
    ASSERT_NE (cluster().awaitLeader (old), 0U);
    applyVersion (2);
    cluster().cutOutgoing (old, false);
    EXPECT_TRUE (cluster().awaitEverywhere (2));
    applyVersion (3);
    expectRead (3);
}

TEST_F (ControllerFailureTest, MemberWithALostDiskIsReplacedAndASecondIsLostAtOnce)
{
    ASSERT_NO_FATAL_FAILURE (startCluster ({ "--entries-between-snapshots", "20" }));
    std::uint64_t version = 0;
    const auto applyMore = [&]
    {
        for (int count = 0; count < 15; ++count)
            applyVersion (++version);
    };
    applyMore();
    constexpr base::MemberId kLost = 3;
    constexpr base::MemberId kNew = 4;
    cluster().kill (kLost);
    cluster().wipe (kLost);
    applyMore();
    ASSERT_TRUE (succeeds ([&] { return cluster().restart (kLost); }));
    EXPECT_TRUE (cluster().process (kLost).waitForEnd (kWaitTimeout))
        << "a member with an empty folder must not start under its old id";
    EXPECT_EQ (cluster().process (kLost).exitCode(), kSettingsExitCode);

    ASSERT_TRUE (succeeds ([&] { return cluster().startJoining (kNew); }));
    ctlUntilDone (cluster().additionOf (kNew));
    applyMore();
    ctlUntilDone ({ "members", "promote", std::to_string (kNew) });
    ctlUntilDone ({ "members", "remove", std::to_string (kLost) });
    const base::MemberId second = cluster().leader();
    ASSERT_NE (second, kNew);
    cluster().kill (second);
    cluster().wipe (second);
    applyMore();
    EXPECT_TRUE (cluster().awaitEverywhere (version));
    expectRead (version);
}

TEST_F (ControllerFailureTest, RestartFromMixedDisksShowsNoOlderState)
{
    constexpr std::uint64_t kApplies = 500;
    constexpr base::MemberId kShortLog =
        2;  // Takes snapshots often; member 1 keeps the complete log.
    constexpr base::MemberId kLost = 3;
    constexpr base::MemberId kNew = 4;
    ASSERT_NO_FATAL_FAILURE (startCluster ({ "--entries-between-snapshots", "400" }));
    ASSERT_EQ (cluster().stop (kShortLog), 0);
    ASSERT_TRUE (succeeds (
        [&] {
            return cluster().restart (kShortLog, { "--entries-between-snapshots", "7" });
        }));
    for (std::uint64_t version = 1; version < kApplies; ++version)
    {
        ASSERT_EQ (cluster().apply (clusterCatalogue (version)).status, kOk) << version;
        if (version == kApplies / 2)
            cluster().kill (kLost);
    }
    // The last version is committed by the two members with intact disks; then all fail at once.
    applyVersion (kApplies);
    cluster().kill (1);
    cluster().kill (kShortLog);
    cluster().wipe (kLost);
    for (const base::MemberId id : { base::MemberId{ 1 }, kShortLog })
    {
        ASSERT_TRUE (succeeds ([&] { return cluster().restart (id); }));
    }
    ASSERT_TRUE (succeeds ([&] { return cluster().startJoining (kNew); }));
    expectRead (kApplies);
    EXPECT_EQ (cluster().apply (clusterCatalogue (kApplies - 1)).status, kConflict);
    EXPECT_EQ (cluster().apply (clusterCatalogue (kApplies)).result, "unchanged");
    ctlUntilDone (cluster().additionOf (kNew));
    EXPECT_TRUE (cluster().awaitEverywhere (kApplies));
}

TEST_F (ControllerFailureTest, OneOfConcurrentAppliesOfOneVersionWins)
{
    constexpr std::uint64_t kVersions = 12;
    constexpr std::uint64_t kKillAt = 6;
    ASSERT_NO_FATAL_FAILURE (startCluster());
    for (std::uint64_t version = 1; version <= kVersions; ++version)
    {
        std::vector<ConfigurationAnswer> answers;
        http::Client client;
        std::vector<std::unique_ptr<HttpCall>> calls;
        const base::MemberId leader = cluster().awaitLeader();
        for (const char* text : { "left", "right", "left" })
        {
            calls.push_back (std::make_unique<HttpCall> (
                client,
                cluster().adminRequest (leader, "POST", "configuration",
                                        clusterCatalogue (version, text)),
                [&] (const HttpOutcome& outcome)
                { answers.push_back (parseConfigurationAnswer (outcome)); }));
        }
        if (version == kKillAt)
        {
            handleEventsFor (base::milliseconds (2));
            cluster().kill (leader);
        }
        ASSERT_TRUE (waitUntil ([&] { return answers.size() == calls.size(); }, kWaitTimeout));
        if (version == kKillAt)
        {
            ASSERT_TRUE (succeeds ([&] { return cluster().restart (leader); }));
        }
        // A resent apply shows which text won. Exactly one did, and it is the one for which an
        // earlier answer reported success.
        const ConfigurationAnswer left = cluster().apply (clusterCatalogue (version, "left"));
        const ConfigurationAnswer right = cluster().apply (clusterCatalogue (version, "right"));
        EXPECT_NE (left.status == kOk, right.status == kOk) << version;
        EXPECT_EQ (left.digest, right.digest);
        for (const ConfigurationAnswer& answer : answers)
        {
            if (answer.status == kOk)
            {
                EXPECT_EQ (answer.digest, left.digest) << version;
            }
        }
    }
}

TEST_F (ControllerFailureTest, ResendOfAnApplyWhoseAnswerWasLostIsSafe)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    FaultProxy proxy (cluster().httpAddress (cluster().leader()));
    base::SocketAddress proxyAddress;
    ASSERT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_ASSIGN (proxyAddress, proxy.listen ({ "127.0.0.1", 0 }));
            ProxyFaults faults;
            faults.toCaller.resetAfterBytes = 1;
            return proxy.setFaults (faults);
        }));
    const std::string file = writeFile (clusterCatalogue (1));
    std::vector<base::SocketAddress> controllers{ proxyAddress };
    for (const base::MemberId id : cluster().live())
    {
        if (id != cluster().leader())
            controllers.push_back (cluster().httpAddress (id));
    }
    const CtlOutcome outcome = cluster().ctl ({ "apply", file, "--output", "json" }, controllers);
    EXPECT_EQ (outcome.exitCode, 0) << outcome.output;
    EXPECT_NE (outcome.output.find ("unchanged"), std::string::npos) << outcome.output;
    EXPECT_GE (proxy.counters().resets, 1U) << "the first answer was lost";
}

TEST_F (ControllerFailureTest, CtlFollowsTheLeaderAndShowsProblems)
{
    ASSERT_NO_FATAL_FAILURE (startCluster());
    base::MemberId follower = cluster().leader() % 3 + 1;
    const std::vector<base::SocketAddress> only{ cluster().httpAddress (follower) };
    const std::string file = writeFile (clusterCatalogue (1));
    EXPECT_EQ (cluster().ctl ({ "apply", file }, only).exitCode, 0);
    const CtlOutcome members = cluster().ctl ({ "members", "--output", "json" }, only);
    EXPECT_NE (members.output.find ("\"lag\""), std::string::npos) << members.output;
    EXPECT_NE (cluster().ctl ({ "members", "promote", "77" }, only).exitCode, 0);
    std::string other = clusterCatalogue (2);
    other.replace (other.find ("\"lab\""), 5, "\"far\"");
    const CtlOutcome refused = cluster().ctl ({ "apply", writeFile (other) }, only);
    EXPECT_EQ (refused.exitCode, kSettingsExitCode) << refused.output;
    EXPECT_NE (refused.output.find ("cell 'far'"), std::string::npos) << refused.output;
}

}  // namespace
}  // namespace fernlift::lab
