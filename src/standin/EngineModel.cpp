#include "standin/EngineModel.h"

#include <algorithm>
#include <iterator>

namespace fernlift::standin
{

EngineModel::EngineModel (const EngineOptions& options, base::TimePoint now)
    : options_ (options),
      replicas_ (options),
      scheduler_ (options),
      nextReport_ (now + options.reportLag)
{
    pendingReport_ = currentReport();
    publishedReport_ = pendingReport_;
}

engine::OrderAnswer EngineModel::onOrder (const engine::Order& order, base::TimePoint now)
{
    advance (now);
    const auto answer = replicas_.onOrder (order, faults_, now);
    settle (now);
    return answer;
}

void EngineModel::onFetched (FetchId fetch, base::TimePoint now)
{
    advance (now);
    replicas_.onFetched (fetch, now);
}

void EngineModel::onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now)
{
    advance (now);
    replicas_.onFetchRefused (fetch, retryAfter, now);
}

SubmitOutcome EngineModel::submit (const EngineRequest& request, base::TimePoint now)
{
    advance (now);
    const auto refuse = [] (base::ErrorKind kind, std::string message) {
        return SubmitOutcome{ false, 0, { kind, std::move (message) } };
    };
    if (isLeaving_)
        return refuse (base::ErrorKind::kStopping, "the engine is leaving");
    if (faults_.refusesAll)
        return refuse (base::ErrorKind::kNoCapacity, "refused on command");
    const auto* replica = replicas_.findReady (request.replica, request.target);
    if (replica == nullptr)
    {
        return refuse (base::ErrorKind::kNoCapacity, "no ready replica of " + request.target);
    }
    return scheduler_.submit (request, replica->replica, now);
}

void EngineModel::cancel (RequestHandle handle, base::TimePoint now)
{
    advance (now);
    scheduler_.cancel (handle);
    settle (now);
}

void EngineModel::cancelById (const std::string& requestId, base::TimePoint now)
{
    advance (now);
    scheduler_.cancelById (requestId);
    settle (now);
}

void EngineModel::advance (base::TimePoint now)
{
    scheduler_.advance (now, faults_);
    settle (now);
    publishReports (now);
}

void EngineModel::settle (base::TimePoint now)
{
    for (const auto& closed : replicas_.takeClosed())
    {
        scheduler_.refuseWaiting (closed.replica);
        const auto& name = closed.adapter.empty() ? closed.model.value : closed.adapter.value;
        scheduler_.prefixCache().removeModel (name, now);
    }
    replicas_.advance (
        now, [this] (base::ReplicaId replica) { return scheduler_.isBusy (replica); }, faults_);
}

void EngineModel::publishReports (base::TimePoint now)
{
    while (nextReport_ <= now)
    {
        nextReport_ += options_.reportLag;
        if (faults_.freezesReports)
            continue;
        publishedReport_ = std::move (pendingReport_);
        pendingReport_ = currentReport();
    }
}

base::TimePoint EngineModel::nextEvent() const
{
    base::TimePoint next = nextReport_;
    if (const auto step = scheduler_.nextEvent())
        next = std::min (next, *step);
    if (const auto change = replicas_.nextEvent())
        next = std::min (next, *change);
    return next;
}

engine::Report EngineModel::currentReport() const
{
    engine::Report report;
    report.runner = options_.runner;
    report.incarnation = options_.incarnation;
    report.isLeaving = isLeaving_;
    report.totalMemory = options_.totalMemory;
    report.usedMemory = replicas_.usedMemory();
    report.highestFence = replicas_.highestFence();
    report.slots = options_.slots;
    report.runningRequests = scheduler_.running();
    report.waitingRequests = scheduler_.waiting();
    report.replicas = replicas_.replicas();
    for (auto& replica : report.replicas)
    {
        replica.runningRequests = scheduler_.running (replica.replica);
        replica.waitingRequests = scheduler_.waiting (replica.replica);
    }
    report.checkpoints = replicas_.checkpoints().report();
    return report;
}

std::vector<CacheEvent> EngineModel::cacheEventsAfter (std::uint64_t sequence,
                                                       base::TimePoint now) const
{
    return scheduler_.prefixCache().eventsAfter (sequence, now);
}

std::string EngineModel::exportCache (const std::string& requestId) const
{
    return scheduler_.exportCache (requestId);
}

bool EngineModel::importCache (const std::string& requestId, const std::string& bytes)
{
    return scheduler_.importCache (requestId, bytes);
}

std::vector<Checkpoint> EngineModel::checkpointsOnDisk() const
{
    const auto& disk = replicas_.checkpoints().onDisk();
    return { disk.begin(), disk.end() };
}

std::vector<EngineEffect> EngineModel::takeEffects()
{
    auto effects = replicas_.takeEffects();
    auto tokens = scheduler_.takeEffects();
    effects.insert (effects.end(), std::make_move_iterator (tokens.begin()),
                    std::make_move_iterator (tokens.end()));
    return effects;
}

}  // namespace fernlift::standin
