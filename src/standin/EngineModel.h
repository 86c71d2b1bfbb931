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
    [[nodiscard]] const engine::Report& report() const { return publishedReport_; }
    /// The state at this moment.
    [[nodiscard]] engine::Report currentReport() const;
    [[nodiscard]] std::vector<CacheEvent> cacheEventsAfter (std::uint64_t sequence,
                                                            base::TimePoint now) const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return scheduler_.ledger(); }
    [[nodiscard]] std::string exportCache (const std::string& requestId) const;
    bool importCache (const std::string& requestId, const std::string& bytes);
    /// Checkpoints on disk, which outlive a restart.
    [[nodiscard]] std::vector<Checkpoint> checkpointsOnDisk() const;

    void setFaults (const EngineFaults& faults) { faults_ = faults; }
    [[nodiscard]] const EngineFaults& faults() const { return faults_; }
    /// Loses the next `count` cache events.
    void dropCacheEvents (std::uint64_t count) { scheduler_.prefixCache().dropEvents (count); }
    /// The machine is about to be reclaimed (or no longer): new requests are refused.
    void setLeaving (bool isLeaving) { isLeaving_ = isLeaving; }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    [[nodiscard]] const EngineOptions& options() const { return options_; }

    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    void settle (base::TimePoint now);
    void publishReports (base::TimePoint now);

    EngineOptions options_;
    ReplicaTable replicas_;
    BatchScheduler scheduler_;
    EngineFaults faults_;
    bool isLeaving_ = false;
    engine::Report publishedReport_;
    engine::Report pendingReport_;
    base::TimePoint nextReport_;
};

}  // namespace fernlift::standin
