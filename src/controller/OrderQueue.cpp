#include "controller/OrderQueue.h"

#include <algorithm>
#include <limits>

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kRetryDelay = base::milliseconds (200);

}  // namespace

std::optional<engine::Order> orderFor (const cell::Replica& replica)
{
    using engine::OrderKind;
    if (replica.stage == cell::ReplicaStage::kReady)
        return std::nullopt;
    const bool isLoad = replica.stage == cell::ReplicaStage::kLoading;
    engine::Order order;
    if (replica.isAdapter())
    {
        order.kind = isLoad ? OrderKind::kLoadAdapter : OrderKind::kUnloadAdapter;
    }
    else
    {
        order.kind = isLoad ? OrderKind::kLoadModel : OrderKind::kUnloadModel;
    }
    order.fence = replica.fence;
    order.incarnation = replica.incarnation;
    order.replica = replica.id;
    order.baseReplica = replica.baseReplica;
    order.model = replica.model;
    order.version = replica.version;
    order.adapter = replica.adapter;
    order.memory = replica.memory;
    return order;
}

void OrderQueue::addOrphan (const base::RunnerId& runner, const engine::Order& order)
{
    m_queues[runner].orphans[order.fence] = order;
}

bool OrderQueue::hasOrphan (const base::RunnerId& runner, base::ReplicaId replica) const
{
    const auto found = m_queues.find (runner);
    if (found == m_queues.end())
        return false;
    const auto& orphans = found->second.orphans;
    return std::any_of (orphans.begin(), orphans.end(),
                        [&] (const auto& entry) { return entry.second.replica == replica; });
}

std::optional<engine::Order> OrderQueue::next (const base::RunnerId& runner,
                                               const cell::ReplicaTable& table, base::TimePoint now)
{
    Queue& queue = m_queues[runner];
    pruneAnswered (queue, runner, table);
    pruneOrphans (queue, runner, table);
    std::optional<engine::Order> order = firstUnanswered (queue, runner, table);
    if (! order)
    {
        if (queue.answered.empty())
            m_queues.erase (runner);
        return std::nullopt;
    }
    if (queue.sentFence == order->fence && now < queue.resendAt)
        return std::nullopt;
    queue.sentFence = order->fence;
    queue.resendAt = now + m_orderTimeout;
    if (m_fault == cell::PlantedFault::kOrderWithoutFence)
    {
        order->fence = static_cast<base::Fence> (std::numeric_limits<std::int64_t>::max());
    }
    return order;
}

std::optional<engine::Order> OrderQueue::firstUnanswered (const Queue& queue,
                                                          const base::RunnerId& runner,
                                                          const cell::ReplicaTable& table) const
{
    std::optional<engine::Order> first;
    for (const base::ReplicaId id : table.replicasOn (runner))
    {
        std::optional<engine::Order> order = orderFor (*table.findReplica (id));
        if (! order || queue.answered.count (order->fence) != 0)
            continue;
        if (! first || order->fence < first->fence)
            first = std::move (order);
    }
    if (! queue.orphans.empty() && (! first || queue.orphans.begin()->first < first->fence))
    {
        first = queue.orphans.begin()->second;
    }
    return first;
}

void OrderQueue::pruneAnswered (Queue& queue, const base::RunnerId& runner,
                                const cell::ReplicaTable& table)
{
    std::set<base::Fence> current;
    for (const base::ReplicaId id : table.replicasOn (runner))
    {
        const base::Fence fence = table.findReplica (id)->fence;
        if (queue.answered.count (fence) != 0)
            current.insert (fence);
    }
    queue.answered = std::move (current);
}

void OrderQueue::pruneOrphans (Queue& queue, const base::RunnerId& runner,
                               const cell::ReplicaTable& table)
{
    const cell::Runner* known = table.findRunner (runner);
    std::erase_if (queue.orphans, [&] (const auto& entry)
                   { return known == nullptr || entry.second.incarnation != known->incarnation; });
}

void OrderQueue::onAnswered (const base::RunnerId& runner, base::Fence fence)
{
    const auto found = m_queues.find (runner);
    if (found == m_queues.end())
        return;
    Queue& queue = found->second;
    if (m_fault == cell::PlantedFault::kOrderWithoutFence)
        fence = queue.sentFence;
    queue.answered.insert (fence);
    queue.orphans.erase (fence);
    if (queue.sentFence == fence)
        queue.sentFence = 0;
}

void OrderQueue::onFailed (const base::RunnerId& runner, base::Fence fence, base::TimePoint now)
{
    const auto found = m_queues.find (runner);
    if (found == m_queues.end())
        return;
    const bool isCurrent =
        found->second.sentFence == fence || m_fault == cell::PlantedFault::kOrderWithoutFence;
    if (isCurrent)
        found->second.resendAt = now + kRetryDelay;
}

std::vector<base::RunnerId> OrderQueue::waitingRunners() const
{
    std::vector<base::RunnerId> runners;
    for (const auto& [runner, queue] : m_queues)
        runners.push_back (runner);
    return runners;
}

}  // namespace fernlift::controller
