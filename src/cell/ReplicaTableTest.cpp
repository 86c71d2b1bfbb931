#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell/CellTestSupport.h"
#include "cell/ReplicaTable.h"

namespace fernlift::cell
{
namespace
{

using test::kRunnerMemory;
using test::kStart;

/// Version 6 selects the unmodified test catalogue.
constexpr std::uint64_t kPlainVersion = 6;
constexpr std::size_t kSequences = 1000;
constexpr std::size_t kCommands = 400;

class ReplicaTableTest : public ::testing::Test
{
protected:
    ReplicaTableTest() : m_state (&test::parseTestCatalogue)
    {
        apply (test::configurationOf (kPlainVersion, "file", kStart));
        for (const char* runner : { "r0", "r1", "r2" })
            apply (test::observationOf (runner, 1, kStart));
    }

    ApplyResult apply (const Command& command) { return m_state.apply (++m_index, command); }
    LoadRefusal load (const std::string& runner, const std::string& model,
                      const std::string& adapter = "", base::ReplicaId baseReplica = 0,
                      base::Incarnation incarnation = 1)
    {
        const DecideLoad command{ base::RunnerId (runner),
                                  incarnation,
                                  base::ModelName (model),
                                  base::AdapterName (adapter),
                                  baseReplica,
                                  "test",
                                  kStart };
        return std::get<LoadResult> (apply (command)).refusal;
    }
    UnloadRefusal unload (base::ReplicaId replica)
    {
        return std::get<UnloadResult> (apply (DecideUnload{ replica, "test", kStart })).refusal;
    }
    void ready (base::ReplicaId replica) { apply (ReplicaReady{ replica, kStart }); }
    void release (base::ReplicaId replica) { apply (ReplicaReleased{ replica, "test", kStart }); }
    [[nodiscard]] engine::Megabytes reserved (const std::string& runner) const
    {
        return m_state.replicas().reservedMemory (base::RunnerId (runner));
    }

    CellState m_state;
    base::LogIndex m_index = 0;
};

RC_GTEST_PROP (ReplicaTablePropertyTest, NoOrderOfCommandsBreaksBoundMemoryOrFences, ())
{
    const auto words = *rc::gen::resize (static_cast<int> (kCommands),
                                         rc::gen::container<std::vector<std::uint32_t>> (
                                             rc::gen::inRange<std::uint32_t> (0, 1U << 31)));
    CellState state (&test::parseTestCatalogue);
    RC_ASSERT (test::runCommands (state, words) == "");
}

/// Returns the first violation in many random command sequences, or an empty string.
std::string violationWith (PlantedFault fault)
{
    base::Random random (20261202);
    for (std::size_t number = 0; number < kSequences; ++number)
    {
        CellState state (&test::parseTestCatalogue, fault);
        std::string violation = test::runCommands (state, test::randomWords (random, kCommands));
        if (! violation.empty())
            return violation;
    }
    return "";
}

TEST (ReplicaTableSequencesTest, HoldsWithoutPlantedFault)
{
    EXPECT_EQ (violationWith (PlantedFault::kNone), "");
}

TEST (ReplicaTableSequencesTest, CatchesMemoryCountedOnlyWhenReady)
{
    EXPECT_NE (violationWith (PlantedFault::kMemoryCountedWhenReady), "");
}

TEST_F (ReplicaTableTest, LoadingAndUnloadingReplicasCountFully)
{
    EXPECT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId first = m_index;
    EXPECT_EQ (reserved ("r1"), 400U);
    EXPECT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    EXPECT_EQ (load ("r1", "b"), LoadRefusal::kMemory);
    ready (first);
    EXPECT_EQ (unload (first), UnloadRefusal::kNone);
    EXPECT_EQ (reserved ("r1"), 800U);
    EXPECT_EQ (load ("r1", "b"), LoadRefusal::kMemory);
    EXPECT_EQ (load ("r2", "a"), LoadRefusal::kReplicaBound);
    release (first);
    EXPECT_EQ (reserved ("r1"), 400U);
    EXPECT_EQ (load ("r1", "b"), LoadRefusal::kNone);
}

TEST_F (ReplicaTableTest, OnlyDecidedUnloadCanBeReleased)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId replica = m_index;
    release (replica);
    EXPECT_NE (m_state.replicas().findReplica (replica), nullptr);
    ready (replica);
    release (replica);
    EXPECT_NE (m_state.replicas().findReplica (replica), nullptr);
}

TEST_F (ReplicaTableTest, AdapterNeedsReadyBaseOnItsRunner)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId base = m_index;
    EXPECT_EQ (load ("r1", "a", "x", base), LoadRefusal::kBaseNotReady);
    ready (base);
    EXPECT_EQ (load ("r2", "a", "x", base), LoadRefusal::kBaseNotReady);
    EXPECT_EQ (load ("r1", "a", "y", base), LoadRefusal::kUnknownTarget);
    EXPECT_EQ (load ("r1", "a", "x", base), LoadRefusal::kNone);
    const base::ReplicaId adapter = m_index;
    EXPECT_EQ (reserved ("r1"), 500U);
    EXPECT_EQ (unload (base), UnloadRefusal::kHasAdapters);
    unload (adapter);
    EXPECT_EQ (unload (base), UnloadRefusal::kHasAdapters);
    release (adapter);
    EXPECT_EQ (unload (base), UnloadRefusal::kNone);
    EXPECT_EQ (load ("r1", "a", "x", base), LoadRefusal::kBaseNotReady);
}

TEST_F (ReplicaTableTest, RestartedRunnerHoldsNothing)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId lost = m_index;
    apply (test::observationOf ("r1", 2, kStart));
    EXPECT_EQ (m_state.replicas().findReplica (lost), nullptr);
    EXPECT_EQ (reserved ("r1"), 0U);
    EXPECT_EQ (load ("r1", "a"), LoadRefusal::kWrongIncarnation);
    // A delayed observation of the former incarnation changes nothing.
    ASSERT_EQ (load ("r1", "a", "", 0, 2), LoadRefusal::kNone);
    const base::ReplicaId present = m_index;
    EXPECT_FALSE (std::get<ChangeResult> (apply (test::observationOf ("r1", 1, kStart))).changed);
    EXPECT_NE (m_state.replicas().findReplica (present), nullptr);
}

TEST_F (ReplicaTableTest, LeavingOrDrainingRunnerTakesNoLoad)
{
    apply (SetDraining{ base::RunnerId ("r1"), true, kStart });
    EXPECT_EQ (load ("r1", "a"), LoadRefusal::kRunnerNotAvailable);
    apply (test::observationOf ("r1", 2, kStart));
    EXPECT_EQ (load ("r1", "a", "", 0, 2), LoadRefusal::kRunnerNotAvailable);
    apply (SetDraining{ base::RunnerId ("r1"), false, kStart });
    EXPECT_EQ (load ("r1", "a", "", 0, 2), LoadRefusal::kNone);
    ObserveRunner leaving = test::observationOf ("r2", 1, kStart);
    leaving.isLeaving = true;
    apply (leaving);
    apply (test::observationOf ("r2", 1, kStart));
    EXPECT_EQ (load ("r2", "a"), LoadRefusal::kRunnerNotAvailable);
}

TEST_F (ReplicaTableTest, LoweredBoundStillCountsWhatIsLoaded)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId first = m_index;
    ASSERT_EQ (load ("r2", "a"), LoadRefusal::kNone);
    apply (test::configurationOf (kPlainVersion + 1, "file", kStart));
    EXPECT_EQ (m_state.replicas().count ("a"), 2U);
    unload (first);
    release (first);
    EXPECT_EQ (load ("r0", "a"), LoadRefusal::kReplicaBound);
}

TEST_F (ReplicaTableTest, AdapterMovedToAnotherBaseCountsOnBoth)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    const base::ReplicaId base = m_index;
    ready (base);
    ASSERT_EQ (load ("r1", "a", "x", base), LoadRefusal::kNone);
    apply (test::configurationOf (kPlainVersion + 3, "file", kStart));
    ASSERT_EQ (load ("r2", "b"), LoadRefusal::kNone);
    const base::ReplicaId otherBase = m_index;
    ready (otherBase);
    EXPECT_EQ (load ("r2", "b", "x", otherBase), LoadRefusal::kReplicaBound);
}

TEST_F (ReplicaTableTest, ShrunkRunnerTakesNothingUntilItFits)
{
    ASSERT_EQ (load ("r1", "a"), LoadRefusal::kNone);
    ObserveRunner shrunk = test::observationOf ("r1", 1, kStart);
    shrunk.machine.memory = kRunnerMemory / 4;
    apply (shrunk);
    EXPECT_EQ (load ("r1", "b"), LoadRefusal::kMemory);
    EXPECT_EQ (reserved ("r1"), 400U);
}

}  // namespace
}  // namespace fernlift::cell
