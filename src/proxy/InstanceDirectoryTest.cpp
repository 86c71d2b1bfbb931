#include <gtest/gtest.h>

#include "proxy/InstanceDirectory.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };

cell::RoutableInstance rowOf (const std::string& id, const std::string& zone = "z1")
{
    cell::RoutableInstance row;
    row.instance.id = id;
    row.instance.service = "service";
    row.instance.address = "10.0.0.1:" + id.substr (2);
    row.instance.zone = zone;
    row.instance.slots = 64;
    row.instance.isReported = true;
    row.instance.models = { { "m", 1, { "a1" } } };
    return row;
}

class InstanceDirectoryTest : public ::testing::Test
{
protected:
    void put (const std::vector<cell::RoutableInstance>& rows)
    {
        cell::InstanceUpdate update;
        update.term = 1;
        update.fromVersion = m_version;
        update.toVersion = ++m_version;
        update.upserts = rows;
        ASSERT_TRUE (m_directory.apply (update, kStart));
    }
    std::string choose (const std::string& model = "", base::TimePoint now = kStart)
    {
        InstanceQuery query;
        query.service = "service";
        query.model = model;
        return m_directory.choose (query, now).id;
    }
    NoRunnerReason reason (const InstanceQuery& query)
    {
        return m_directory.choose (query, kStart).reason;
    }

    InstanceDirectory m_directory{ "z1" };
    std::uint64_t m_version = 0;
};

TEST_F (InstanceDirectoryTest, DetectsGapInTableVersions)
{
    put ({ rowOf ("i-1") });
    cell::InstanceUpdate update;
    update.term = 1;
    update.fromVersion = 5;
    update.toVersion = 6;
    EXPECT_FALSE (m_directory.apply (update, kStart));
    update.term = 2;
    EXPECT_FALSE (m_directory.apply (update, kStart));
    update.fromVersion = 0;
    EXPECT_TRUE (m_directory.apply (update, kStart));
    EXPECT_EQ (m_directory.size(), 0U);
    update.term = 1;
    EXPECT_FALSE (m_directory.apply (update, kStart));  // Update of an earlier leader.
}

TEST_F (InstanceDirectoryTest, PrefersTheIdleRunnerAndItsOwnZone)
{
    put ({ rowOf ("i-1"), rowOf ("i-2", "z2") });
    EXPECT_EQ (choose(), "i-1");
    for (int request = 0; request < 10; ++request)
        m_directory.onAttemptBegin ("i-1", 0, kStart);
    EXPECT_EQ (choose(), "i-2");
}

TEST_F (InstanceDirectoryTest, CopiesOfSuspectGoToOneRunnerThatDidNotCrash)
{
    put ({ rowOf ("i-1"), rowOf ("i-2"), rowOf ("i-3"), rowOf ("i-4") });
    InstanceQuery query;
    query.service = "service";
    query.isolationKey = "digest";
    const std::string first = m_directory.choose (query, kStart).id;
    m_directory.onAttemptBegin (first, 0, kStart);
    EXPECT_EQ (m_directory.choose (query, kStart).id, first)
        << "the load does not affect the isolation runner";
    query.crashedInstances = { first };
    EXPECT_NE (m_directory.choose (query, kStart).id, first);
    query.crashedInstances = { "i-1", "i-2", "i-3", "i-4" };
    EXPECT_EQ (m_directory.choose (query, kStart).reason, NoRunnerReason::kNotLoaded);
}

TEST_F (InstanceDirectoryTest, SuspectGoesToPossiblyFailedRunnerOnlyAsLastResort)
{
    put ({ rowOf ("i-1"), rowOf ("i-2"), rowOf ("i-3") });
    InstanceQuery query;
    query.service = "service";
    query.isolationKey = "digest";
    const std::string first = m_directory.choose (query, kStart).id;
    cell::RoutableInstance silent = rowOf (first);
    silent.isSilent = true;
    put ({ silent });
    const std::string second = m_directory.choose (query, kStart).id;
    EXPECT_NE (second, first);
    query.avoidedInstance = second;
    EXPECT_NE (m_directory.choose (query, kStart).id, first);
    EXPECT_NE (m_directory.choose (query, kStart).id, second);
    query.crashedInstances = { "i-1", "i-2", "i-3" };
    std::erase (query.crashedInstances, first);
    EXPECT_EQ (m_directory.choose (query, kStart).id, first);
}

TEST_F (InstanceDirectoryTest, DrainingRunnersGetNothing)
{
    cell::RoutableInstance draining = rowOf ("i-1");
    draining.instance.isDraining = true;
    put ({ draining });
    EXPECT_EQ (reason ({ "service", "", "", "", 0, 0, "" }), NoRunnerReason::kUnknown);
}

TEST_F (InstanceDirectoryTest, OnlyHoldersOfModelAndAdapterAreChosen)
{
    put ({ rowOf ("i-1") });
    EXPECT_EQ (reason ({ "service", "m", "a1", "", 0, 0, "" }), NoRunnerReason::kNone);
    EXPECT_EQ (reason ({ "service", "m", "a2", "", 0, 0, "" }), NoRunnerReason::kNotLoaded);
    EXPECT_EQ (reason ({ "service", "x", "", "", 0, 0, "" }), NoRunnerReason::kNotLoaded);
    EXPECT_EQ (reason ({ "other", "", "", "", 0, 0, "" }), NoRunnerReason::kUnknown);
}

TEST_F (InstanceDirectoryTest, UnreachableHolderIsNotReportedAsMissingModel)
{
    put ({ rowOf ("i-1") });
    m_directory.onAttemptBegin ("i-1", 0, kStart);
    m_directory.onAttemptEnd ("i-1", AttemptEnd::kUnreachable, kStart);
    EXPECT_EQ (reason ({ "service", "m", "a1", "", 0, 0, "" }), NoRunnerReason::kUnreachable);
    EXPECT_EQ (reason ({ "service", "x", "", "", 0, 0, "" }), NoRunnerReason::kNotLoaded);
    InstanceQuery suspect;
    suspect.service = "service";
    suspect.isolationKey = "digest";
    EXPECT_EQ (reason (suspect), NoRunnerReason::kUnreachable);
}

TEST_F (InstanceDirectoryTest, SkipsRunnerThatDoesNotHoldModelForAWhile)
{
    put ({ rowOf ("i-1") });
    m_directory.onNotHeld ("i-1", "m", "", kStart);
    EXPECT_EQ (choose ("m"), "");
    EXPECT_EQ (choose ("m", kStart + base::seconds (2)), "i-1");
}

TEST_F (InstanceDirectoryTest, OtherRowChangesDoNotRestoreModelNotHeld)
{
    put ({ rowOf ("i-1") });
    m_directory.onNotHeld ("i-1", "m", "", kStart);
    cell::RoutableInstance row = rowOf ("i-1");
    row.instance.models.push_back ({ "another", 1, {} });
    put ({ row });
    EXPECT_EQ (choose ("m"), "");
    EXPECT_EQ (choose ("another"), "i-1");
    row.instance.models = { { "another", 1, {} } };
    put ({ row });
    put ({ rowOf ("i-1") });  // The model was missing and has been reported again.
    EXPECT_EQ (choose ("m"), "i-1");
}

TEST_F (InstanceDirectoryTest, SkipsUnreachableRunnerAndReportsItOnce)
{
    put ({ rowOf ("i-1") });
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        m_directory.onAttemptBegin ("i-1", 0, kStart);
        m_directory.onAttemptEnd ("i-1", AttemptEnd::kUnreachable, kStart);
    }
    EXPECT_EQ (choose(), "");
    EXPECT_EQ (m_directory.takeUnreachable(), std::vector<std::string>{ "i-1" });
    EXPECT_TRUE (m_directory.takeUnreachable().empty());
    EXPECT_EQ (choose ("", kStart + base::seconds (1)), "i-1");
}

TEST_F (InstanceDirectoryTest, ARunnerThatFailsIsAvoidedWhileThereIsAnother)
{
    put ({ rowOf ("i-1"), rowOf ("i-2", "z2") });
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        m_directory.onAttemptBegin ("i-1", 0, kStart);
        m_directory.onAttemptEnd ("i-1", AttemptEnd::kFailed, kStart);
    }
    EXPECT_EQ (choose(), "i-2");
}

TEST_F (InstanceDirectoryTest, FailureMarksLapseWithoutAttempts)
{
    // The failures leave i-1 dearer than i-2 in another zone, so that it gets no attempt.
    put ({ rowOf ("i-1"), rowOf ("i-2", "z2") });
    for (int failure = 0; failure < 5; ++failure)
    {
        m_directory.onAttemptBegin ("i-1", 0, kStart);
        m_directory.onAttemptEnd ("i-1", AttemptEnd::kFailed, kStart);
    }
    EXPECT_EQ (choose(), "i-2");
    EXPECT_EQ (choose ("", kStart + base::seconds (30)), "i-1");
}

TEST_F (InstanceDirectoryTest, FailuresFarApartDoNotAddUp)
{
    put ({ rowOf ("i-1"), rowOf ("i-2", "z2") });
    for (int failure = 0; failure < 5; ++failure)
    {
        const base::TimePoint now = kStart + failure * base::seconds (30);
        m_directory.onAttemptBegin ("i-1", 0, now);
        m_directory.onAttemptEnd ("i-1", AttemptEnd::kUnreachable, now);
        EXPECT_EQ (choose ("", now + base::seconds (25)), "i-1");
    }
    EXPECT_TRUE (m_directory.takeUnreachable().empty());
}

TEST_F (InstanceDirectoryTest, AQuietRunnerIsAvoidedWhileItHasRequests)
{
    put ({ rowOf ("i-1"), rowOf ("i-2", "z2") });
    m_directory.onAttemptBegin ("i-1", 0, kStart);
    const base::TimePoint later = kStart + base::seconds (1);
    EXPECT_EQ (choose ("", later), "i-2");
    m_directory.onBytes ("i-1", later);
    EXPECT_EQ (choose ("", later), "i-1");
}

TEST_F (InstanceDirectoryTest, RequestsWithSharedPrefixUseOneRunnerUntilBusy)
{
    put ({ rowOf ("i-1"), rowOf ("i-2"), rowOf ("i-3"), rowOf ("i-4") });
    InstanceQuery query{ "service", "m", "", "m,part", 6000, 9000, "" };
    const std::string affinityRunner = m_directory.choose (query, kStart).id;
    m_directory.onAttemptBegin (affinityRunner, 0, kStart);
    EXPECT_EQ (m_directory.choose (query, kStart).id, affinityRunner);
    for (int request = 0; request < 10; ++request)
        m_directory.onAttemptBegin (affinityRunner, 9000, kStart);
    EXPECT_NE (m_directory.choose (query, kStart).id, affinityRunner);
}

TEST_F (InstanceDirectoryTest, KeepsHeldModelsWhenNewLeaderHasNoReportYet)
{
    put ({ rowOf ("i-1") });
    cell::RoutableInstance unknown = rowOf ("i-1");
    unknown.instance.isReported = false;
    unknown.instance.models.clear();
    put ({ unknown });
    EXPECT_EQ (choose ("m"), "i-1");
}

TEST_F (InstanceDirectoryTest, ResetsStateForNewIncarnation)
{
    cell::RoutableInstance row = rowOf ("i-1");
    row.instance.startedAt = 1000;
    put ({ row });
    m_directory.onAttemptBegin ("i-1", 1000, kStart);
    m_directory.onLoad ("i-1", { 60, 30 }, kStart);
    m_directory.onNotHeld ("i-1", "m", "", kStart);
    m_directory.onAttemptEnd ("i-1", AttemptEnd::kUnreachable, kStart);
    EXPECT_EQ (choose ("m"), "");
    put ({ row });
    EXPECT_EQ (choose ("m"), "") << "the same incarnation";
    EXPECT_TRUE (m_directory.takeReplaced().empty());
    row.instance.startedAt = 2000;
    put ({ row });
    EXPECT_EQ (choose ("m"), "i-1");
    EXPECT_EQ (m_directory.startOf ("i-1"), 2000);
    EXPECT_EQ (m_directory.takeReplaced(), std::vector<std::string>{ "i-1@1000" });
}

TEST_F (InstanceDirectoryTest, CrashedIncarnationDoesNotExcludeNextOne)
{
    cell::RoutableInstance row = rowOf ("i-1");
    row.instance.startedAt = 1000;
    put ({ row });
    InstanceQuery query;
    query.service = "service";
    query.isolationKey = "digest";
    query.crashedInstances = { "i-1@1000" };
    EXPECT_EQ (m_directory.choose (query, kStart).id, "");
    row.instance.startedAt = 2000;
    put ({ row });
    EXPECT_EQ (m_directory.choose (query, kStart).id, "i-1");
}

}  // namespace
}  // namespace fernlift::proxy
