#include "standin/EngineModel.h"

#include <algorithm>
#include <iterator>

namespace fernlift::standin
{

EngineModel::EngineModel (const EngineOptions& options, base::TimePoint now)
    : m_options (options),
      m_replicas (options),
      m_scheduler (options),
      m_nextReport (now + options.reportLag)
{
    m_pendingReport = currentReport();
    m_publishedReport = m_pendingReport;
}

engine::OrderAnswer EngineModel::onOrder (const engine::Order& order, base::TimePoint now)
{
    advance (now);
    const auto answer = m_replicas.onOrder (order, m_faults, now);
    advanceReplicas (now);
    return answer;
}

void EngineModel::onFetched (FetchId fetch, base::TimePoint now)
{
    advance (now);
    m_replicas.onFetched (fetch, now);
}

void EngineModel::onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now)
{
    advance (now);
    m_replicas.onFetchRefused (fetch, retryAfter, now);
}

SubmitOutcome EngineModel::submit (const EngineRequest& request, base::TimePoint now)
{
    advance (now);
    const auto refuse = [] (base::ErrorKind kind, std::string message) {
        return SubmitOutcome{ false, 0, { kind, std::move (message) } };
    };
    if (m_isLeaving)
        return refuse (base::ErrorKind::kStopping, "the engine is leaving");
    if (m_faults.refusesAll)
        return refuse (base::ErrorKind::kNoCapacity, "refused by an injected fault");
    const auto* replica = m_replicas.findReady (request.replica, request.target);
    if (replica == nullptr)
    {
        return refuse (base::ErrorKind::kNoCapacity, "no ready replica of " + request.target);
    }
    return m_scheduler.submit (request, replica->replica, now);
}

void EngineModel::cancel (RequestHandle handle, base::TimePoint now)
{
    advance (now);
    m_scheduler.cancel (handle);
    advanceReplicas (now);
}

void EngineModel::cancelById (const std::string& requestId, base::TimePoint now)
{
    advance (now);
    m_scheduler.cancelById (requestId);
    advanceReplicas (now);
}

void EngineModel::advance (base::TimePoint now)
{
    m_scheduler.advance (now, m_faults);
    advanceReplicas (now);
    publishReports (now);
}

void EngineModel::advanceReplicas (base::TimePoint now)
{
    for (const auto& closed : m_replicas.takeClosed())
    {
        m_scheduler.refuseWaiting (closed.replica);
        const auto& name = closed.adapter.empty() ? closed.model.value : closed.adapter.value;
        m_scheduler.prefixCache().removeModel (name, now);
    }
    m_replicas.advance (
        now, [this] (base::ReplicaId replica) { return m_scheduler.isBusy (replica); }, m_faults);
}

void EngineModel::publishReports (base::TimePoint now)
{
    while (m_nextReport <= now)
    {
        m_nextReport += m_options.reportLag;
        if (m_faults.freezesReports)
            continue;
        m_publishedReport = std::move (m_pendingReport);
        m_pendingReport = currentReport();
    }
}

base::TimePoint EngineModel::nextEvent() const
{
    base::TimePoint next = m_nextReport;
    if (const auto step = m_scheduler.nextEvent())
        next = std::min (next, *step);
    if (const auto change = m_replicas.nextEvent())
        next = std::min (next, *change);
    return next;
}

engine::Report EngineModel::currentReport() const
{
    engine::Report report;
    report.runner = m_options.runner;
    report.incarnation = m_options.incarnation;
    report.isLeaving = m_isLeaving;
    report.totalMemory = m_options.totalMemory;
    report.usedMemory = m_replicas.usedMemory();
    report.highestFence = m_replicas.highestFence();
    report.slots = m_options.slots;
    report.runningRequests = m_scheduler.running();
    report.waitingRequests = m_scheduler.waiting();
    report.replicas = m_replicas.replicas();
    for (auto& replica : report.replicas)
    {
        replica.runningRequests = m_scheduler.running (replica.replica);
        replica.waitingRequests = m_scheduler.waiting (replica.replica);
    }
    report.checkpoints = m_replicas.checkpoints().report();
    return report;
}

std::vector<CacheEvent> EngineModel::cacheEventsAfter (std::uint64_t sequence,
                                                       base::TimePoint now) const
{
    return m_scheduler.prefixCache().eventsAfter (sequence, now);
}

std::string EngineModel::exportCache (const std::string& requestId) const
{
    return m_scheduler.exportCache (requestId);
}

bool EngineModel::importCache (const std::string& requestId, const std::string& bytes)
{
    return m_scheduler.importCache (requestId, bytes);
}

std::vector<Checkpoint> EngineModel::checkpointsOnDisk() const
{
    const auto& disk = m_replicas.checkpoints().onDisk();
    return { disk.begin(), disk.end() };
}

std::vector<EngineEffect> EngineModel::takeEffects()
{
    auto effects = m_replicas.takeEffects();
    auto tokens = m_scheduler.takeEffects();
    effects.insert (effects.end(), std::make_move_iterator (tokens.begin()),
                    std::make_move_iterator (tokens.end()));
    return effects;
}

}  // namespace fernlift::standin
