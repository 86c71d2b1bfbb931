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
    ReconciliationTest() : state_ (&parse)
    {
        apply (cell::ApplyConfiguration{ 1, base::sha256Hex ("text"), "text", 0 });
        cell::ObserveRunner observe;
        observe.machine.runner = kRunner;
        observe.machine.memory = 1000;
        observe.incarnation = kIncarnation;
        apply (observe);
        apply (cell::DecideLoad{ kRunner, kIncarnation, base::ModelName ("a"), {}, 0, "", 0 });
        replica_ = index_;
        report_.runner = kRunner;
        report_.incarnation = kIncarnation;
    }
    void apply (const cell::Command& command) { state_.apply (++index_, command); }
    void hold (base::ReplicaId replica, ReplicaPhase phase)
    {
        engine::ReplicaReport held;
        held.replica = replica;
        held.phase = phase;
        report_.replicas.push_back (held);
    }
    ReportFindings examine() { return examineReport (kRunner, report_, state_.replicas()); }

    cell::CellState state_;
    base::LogIndex index_ = 0;
    base::ReplicaId replica_ = 0;
    engine::Report report_;
};

TEST_F (ReconciliationTest, UndecidedReplicaIsAStray)
{
    hold (replica_, ReplicaPhase::kLoading);
    hold (77, ReplicaPhase::kReady);
    const ReportFindings findings = examine();
    ASSERT_EQ (findings.strays.size(), 1U);
    EXPECT_EQ (findings.strays[0].report.replica, 77U);
    EXPECT_EQ (findings.strays[0].incarnation, kIncarnation);
}

TEST_F (ReconciliationTest, UndecidedReplicaThatIsGoingNeedsNoDecision)
{
    hold (77, ReplicaPhase::kUnloading);
    EXPECT_TRUE (examine().strays.empty());
}

TEST_F (ReconciliationTest, MissingLoadWaitsUntilItsFenceWasPassed)
{
    report_.highestFence = replica_ - 1;
    EXPECT_TRUE (examine().failed.empty()) << "the order may still be on its way";
    report_.highestFence = replica_;
    EXPECT_EQ (examine().failed, Ids{ replica_ });
}

TEST_F (ReconciliationTest, UnloadEndsOnlyWithAReportThatKnowsOfIt)
{
    apply (cell::DecideUnload{ replica_, "", 0 });
    report_.highestFence = replica_;
    EXPECT_TRUE (examine().released.empty()) << "the report is from before the unload";
    report_.highestFence = index_;
    EXPECT_EQ (examine().released, Ids{ replica_ });
    hold (replica_, ReplicaPhase::kUnloading);
    EXPECT_TRUE (examine().released.empty());
}

TEST_F (ReconciliationTest, ReadyAndFailedLoadsAreFound)
{
    hold (replica_, ReplicaPhase::kReady);
    EXPECT_EQ (examine().ready, Ids{ replica_ });
    report_.replicas.clear();
    hold (replica_, ReplicaPhase::kFailed);
    EXPECT_EQ (examine().failed, Ids{ replica_ });
}

TEST_F (ReconciliationTest, ReportOfAnotherIncarnationSaysNothing)
{
    report_.incarnation = kIncarnation + 1;
    report_.highestFence = index_ + 100;
    hold (77, ReplicaPhase::kReady);
    const ReportFindings findings = examine();
    EXPECT_TRUE (findings.strays.empty());
    EXPECT_TRUE (findings.failed.empty());
}

}  // namespace
}  // namespace fernlift::controller
