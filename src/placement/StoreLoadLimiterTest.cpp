#include <gtest/gtest.h>

#include "placement/StoreLoadLimiter.h"

namespace fernlift::placement
{
namespace
{

using cell::ReplicaStage;

constexpr engine::Megabytes kMemory = 1000;

class StoreLoadLimiterTest : public ::testing::Test
{
protected:
    void observe() { m_limiter.observe (m_limits, m_replicas, m_now); }
    void begin (base::ReplicaId id)
    {
        ReplicaView view;
        view.replica.id = id;
        view.replica.memory = kMemory;
        m_replicas.push_back (view);
        observe();
    }
    void end (base::ReplicaId id, ReplicaStage stage = ReplicaStage::kReady)
    {
        for (ReplicaView& view : m_replicas)
        {
            if (view.replica.id == id)
                view.replica.stage = stage;
        }
        observe();
    }
    void advance (base::Duration duration) { m_now += duration; }
    /// Runs `count` loads of `duration` in sequence.
    void load (int count, base::Duration duration)
    {
        for (int number = 0; number < count; ++number)
        {
            begin (++m_last);
            advance (duration);
            end (m_last);
        }
    }

    StoreLoadLimiter m_limiter;
    config::WeightStoreLimits m_limits{ 4.0, 8 };
    std::vector<ReplicaView> m_replicas;
    base::TimePoint m_now{ base::seconds (1) };
    base::ReplicaId m_last = 100;
};

TEST_F (StoreLoadLimiterTest, StartsFromTheCatalogue)
{
    observe();
    EXPECT_EQ (m_limiter.concurrency(), 8U);
    EXPECT_EQ (m_limiter.startsAllowed(), 4U);
}

TEST_F (StoreLoadLimiterTest, LimitsTheRateOfLoads)
{
    for (base::ReplicaId id = 1; id <= 4; ++id)
        begin (id);
    EXPECT_EQ (m_limiter.startsAllowed(), 0U);
    advance (base::milliseconds (250));
    observe();
    EXPECT_EQ (m_limiter.startsAllowed(), 1U);
    advance (base::seconds (100));
    observe();
    EXPECT_EQ (m_limiter.startsAllowed(), 4U) << "unused starts do not accumulate beyond the burst";
}

TEST_F (StoreLoadLimiterTest, SlowLoadsLowerTheConcurrencyAndNominalOnesRaiseIt)
{
    load (3, base::seconds (1));
    EXPECT_EQ (m_limiter.concurrency(), 8U);
    load (1, base::seconds (5));
    EXPECT_LT (m_limiter.concurrency(), 8U);
    const std::uint32_t slowed = m_limiter.concurrency();
    load (1, base::seconds (1));
    EXPECT_EQ (m_limiter.concurrency(), slowed + 1);
    load (20, base::seconds (1));
    EXPECT_EQ (m_limiter.concurrency(), 8U);
}

TEST_F (StoreLoadLimiterTest, DetectsAStalledLoadBeforeItEnds)
{
    load (1, base::seconds (1));
    begin (1);
    advance (base::milliseconds (2500));
    observe();
    EXPECT_EQ (m_limiter.concurrency(), 4U);
    // A load counts once: loads that began before a decrease do not cause another one.
    advance (base::seconds (60));
    observe();
    EXPECT_EQ (m_limiter.concurrency(), 4U);
}

TEST_F (StoreLoadLimiterTest, StaysAtLeastOneAndRecoversOnAPermanentlySlowStore)
{
    load (1, base::seconds (1));
    load (6, base::seconds (4));
    EXPECT_EQ (m_limiter.concurrency(), 1U);
    load (30, base::seconds (4));
    EXPECT_EQ (m_limiter.concurrency(), 8U);
}

TEST_F (StoreLoadLimiterTest, IgnoresAbandonedLoads)
{
    load (1, base::seconds (1));
    begin (1);
    advance (base::milliseconds (1500));
    end (1, ReplicaStage::kUnloading);
    advance (base::seconds (60));
    observe();
    EXPECT_EQ (m_limiter.concurrency(), 8U);
}

TEST_F (StoreLoadLimiterTest, IgnoresLoadsFromTheRunnersDisk)
{
    observe();
    ReplicaView local;
    local.replica.id = 1;
    local.usesStore = false;
    m_replicas.push_back (local);
    observe();
    EXPECT_EQ (m_limiter.startsAllowed(), 4U);
}

}  // namespace
}  // namespace fernlift::placement
