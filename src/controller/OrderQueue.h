#pragma once

/// Fenced orders to runners: one at a time to each, in fence order, sent again until answered.
/// What to order follows from the replicated state, so a new leader goes on where the last stopped.

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

/// The order that a replica's last decision calls for; none for a ready replica.
[[nodiscard]] std::optional<engine::Order> orderFor (const cell::Replica& replica);

class OrderQueue
{
public:
    OrderQueue (base::Duration orderTimeout, cell::PlantedFault fault)
        : m_orderTimeout (orderTimeout), m_fault (fault)
    {
    }

    /// Adds an unload of a replica that the state does not know.
    void addStray (const base::RunnerId& runner, const engine::Order& order);

    [[nodiscard]] bool hasStray (const base::RunnerId& runner, base::ReplicaId replica) const;

    /// The order to send to a runner now, if any; it is then taken as sent.
    [[nodiscard]] std::optional<engine::Order> next (const base::RunnerId& runner,
                                                     const cell::ReplicaTable& table,
                                                     base::TimePoint now);
    /// The runner answered for good; the order is not sent again.
    void onAnswered (const base::RunnerId& runner, base::Fence fence);
    /// No answer, or one that asks to try again: sent again after a pause.
    void onFailed (const base::RunnerId& runner, base::Fence fence, base::TimePoint now);
    /// Runners with an order to send again or a pause to wait for.
    [[nodiscard]] std::vector<base::RunnerId> waitingRunners() const;
    void forget (const base::RunnerId& runner) { m_queues.erase (runner); }

private:
    struct Queue
    {
        base::Fence sentFence = 0;   ///< Fence of the decision last sent; 0: none unanswered.
        base::TimePoint resendAt{};  ///< When the unanswered order is sent again.
        std::set<base::Fence> answered;
        std::map<base::Fence, engine::Order> strays;
    };

    std::optional<engine::Order> firstUnanswered (const Queue& queue, const base::RunnerId& runner,
                                                  const cell::ReplicaTable& table) const;
    static void pruneAnswered (Queue& queue, const base::RunnerId& runner,
                               const cell::ReplicaTable& table);
    /// A restarted runner no longer holds what its former incarnation did.
    static void pruneStrays (Queue& queue, const base::RunnerId& runner,
                             const cell::ReplicaTable& table);

    base::Duration m_orderTimeout;
    cell::PlantedFault m_fault;
    std::map<base::RunnerId, Queue> m_queues;
};

}  // namespace fernlift::controller
