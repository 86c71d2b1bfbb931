#include <gtest/gtest.h>

#include "base/Digest.h"
#include "cell/CellState.h"
#include "controller/OrderQueue.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kTimeout = base::seconds (2);
const base::RunnerId kRunner ("r");

config::CatalogueOutcome parse (std::string_view /*text*/)
{
    config::Catalogue catalogue;
    catalogue.version = 1;
    config::Model model;
    model.memory = 100;
    model.version = "1";
    for (const char* name : { "a", "b" })
    {
        model.name = base::ModelName (name);
        catalogue.models.push_back (model);
    }
    return { catalogue, {} };
}

class OrderQueueTest : public ::testing::Test
{
protected:
    OrderQueueTest() : state_ (&parse)
    {
        apply (cell::ApplyConfiguration{ 1, base::sha256Hex ("text"), "text", 0 });
        observe (1);
    }
    void apply (const cell::Command& command) { state_.apply (++index_, command); }
    void observe (base::Incarnation incarnation)
    {
        cell::ObserveRunner command;
        command.machine.runner = kRunner;
        command.machine.memory = 1000;
        command.incarnation = incarnation;
        apply (command);
    }
    base::ReplicaId load (const std::string& model, base::Incarnation incarnation = 1)
    {
        apply (cell::DecideLoad{ kRunner, incarnation, base::ModelName (model), {}, 0, "", 0 });
        return index_;
    }
    std::optional<engine::Order> next() { return orders_.next (kRunner, state_.replicas(), now_); }

    cell::CellState state_;
    base::LogIndex index_ = 0;
    base::TimePoint now_{ base::seconds (1) };
    OrderQueue orders_{ kTimeout, cell::PlantedFault::kNone };
};

TEST_F (OrderQueueTest, SendsTheSameOrderAgainUntilItIsAnswered)
{
    const base::ReplicaId replica = load ("a");
    const auto first = next();
    ASSERT_TRUE (first);
    EXPECT_EQ (first->fence, replica);
    EXPECT_EQ (first->incarnation, 1U);
    EXPECT_FALSE (next());
    now_ += kTimeout;
    EXPECT_EQ (next(), first);
    orders_.onAnswered (kRunner, first->fence);
    now_ += kTimeout;
    EXPECT_FALSE (next());
}

TEST_F (OrderQueueTest, SendsOneAtATimeInFenceOrder)
{
    const base::ReplicaId first = load ("a");
    const base::ReplicaId second = load ("b");
    EXPECT_EQ (next()->fence, first);
    EXPECT_FALSE (next());
    orders_.onAnswered (kRunner, first);
    EXPECT_EQ (next()->fence, second);
}

TEST_F (OrderQueueTest, UnloadReplacesAnUnansweredLoad)
{
    const base::ReplicaId replica = load ("a");
    ASSERT_TRUE (next());
    apply (cell::DecideUnload{ replica, "", 0 });
    const auto order = next();
    ASSERT_TRUE (order);
    EXPECT_EQ (order->kind, engine::OrderKind::kUnloadModel);
    EXPECT_EQ (order->fence, index_);
    EXPECT_EQ (order->replica, replica);
}

TEST_F (OrderQueueTest, NewLeaderSendsWhatTheLastOneDid)
{
    load ("a");
    const auto sent = next();
    OrderQueue ofNewLeader (kTimeout, cell::PlantedFault::kNone);
    EXPECT_EQ (ofNewLeader.next (kRunner, state_.replicas(), now_), sent);
}

TEST_F (OrderQueueTest, StrayOfFormerIncarnationHoldsNothingUp)
{
    engine::Order stray;
    stray.kind = engine::OrderKind::kUnloadModel;
    stray.fence = ++index_;
    stray.incarnation = 1;
    stray.replica = 99;
    orders_.addStray (kRunner, stray);
    EXPECT_EQ (next(), stray);
    observe (2);
    orders_.onFailed (kRunner, stray.fence, now_);
    now_ += kTimeout;
    const base::ReplicaId replica = load ("a", 2);
    const auto order = next();
    ASSERT_TRUE (order);
    EXPECT_EQ (order->replica, replica);
    EXPECT_FALSE (orders_.hasStray (kRunner, stray.replica));
}

}  // namespace
}  // namespace fernlift::controller
