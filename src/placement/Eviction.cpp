#include "placement/Eviction.h"

#include <algorithm>
#include <tuple>

namespace fernlift::placement
{
namespace
{

/// A replica in use is not evicted before it has been ready for this long, to avoid thrashing.
constexpr base::Duration kMinResidence = base::seconds (10);

/// A replica together with the adapters on it, which would be unloaded as well.
struct Candidate
{
    const ReplicaView* view = nullptr;
    bool isInUse = false;
    base::Duration idleFor{};
    engine::Megabytes memory = 0;
};

bool mayEvict (const Plan& plan, const ReplicaView& view, int urgency)
{
    if (plan.isAbandonedLoad (view))
        return true;
    if (view.replica.stage != cell::ReplicaStage::kReady || plan.isUnloading (view))
        return false;
    if (plan.isKeptByMinimum (view))
        return false;
    if (! plan.isInUse (view))
        return true;
    return plan.urgencyOf (view.replica.target()) > urgency && view.readyFor >= kMinResidence;
}

std::optional<Candidate> candidateFor (const Plan& plan, const ReplicaView& view, int urgency)
{
    if (! mayEvict (plan, view, urgency))
        return std::nullopt;
    Candidate candidate{ &view, plan.isInUse (view), view.idleFor, view.replica.memory };
    for (const ReplicaView* adapter : plan.adaptersOn (view.replica.id))
    {
        if (plan.isUnloading (*adapter))
            continue;
        if (! mayEvict (plan, *adapter, urgency))
            return std::nullopt;
        candidate.isInUse = candidate.isInUse || plan.isInUse (*adapter);
        candidate.idleFor = std::min (candidate.idleFor, adapter->idleFor);
        candidate.memory += adapter->replica.memory;
    }
    return candidate;
}

std::vector<Candidate> candidatesOn (const Plan& plan, const Plan::PlannedRunner& planned,
                                     int urgency, base::ReplicaId kept)
{
    std::vector<Candidate> candidates;
    for (const ReplicaView* view : planned.replicas)
    {
        if (view->replica.id == kept)
            continue;
        if (auto candidate = candidateFor (plan, *view, urgency))
            candidates.push_back (*candidate);
    }
    const auto order = [] (const Candidate& candidate)
    { return std::tuple (candidate.isInUse, -candidate.idleFor, candidate.view->replica.id); };
    std::sort (candidates.begin(), candidates.end(),
               [&] (const Candidate& left, const Candidate& right)
               { return order (left) < order (right); });
    return candidates;
}

bool isCovered (const EvictionChoice& choice, const ReplicaView& view)
{
    return std::any_of (choice.evictions.begin(), choice.evictions.end(),
                        [&] (const ReplicaView* evicted)
                        { return evicted->replica.id == view.replica.baseReplica; });
}

}  // namespace

std::optional<EvictionChoice> chooseEvictions (const Plan& plan, const Plan::PlannedRunner& planned,
                                               engine::Megabytes memory, int urgency,
                                               base::ReplicaId kept)
{
    EvictionChoice choice;
    choice.runner = planned.runner->runner;
    choice.shortestIdle = base::Duration::max();
    const engine::Megabytes available = planned.free + planned.beingFreed;
    for (const Candidate& candidate : candidatesOn (plan, planned, urgency, kept))
    {
        if (available + choice.memoryFreed >= memory)
            break;
        if (isCovered (choice, *candidate.view))
            continue;
        choice.evictions.push_back (candidate.view);
        choice.interruptsUse = choice.interruptsUse || candidate.isInUse;
        choice.shortestIdle = std::min (choice.shortestIdle, candidate.idleFor);
        choice.memoryFreed += candidate.memory;
    }
    if (choice.evictions.empty() || available + choice.memoryFreed < memory)
        return std::nullopt;
    return choice;
}

bool isBetter (const EvictionChoice& left, const EvictionChoice& right)
{
    const auto order = [] (const EvictionChoice& choice)
    { return std::tuple (choice.interruptsUse, -choice.shortestIdle, choice.memoryFreed); };
    return order (left) < order (right);
}

}  // namespace fernlift::placement
