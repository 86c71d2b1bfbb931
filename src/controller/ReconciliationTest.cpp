#include <gtest/gtest.h>

#include "base/Digest.h"
#include "cell/CellState.h"
#include "controller/Reconciliation.h"

namespace fernlift::controller
{
namespace
{

using engine::ReplicaPhase;
using Ids = std::vector<base::ReplicaId>;

const base::RunnerId kRunner ("r");
constexpr base::Incarnation kIncarnation = 5;

config::CatalogueOutcome parse (std::string_view /*text*/)
{
    config::Catalogue catalogue;
    catalogue.version = 1;
    config::Model model;
    model.name = base::ModelName ("a");
    model.memory = 100;
    model.maxReplicas = 3;
    catalogue.models.push_back (model);
    return { catalogue, {} };
}

class ReconciliationTest : public ::testing::Test
{
protected:
    ReconciliationTest() : m_state (&parse)
    {
        apply (cell::ApplyConfiguration{ 1, base::sha256Hex ("text"), "text", 0 });
        cell::ObserveRunner observe;
        observe.machine.runner = kRunner;
        observe.machine.memory = 1000;
        observe.incarnation = kIncarnation;
        apply (observe);
        apply (cell::DecideLoad{ kRunner, kIncarnation, base::ModelName ("a"), {}, 0, "", 0 });
        m_replica = m_index;
        m_report.runner = kRunner;
        m_report.incarnation = kIncarnation;
    }
    void apply (const cell::Command& command) { m_state.apply (++m_index, command); }
    void hold (base::ReplicaId replica, ReplicaPhase phase)
    {
        engine::ReplicaReport held;
        held.replica = replica;
        held.phase = phase;
        m_report.replicas.push_back (held);
    }
    ReportFindings examine() { return examineReport (kRunner, m_report, m_state.replicas()); }

    cell::CellState m_state;
    base::LogIndex m_index = 0;
    base::ReplicaId m_replica = 0;
    engine::Report m_report;
};

TEST_F (ReconciliationTest, UndecidedReplicaIsOrphaned)
{
    hold (m_replica, ReplicaPhase::kLoading);
    hold (77, ReplicaPhase::kReady);
    const ReportFindings findings = examine();
    ASSERT_EQ (findings.orphans.size(), 1U);
    EXPECT_EQ (findings.orphans[0].report.replica, 77U);
    EXPECT_EQ (findings.orphans[0].incarnation, kIncarnation);
}

TEST_F (ReconciliationTest, UnloadingUndecidedReplicaNeedsNoDecision)
{
    hold (77, ReplicaPhase::kUnloading);
    EXPECT_TRUE (examine().orphans.empty());
}

TEST_F (ReconciliationTest, MissingLoadFailsOnlyOnceFenceIsReached)
{
    m_report.highestFence = m_replica - 1;
    EXPECT_TRUE (examine().failed.empty()) << "the order may still be in flight";
    m_report.highestFence = m_replica;
    EXPECT_EQ (examine().failed, Ids{ m_replica });
}

TEST_F (ReconciliationTest, UnloadCompletesOnlyWithLaterReport)
{
    apply (cell::DecideUnload{ m_replica, "", 0 });
    m_report.highestFence = m_replica;
    EXPECT_TRUE (examine().released.empty()) << "the report is from before the unload";
    m_report.highestFence = m_index;
    EXPECT_EQ (examine().released, Ids{ m_replica });
    hold (m_replica, ReplicaPhase::kUnloading);
    EXPECT_TRUE (examine().released.empty());
}

TEST_F (ReconciliationTest, ReadyAndFailedLoadsAreFound)
{
    hold (m_replica, ReplicaPhase::kReady);
    EXPECT_EQ (examine().ready, Ids{ m_replica });
    m_report.replicas.clear();
    hold (m_replica, ReplicaPhase::kFailed);
    EXPECT_EQ (examine().failed, Ids{ m_replica });
}

TEST_F (ReconciliationTest, IgnoresReportOfAnotherIncarnation)
{
    m_report.incarnation = kIncarnation + 1;
    m_report.highestFence = m_index + 100;
    hold (77, ReplicaPhase::kReady);
    const ReportFindings findings = examine();
    EXPECT_TRUE (findings.orphans.empty());
    EXPECT_TRUE (findings.failed.empty());
}

}  // namespace
}  // namespace fernlift::controller
