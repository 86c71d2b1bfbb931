#pragma once

/// Model engine as a state machine without I/O. Its inputs are orders, requests, time and answers
/// of the weight store; its outputs are answers, tokens and requests to the weight store. The
/// stand-in process and the simulator use the same class.

#include <optional>
#include <string>
#include <vector>

#include "standin/BatchScheduler.h"
#include "standin/ReplicaTable.h"

namespace fernlift::standin
{

/// Single-threaded. Every call may produce effects, which takeEffects() returns.
class EngineModel
{
public:
    EngineModel (const EngineOptions& options, base::TimePoint now);

    engine::OrderAnswer onOrder (const engine::Order& order, base::TimePoint now);
    void onFetched (FetchId fetch, base::TimePoint now);
    void onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now);

    SubmitOutcome submit (const EngineRequest& request, base::TimePoint now);
    void cancel (RequestHandle handle, base::TimePoint now);
    /// Cancels all requests with the id that the caller sent.
    void cancelById (const std::string& requestId, base::TimePoint now);

    /// Processes everything that is due at `now`, which must not decrease between calls.
    void advance (base::TimePoint now);
    /// Time at which advance() must be called next.
    [[nodiscard]] base::TimePoint nextEvent() const;

    /// The published report, which is delayed, or frozen by a fault.
    [[nodiscard]] const engine::Report& report() const { return m_publishedReport; }
    /// Report of the current state, without delay.
    [[nodiscard]] engine::Report currentReport() const;
    [[nodiscard]] std::vector<CacheEvent> cacheEventsAfter (std::uint64_t sequence,
                                                            base::TimePoint now) const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return m_scheduler.ledger(); }
    [[nodiscard]] std::string exportCache (const std::string& requestId) const;
    bool importCache (const std::string& requestId, const std::string& bytes);
    /// Checkpoints on disk, which survive a restart.
    [[nodiscard]] std::vector<Checkpoint> checkpointsOnDisk() const;

    void setFaults (const EngineFaults& faults) { m_faults = faults; }
    [[nodiscard]] const EngineFaults& faults() const { return m_faults; }
    /// Drops the next `count` cache events.
    void dropCacheEvents (std::uint64_t count) { m_scheduler.prefixCache().dropEvents (count); }
    /// Sets whether the machine is about to be reclaimed; new requests are refused while it is.
    void setLeaving (bool isLeaving) { m_isLeaving = isLeaving; }
    [[nodiscard]] bool isLeaving() const { return m_isLeaving; }
    [[nodiscard]] const EngineOptions& options() const { return m_options; }

    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    void advanceReplicas (base::TimePoint now);
    void publishReports (base::TimePoint now);

    EngineOptions m_options;
    ReplicaTable m_replicas;
    BatchScheduler m_scheduler;
    EngineFaults m_faults;
    bool m_isLeaving = false;
    engine::Report m_publishedReport;
    engine::Report m_pendingReport;
    base::TimePoint m_nextReport;
};

}  // namespace fernlift::standin
