#include "standin/ReplicaTable.h"

#include <algorithm>
#include <utility>

namespace fernlift::standin
{

using engine::OrderKind;
using engine::ReplicaPhase;

ReplicaTable::ReplicaTable (const EngineOptions& options)
    : m_options (options), m_checkpoints (options.diskCapacity, options.memoryCapacity)
{
    for (const auto& checkpoint : options.checkpointsOnDisk)
        m_checkpoints.putOnDisk (checkpoint);
}

engine::OrderAnswer ReplicaTable::onOrder (const engine::Order& order, const EngineFaults& faults,
                                           base::TimePoint now)
{
    if (order.incarnation != m_options.incarnation)
    {
        return answer (false, base::ErrorKind::kIncarnationMismatch);
    }
    if (order.fence < m_highestFence)
        return answer (false, base::ErrorKind::kFenceStale);
    if (order.fence == m_highestFence && m_lastAnswer)
        return *m_lastAnswer;
    // A refused order also uses its fence, so that it is not executed if it is resent later.
    m_highestFence = order.fence;
    m_slowdown = faults.loadSlowdown;
    m_lastAnswer = take (order, now);
    return *m_lastAnswer;
}

engine::OrderAnswer ReplicaTable::answer (bool accepted, base::ErrorKind refusal) const
{
    engine::OrderAnswer answer;
    answer.accepted = accepted;
    if (! accepted)
        answer.refusal = refusal;
    answer.highestFence = m_highestFence;
    answer.incarnation = m_options.incarnation;
    return answer;
}

engine::OrderAnswer ReplicaTable::take (const engine::Order& order, base::TimePoint now)
{
    const bool isLoad =
        order.kind == OrderKind::kLoadModel || order.kind == OrderKind::kLoadAdapter;
    if (isLoad)
        return load (order, now);
    unload (order.replica);
    return answer (true, {});
}

engine::OrderAnswer ReplicaTable::load (const engine::Order& order, base::TimePoint now)
{
    if (m_replicas.contains (order.replica))
        return answer (true, {});
    if (order.memory > m_options.totalMemory - usedMemory())
    {
        return answer (false, base::ErrorKind::kInsufficientMemory);
    }
    Replica replica;
    replica.report.replica = order.replica;
    replica.report.model = order.model;
    replica.report.version = order.version;
    replica.report.adapter = order.adapter;
    replica.report.memory = order.memory;
    replica.size = order.memory;
    replica.baseReplica = order.kind == OrderKind::kLoadAdapter ? order.baseReplica : 0;
    Replica& stored = m_replicas.emplace (order.replica, std::move (replica)).first->second;
    if (order.kind == OrderKind::kLoadAdapter)
    {
        stored.step = Step::kWaitForBase;
    }
    else
    {
        beginLoad (stored, now);
    }
    return answer (true, {});
}

void ReplicaTable::unload (base::ReplicaId id)
{
    const auto found = m_replicas.find (id);
    if (found == m_replicas.end())
        return;
    Replica& replica = found->second;
    if (replica.report.phase == ReplicaPhase::kUnloading)
        return;
    if (replica.step == Step::kFetch)
        m_effects.emplace_back (CancelFetch{ replica.fetch });
    if (replica.report.phase == ReplicaPhase::kReady)
        m_closed.push_back (replica.report);
    replica.fetch = 0;
    replica.report.phase = ReplicaPhase::kUnloading;
    replica.step = Step::kFinish;
    replica.stepEnds.reset();
    for (const auto& [otherId, other] : m_replicas)
    {
        if (other.baseReplica == id)
            unload (otherId);
    }
}

void ReplicaTable::beginLoad (Replica& replica, base::TimePoint now)
{
    switch (m_checkpoints.use (artifactOf (replica), replica.report.version))
    {
        case engine::CheckpointPlace::kRemote:
            beginFetch (replica);
            return;
        case engine::CheckpointPlace::kDisk:
            beginStep (replica, Step::kReadDisk,
                       readTime (replica, m_options.diskMegabytesPerSecond), now);
            return;
        case engine::CheckpointPlace::kMemory:
            beginStep (replica, Step::kReadMemory,
                       readTime (replica, m_options.memoryMegabytesPerSecond), now);
            return;
    }
}

void ReplicaTable::beginFetch (Replica& replica)
{
    replica.step = Step::kFetch;
    replica.stepEnds.reset();
    replica.fetch = ++m_lastFetch;
    m_effects.emplace_back (FetchWeights{ replica.fetch, artifactOf (replica), replica.size });
}

void ReplicaTable::beginStep (Replica& replica, Step step, base::Duration duration,
                              base::TimePoint now)
{
    replica.step = step;
    replica.stepEnds = now + duration;
}

void ReplicaTable::onFetched (FetchId fetch, base::TimePoint now)
{
    Replica* replica = findFetch (fetch);
    if (replica == nullptr)
        return;
    m_checkpoints.putOnDisk ({ artifactOf (*replica), replica->report.version, replica->size });
    replica->fetch = 0;
    beginStep (*replica, Step::kReadDisk, readTime (*replica, m_options.diskMegabytesPerSecond),
               now);
}

void ReplicaTable::onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now)
{
    Replica* replica = findFetch (fetch);
    if (replica == nullptr)
        return;
    replica->fetch = 0;
    beginStep (*replica, Step::kWaitToFetch, retryAfter, now);
}

void ReplicaTable::advance (base::TimePoint now,
                            const std::function<bool (base::ReplicaId)>& isBusy,
                            EngineFaults& faults)
{
    m_slowdown = faults.loadSlowdown;
    for (auto& [id, replica] : m_replicas)
        advanceReplica (replica, now, isBusy, faults);
    std::erase_if (m_replicas,
                   [&] (const auto& entry)
                   {
                       const Replica& replica = entry.second;
                       return replica.step == Step::kRelease && replica.stepEnds
                              && *replica.stepEnds <= now;
                   });
}

void ReplicaTable::advanceReplica (Replica& replica, base::TimePoint now,
                                   const std::function<bool (base::ReplicaId)>& isBusy,
                                   EngineFaults& faults)
{
    if (replica.step == Step::kWaitForBase)
        advanceAdapter (replica, now);
    if (replica.step == Step::kFinish && ! isBusy (replica.report.replica)
        && ! hasAdapters (replica.report.replica))
    {
        beginStep (replica, Step::kRelease, m_options.unloadTime, now);
    }
    while (replica.step != Step::kRelease && replica.stepEnds && *replica.stepEnds <= now)
    {
        endStep (replica, faults);
    }
}

void ReplicaTable::advanceAdapter (Replica& replica, base::TimePoint now)
{
    const auto base = m_replicas.find (replica.baseReplica);
    const bool isMissing = base == m_replicas.end()
                           || base->second.report.phase == ReplicaPhase::kFailed
                           || base->second.report.phase == ReplicaPhase::kUnloading;
    if (isMissing)
    {
        fail (replica);
    }
    else if (base->second.report.phase == ReplicaPhase::kReady)
    {
        beginLoad (replica, now);
    }
}

void ReplicaTable::endStep (Replica& replica, EngineFaults& faults)
{
    const base::TimePoint ended = *replica.stepEnds;
    replica.stepEnds.reset();
    if (replica.step == Step::kWaitToFetch)
    {
        beginFetch (replica);
    }
    else if (replica.step == Step::kReadDisk)
    {
        if (faults.diesDuringLoad)
            m_effects.emplace_back (ExitProcess{});
        m_checkpoints.putInMemory ({ artifactOf (replica), replica.report.version, replica.size });
        beginStep (replica, Step::kReadMemory,
                   readTime (replica, m_options.memoryMegabytesPerSecond), ended);
    }
    else if (replica.step == Step::kReadMemory)
    {
        endLoad (replica, faults);
    }
}

void ReplicaTable::endLoad (Replica& replica, EngineFaults& faults)
{
    if (faults.diesDuringLoad)
        m_effects.emplace_back (ExitProcess{});
    if (faults.loadsToFail > 0)
    {
        --faults.loadsToFail;
        fail (replica);
        return;
    }
    replica.step = Step::kServe;
    replica.report.phase = ReplicaPhase::kReady;
}

void ReplicaTable::fail (Replica& replica)
{
    replica.step = Step::kNone;
    replica.stepEnds.reset();
    replica.report.phase = ReplicaPhase::kFailed;
    replica.baseReplica = 0;
    replica.report.memory = 0;
}

std::optional<base::TimePoint> ReplicaTable::nextEvent() const
{
    std::optional<base::TimePoint> next;
    for (const auto& [id, replica] : m_replicas)
    {
        if (replica.stepEnds && (! next || *replica.stepEnds < *next))
            next = replica.stepEnds;
    }
    return next;
}

const engine::ReplicaReport* ReplicaTable::findReady (base::ReplicaId id,
                                                      const std::string& target) const
{
    for (const auto& [replicaId, replica] : m_replicas)
    {
        if (id != 0 && replicaId != id)
            continue;
        if (replica.report.phase == ReplicaPhase::kReady && artifactOf (replica) == target)
        {
            return &replica.report;
        }
    }
    return nullptr;
}

Megabytes ReplicaTable::usedMemory() const
{
    Megabytes used = 0;
    for (const auto& [id, replica] : m_replicas)
        used += replica.report.memory;
    return used;
}

std::vector<engine::ReplicaReport> ReplicaTable::replicas() const
{
    std::vector<engine::ReplicaReport> reports;
    for (const auto& [id, replica] : m_replicas)
        reports.push_back (replica.report);
    return reports;
}

std::vector<engine::ReplicaReport> ReplicaTable::takeClosed()
{
    return std::exchange (m_closed, {});
}

std::vector<EngineEffect> ReplicaTable::takeEffects() { return std::exchange (m_effects, {}); }

ReplicaTable::Replica* ReplicaTable::findFetch (FetchId fetch)
{
    for (auto& [id, replica] : m_replicas)
    {
        if (replica.step == Step::kFetch && replica.fetch == fetch)
            return &replica;
    }
    return nullptr;
}

bool ReplicaTable::hasAdapters (base::ReplicaId base) const
{
    return std::any_of (
        m_replicas.begin(), m_replicas.end(),
        [base] (const auto& entry)
        { return entry.second.baseReplica == base && entry.second.step != Step::kNone; });
}

base::Duration ReplicaTable::readTime (const Replica& replica, double megabytesPerSecond) const
{
    const double transfer = static_cast<double> (replica.size) / megabytesPerSecond * 1e6;
    const auto overhead = static_cast<double> (m_options.loadOverhead.count());
    return base::Duration (static_cast<std::int64_t> ((transfer + overhead) * m_slowdown));
}

const std::string& ReplicaTable::artifactOf (const Replica& replica)
{
    return replica.report.adapter.empty() ? replica.report.model.value
                                          : replica.report.adapter.value;
}

}  // namespace fernlift::standin
