#pragma once

/// Queues fenced orders to runners: one at a time to each runner, in fence order, sent again until
/// answered. The orders follow from the replicated state, so that a new leader continues where the
/// last one stopped.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/PlantedFault.h"
#include "cell/ReplicaTable.h"
#include "engine/EngineApi.h"

namespace fernlift::controller
{

/// Returns the order that the last decision on a replica requires; none for a ready replica.
[[nodiscard]] std::optional<engine::Order> orderFor (const cell::Replica& replica);

class OrderQueue
{
public:
    OrderQueue (base::Duration orderTimeout, cell::PlantedFault fault)
        : m_orderTimeout (orderTimeout), m_fault (fault)
    {
    }

    /// Adds an order to unload an orphaned replica, one that is not in the replicated state.
    void addOrphan (const base::RunnerId& runner, const engine::Order& order);

    [[nodiscard]] bool hasOrphan (const base::RunnerId& runner, base::ReplicaId replica) const;

    /// Returns the order to send to a runner now, if any, and marks it as sent.
    [[nodiscard]] std::optional<engine::Order> next (const base::RunnerId& runner,
                                                     const cell::ReplicaTable& table,
                                                     base::TimePoint now);
    /// Records the final answer of a runner; the order is not sent again.
    void onAnswered (const base::RunnerId& runner, base::Fence fence);
    /// Schedules the order to be sent again after a delay: it was not answered, or the runner
    /// requested a retry.
    void onFailed (const base::RunnerId& runner, base::Fence fence, base::TimePoint now);
    /// Returns the runners with an order that is not answered yet or waits to be sent again.
    [[nodiscard]] std::vector<base::RunnerId> waitingRunners() const;
    void forget (const base::RunnerId& runner) { m_queues.erase (runner); }

private:
    struct Queue
    {
        base::Fence sentFence = 0;   ///< Fence of the unanswered order; 0: none.
        base::TimePoint resendAt{};  ///< When the unanswered order is sent again.
        std::set<base::Fence> answered;
        std::map<base::Fence, engine::Order> orphans;
    };

    std::optional<engine::Order> firstUnanswered (const Queue& queue, const base::RunnerId& runner,
                                                  const cell::ReplicaTable& table) const;
    static void pruneAnswered (Queue& queue, const base::RunnerId& runner,
                               const cell::ReplicaTable& table);
    /// Removes the orphans of earlier incarnations, which a restarted runner no longer holds.
    static void pruneOrphans (Queue& queue, const base::RunnerId& runner,
                              const cell::ReplicaTable& table);

    base::Duration m_orderTimeout;
    cell::PlantedFault m_fault;
    std::map<base::RunnerId, Queue> m_queues;
};

}  // namespace fernlift::controller
