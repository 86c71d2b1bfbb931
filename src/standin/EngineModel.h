#pragma once

/// A model engine as a pure state machine: orders, requests, time and answers of the weight store
/// in; answers, tokens and requests to the weight store out. The stand-in process and the simulator
/// run this same class.

#include <optional>
#include <string>
#include <vector>

#include "standin/BatchScheduler.h"
#include "standin/ReplicaTable.h"

namespace fernlift::standin
{

/// Single-threaded. Every call may produce effects, taken by takeEffects().
class EngineModel
{
public:
    EngineModel (const EngineOptions& options, base::TimePoint now);

    engine::OrderAnswer onOrder (const engine::Order& order, base::TimePoint now);
    void onFetched (FetchId fetch, base::TimePoint now);
    void onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now);

    SubmitOutcome submit (const EngineRequest& request, base::TimePoint now);
    void cancel (RequestHandle handle, base::TimePoint now);
    /// Cancels by the id that the caller gave.
    void cancelById (const std::string& requestId, base::TimePoint now);

    /// Does all that is due at `now`. Time never goes back.
    void advance (base::TimePoint now);
    /// When advance() has to be called next.
    [[nodiscard]] base::TimePoint nextEvent() const;

    /// The report as seen from outside: late, or frozen by a fault.
    [[nodiscard]] const engine::Report& report() const { return m_publishedReport; }
    /// The state at this moment.
    [[nodiscard]] engine::Report currentReport() const;
    [[nodiscard]] std::vector<CacheEvent> cacheEventsAfter (std::uint64_t sequence,
                                                            base::TimePoint now) const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return m_scheduler.ledger(); }
    [[nodiscard]] std::string exportCache (const std::string& requestId) const;
    bool importCache (const std::string& requestId, const std::string& bytes);
    /// Checkpoints on disk, which outlive a restart.
    [[nodiscard]] std::vector<Checkpoint> checkpointsOnDisk() const;

    void setFaults (const EngineFaults& faults) { m_faults = faults; }
    [[nodiscard]] const EngineFaults& faults() const { return m_faults; }
    /// Loses the next `count` cache events.
    void dropCacheEvents (std::uint64_t count) { m_scheduler.prefixCache().dropEvents (count); }
    /// The machine is about to be reclaimed (or no longer): new requests are refused.
    void setLeaving (bool isLeaving) { m_isLeaving = isLeaving; }
    [[nodiscard]] bool isLeaving() const { return m_isLeaving; }
    [[nodiscard]] const EngineOptions& options() const { return m_options; }

    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    void settle (base::TimePoint now);
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
