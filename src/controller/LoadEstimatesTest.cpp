#include <gtest/gtest.h>

#include "controller/LoadEstimates.h"
#include "controller/RoutableTable.h"
#include "controller/RouterSessions.h"

namespace fernlift::controller
{
namespace
{

constexpr engine::Megabytes kModelMemory = 1000;
constexpr base::UnixMilliseconds kStart = 1'000'000;
constexpr base::TimePoint kNow{ base::seconds (500) };

config::Catalogue catalogueOf (const std::vector<std::string>& models)
{
    config::Catalogue catalogue;
    for (const std::string& name : models)
    {
        config::Model model;
        model.name = base::ModelName{ name };
        model.version = "1";
        model.memory = kModelMemory;
        model.maxReplicas = 2;
        catalogue.models.push_back (model);
    }
    return catalogue;
}

class LoadEstimatesTest : public ::testing::Test
{
protected:
    void addRunner (engine::Megabytes memory, const std::string& zone = "a")
    {
        cell::ObserveRunner command;
        command.machine.runner = base::RunnerId{ "runner" };
        command.machine.zone = base::ZoneName{ zone };
        command.machine.role = engine::MachineRole::kModelRunner;
        command.machine.memory = memory;
        command.incarnation = 1;
        m_table.observe (command, nullptr);
    }

    base::ReplicaId load (const std::string& model, base::UnixMilliseconds decidedAt)
    {
        cell::DecideLoad command;
        command.runner = base::RunnerId{ "runner" };
        command.incarnation = 1;
        command.model = base::ModelName{ model };
        command.proposedAt = decidedAt;
        EXPECT_EQ (m_table.load (++m_index, command, &m_catalogue), cell::LoadRefusal::kNone);
        return m_index;
    }

    ReadyEstimates estimatesAt (base::UnixMilliseconds cellTime)
    {
        return estimateTargets (m_table, m_catalogue, cellTime, kNow);
    }

    config::Catalogue m_catalogue = catalogueOf ({ "first", "second" });
    cell::ReplicaTable m_table;
    base::LogIndex m_index = 0;
};

TEST_F (LoadEstimatesTest, NoEstimateBeforeTheFirstCompletedLoad)
{
    addRunner (4 * kModelMemory);
    load ("first", kStart);
    EXPECT_TRUE (estimatesAt (kStart).empty());
}

TEST_F (LoadEstimatesTest, CountsDownFromTheDurationOfEarlierLoads)
{
    addRunner (4 * kModelMemory);
    m_table.ready (load ("first", kStart), kStart + 8000);
    load ("second", kStart + 10'000);
    const ReadyEstimates estimates = estimatesAt (kStart + 13'000);
    ASSERT_EQ (estimates.size(), 1U);
    EXPECT_TRUE (estimates.at ("second").canBeServed);
    EXPECT_EQ (estimates.at ("second").readyAt, kNow + base::seconds (5));
}

TEST_F (LoadEstimatesTest, GrowsWithAnOverrun)
{
    addRunner (4 * kModelMemory);
    m_table.ready (load ("first", kStart), kStart + 8000);
    load ("second", kStart + 10'000);
    EXPECT_EQ (estimatesAt (kStart + 30'000).at ("second").readyAt, kNow + base::seconds (10));
}

TEST_F (LoadEstimatesTest, ReadyTargetHasNoEstimate)
{
    addRunner (4 * kModelMemory);
    m_table.ready (load ("first", kStart), kStart + 8000);
    EXPECT_TRUE (estimatesAt (kStart + 9000).empty());
}

TEST_F (LoadEstimatesTest, ModelThatFitsNoRunnerCannotBeServed)
{
    addRunner (kModelMemory - 1);
    const ReadyEstimates estimates = estimatesAt (kStart);
    ASSERT_EQ (estimates.size(), 2U);
    EXPECT_FALSE (estimates.at ("first").canBeServed);
}

TEST_F (LoadEstimatesTest, NothingIsUnservableWhileNoRunnerIsKnown)
{
    EXPECT_TRUE (estimatesAt (kStart).empty());
}

TEST_F (LoadEstimatesTest, CountdownAloneIsNotSentAgain)
{
    const ReadyEstimates sent{ { "first", { true, kNow + base::seconds (8) } } };
    ReadyEstimates fresh{ { "first",
                            { true, kNow + base::seconds (8) + base::milliseconds (200) } } };
    EXPECT_EQ (keepSentEstimates (sent, fresh, kNow), sent);
    fresh.at ("first").readyAt = kNow + base::seconds (20);
    EXPECT_EQ (keepSentEstimates (sent, fresh, kNow), fresh);
}

TEST_F (LoadEstimatesTest, RouterIsSentEachEstimateOnceAndItsWithdrawal)
{
    RouterSession session;
    const ReadyEstimates estimates{ { "first", { true, kNow + base::seconds (8) } } };
    const auto update = updateTable (session, {}, estimates, kNow);
    ASSERT_TRUE (update.has_value());
    ASSERT_EQ (update->estimates.size(), 1U);
    EXPECT_EQ (update->estimates.front().readyInMilliseconds, 8000);
    EXPECT_FALSE (updateTable (session, {}, estimates, kNow + base::seconds (1)).has_value());
    const auto withdrawal = updateTable (session, {}, {}, kNow + base::seconds (2));
    ASSERT_TRUE (withdrawal.has_value());
    ASSERT_EQ (withdrawal->estimates.size(), 1U);
    EXPECT_EQ (withdrawal->estimates.front().readyInMilliseconds, 0);
}

TEST_F (LoadEstimatesTest, RoutersOfASharedTableAreSentEachEstimateOnceAndItsWithdrawal)
{
    RoutableTable table;
    const ReadyEstimates estimates{ { "first", { true, kNow + base::seconds (8) } } };
    ASSERT_TRUE (table.replace ({}, estimates, kNow));
    const auto updates = table.updatesSince (0, kNow);
    ASSERT_EQ (updates.size(), 1U);
    ASSERT_EQ (updates.front().estimates.size(), 1U);
    EXPECT_EQ (updates.front().estimates.front().readyInMilliseconds, 8000);
    EXPECT_FALSE (table.replace ({}, estimates, kNow + base::seconds (1)));
    EXPECT_TRUE (table.updatesSince (1, kNow + base::seconds (1)).empty());
    ASSERT_TRUE (table.replace ({}, {}, kNow + base::seconds (2)));
    const auto withdrawal = table.updatesSince (1, kNow + base::seconds (2));
    ASSERT_EQ (withdrawal.size(), 1U);
    ASSERT_EQ (withdrawal.front().estimates.size(), 1U);
    EXPECT_EQ (withdrawal.front().estimates.front().readyInMilliseconds, 0);
}

}  // namespace
}  // namespace fernlift::controller
