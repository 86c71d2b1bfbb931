#include <gtest/gtest.h>

#include "placement/StorePace.h"

namespace fernlift::placement
{
namespace
{

using cell::ReplicaStage;

constexpr engine::Megabytes kMemory = 1000;

class StorePaceTest : public ::testing::Test
{
protected:
    void observe() { pace_.observe (limits_, replicas_, now_); }
    void begin (base::ReplicaId id)
    {
        ReplicaView view;
        view.replica.id = id;
        view.replica.memory = kMemory;
        replicas_.push_back (view);
        observe();
    }
    void end (base::ReplicaId id, ReplicaStage stage = ReplicaStage::kReady)
    {
        for (ReplicaView& view : replicas_)
        {
            if (view.replica.id == id)
                view.replica.stage = stage;
        }
        observe();
    }
    void pass (base::Duration duration) { now_ += duration; }
    /// Loads that take a given time, one after the other.
    void load (int count, base::Duration duration)
    {
        for (int number = 0; number < count; ++number)
        {
            begin (++last_);
            pass (duration);
            end (last_);
        }
    }

    StorePace pace_;
    config::WeightStoreLimits limits_{ 4.0, 8 };
    std::vector<ReplicaView> replicas_;
    base::TimePoint now_{ base::seconds (1) };
    base::ReplicaId last_ = 100;
};

TEST_F (StorePaceTest, StartsFromTheCatalogue)
{
    observe();
    EXPECT_EQ (pace_.concurrency(), 8U);
    EXPECT_EQ (pace_.startsAllowed(), 4U);
}

TEST_F (StorePaceTest, SpacesLoadsByTheRate)
{
    for (base::ReplicaId id = 1; id <= 4; ++id)
        begin (id);
    EXPECT_EQ (pace_.startsAllowed(), 0U);
    pass (base::milliseconds (250));
    observe();
    EXPECT_EQ (pace_.startsAllowed(), 1U);
    pass (base::seconds (100));
    observe();
    EXPECT_EQ (pace_.startsAllowed(), 4U) << "unused starts are not saved up";
}

TEST_F (StorePaceTest, SlowLoadsLowerTheConcurrencyAndUsualOnesRaiseIt)
{
    load (3, base::seconds (1));
    EXPECT_EQ (pace_.concurrency(), 8U);
    load (1, base::seconds (5));
    EXPECT_LT (pace_.concurrency(), 8U);
    const std::uint32_t slowed = pace_.concurrency();
    load (1, base::seconds (1));
    EXPECT_EQ (pace_.concurrency(), slowed + 1);
    load (20, base::seconds (1));
    EXPECT_EQ (pace_.concurrency(), 8U);
}

TEST_F (StorePaceTest, StalledLoadIsNoticedBeforeItEnds)
{
    load (1, base::seconds (1));
    begin (1);
    pass (base::milliseconds (2500));
    observe();
    EXPECT_EQ (pace_.concurrency(), 4U);
    // One load counts once: what began before the decrease tells nothing of what came after.
    pass (base::seconds (60));
    observe();
    EXPECT_EQ (pace_.concurrency(), 4U);
}

TEST_F (StorePaceTest, NeverFallsBelowOneAndRecoversWhenSlowBecomesUsual)
{
    load (1, base::seconds (1));
    load (6, base::seconds (4));
    EXPECT_EQ (pace_.concurrency(), 1U);
    load (30, base::seconds (4));
    EXPECT_EQ (pace_.concurrency(), 8U);
}

TEST_F (StorePaceTest, AbandonedLoadIsNoSample)
{
    load (1, base::seconds (1));
    begin (1);
    pass (base::milliseconds (1500));
    end (1, ReplicaStage::kUnloading);
    pass (base::seconds (60));
    observe();
    EXPECT_EQ (pace_.concurrency(), 8U);
}

TEST_F (StorePaceTest, LoadsFromTheRunnersDiskDoNotCount)
{
    observe();
    ReplicaView local;
    local.replica.id = 1;
    local.usesStore = false;
    replicas_.push_back (local);
    observe();
    EXPECT_EQ (pace_.startsAllowed(), 4U);
}

}  // namespace
}  // namespace fernlift::placement
