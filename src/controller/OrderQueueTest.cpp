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
    OrderQueueTest() : m_state (&parse)
    {
        apply (cell::ApplyConfiguration{ 1, base::sha256Hex ("text"), "text", 0 });
        observe (1);
    }
    void apply (const cell::Command& command) { m_state.apply (++m_index, command); }
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
        return m_index;
    }
    std::optional<engine::Order> next()
    {
        return m_orders.next (kRunner, m_state.replicas(), m_now);
    }

    cell::CellState m_state;
    base::LogIndex m_index = 0;
    base::TimePoint m_now{ base::seconds (1) };
    OrderQueue m_orders{ kTimeout, cell::PlantedFault::kNone };
};

TEST_F (OrderQueueTest, SendsTheSameOrderAgainUntilItIsAnswered)
{
    const base::ReplicaId replica = load ("a");
    const auto first = next();
    ASSERT_TRUE (first);
    EXPECT_EQ (first->fence, replica);
    EXPECT_EQ (first->incarnation, 1U);
    EXPECT_FALSE (next());
    m_now += kTimeout;
    EXPECT_EQ (next(), first);
    m_orders.onAnswered (kRunner, first->fence);
    m_now += kTimeout;
    EXPECT_FALSE (next());
}

TEST_F (OrderQueueTest, SendsOneAtATimeInFenceOrder)
{
    const base::ReplicaId first = load ("a");
    const base::ReplicaId second = load ("b");
    EXPECT_EQ (next()->fence, first);
    EXPECT_FALSE (next());
    m_orders.onAnswered (kRunner, first);
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
    EXPECT_EQ (order->fence, m_index);
    EXPECT_EQ (order->replica, replica);
}

TEST_F (OrderQueueTest, NewLeaderSendsTheSameOrder)
{
    load ("a");
    const auto sent = next();
    OrderQueue ofNewLeader (kTimeout, cell::PlantedFault::kNone);
    EXPECT_EQ (ofNewLeader.next (kRunner, m_state.replicas(), m_now), sent);
}

TEST_F (OrderQueueTest, OrphanOfAnEarlierIncarnationDoesNotBlockOrders)
{
    engine::Order orphan;
    orphan.kind = engine::OrderKind::kUnloadModel;
    orphan.fence = ++m_index;
    orphan.incarnation = 1;
    orphan.replica = 99;
    m_orders.addOrphan (kRunner, orphan);
    EXPECT_EQ (next(), orphan);
    observe (2);
    m_orders.onFailed (kRunner, orphan.fence, m_now);
    m_now += kTimeout;
    const base::ReplicaId replica = load ("a", 2);
    const auto order = next();
    ASSERT_TRUE (order);
    EXPECT_EQ (order->replica, replica);
    EXPECT_FALSE (m_orders.hasOrphan (kRunner, orphan.replica));
}

}  // namespace
}  // namespace fernlift::controller
