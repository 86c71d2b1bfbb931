#pragma once

/// Continuous batching. Requests get slots by priority, generate one token per step, and are
/// preempted when a more urgent request needs the slot.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/AnswerText.h"
#include "standin/EngineTypes.h"
#include "standin/Ledger.h"
#include "standin/PrefixCache.h"

namespace fernlift::standin
{

/// Schedules the waiting, running and preempted requests of one engine.
class BatchScheduler
{
public:
    explicit BatchScheduler (const EngineOptions& options);

    /// Accepts a request for a ready replica, or refuses it when the queue is full.
    SubmitOutcome submit (const EngineRequest& request, base::ReplicaId replica,
                          base::TimePoint now);
    /// Stops a request without further effects. Unknown handles are ignored.
    void cancel (RequestHandle handle);
    void cancelById (const std::string& requestId);
    /// Refuses the requests of a replica that have not started yet; the others finish.
    void refuseWaiting (base::ReplicaId replica);

    /// Runs all steps that are due at `now`.
    void advance (base::TimePoint now, const EngineFaults& faults);
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const { return m_nextStep; }

    [[nodiscard]] bool isBusy (base::ReplicaId replica) const;
    [[nodiscard]] std::uint32_t running (std::optional<base::ReplicaId> replica = {}) const;
    [[nodiscard]] std::uint32_t waiting (std::optional<base::ReplicaId> replica = {}) const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return m_ledger; }
    [[nodiscard]] PrefixCache& prefixCache() { return m_cache; }
    [[nodiscard]] const PrefixCache& prefixCache() const { return m_cache; }

    /// Returns the KV cache of a running or recently ended request as opaque bytes; empty when
    /// there is none.
    [[nodiscard]] std::string exportCache (const std::string& requestId) const;
    /// Stores an exported KV cache for a later request with that id; false when the bytes are
    /// invalid.
    bool importCache (const std::string& requestId, const std::string& bytes);

    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    struct Request
    {
        EngineRequest input;
        base::ReplicaId replica = 0;
        AnswerText text;
        std::vector<std::uint64_t> blocks;
        std::size_t blocksToPrefill = 0;
        std::uint64_t nextToken = 0;
        bool isRunning = false;
        std::optional<std::size_t> ledgerIndex;  ///< Set once the request has started.
        std::optional<TokenChunk> delayedChunk;  ///< Chunk held back by a fault.

        [[nodiscard]] bool hasRun() const { return ledgerIndex.has_value(); }
        [[nodiscard]] std::size_t kvBlocks() const;
    };
    /// Content of an exported KV cache: identifies the prompt that needs no prefill.
    struct KeptCache
    {
        std::string target;
        std::string promptDigest;
    };
    using Requests = std::map<RequestHandle, Request>;

    void fillSlots (base::TimePoint now);
    void start (Request& request, base::TimePoint now);
    [[nodiscard]] Requests::iterator mostUrgentWaiting();
    [[nodiscard]] Requests::iterator leastUrgentRunning();
    void runStep (base::TimePoint now, const EngineFaults& faults);
    /// Runs one step of a request; true when the request is finished.
    bool advanceRequest (RequestHandle handle, Request& request, const EngineFaults& faults,
                         base::TimePoint now);
    void emitToken (RequestHandle handle, Request& request, const EngineFaults& faults);
    void emitChunk (Request& request, TokenChunk chunk, const EngineFaults& faults);
    void finish (Requests::iterator request, LedgerState state);
    void keepCache (const Request& request);
    void reserveBlocks (base::TimePoint now);
    [[nodiscard]] base::Duration stepTime() const;

    EngineOptions m_options;
    PrefixCache m_cache;
    Requests m_requests;  ///< Requests in order of arrival.
    RequestHandle m_lastHandle = 0;
    std::optional<base::TimePoint> m_nextStep;
    std::vector<LedgerEntry> m_ledger;
    std::map<std::string, KeptCache> m_keptCaches;  ///< Exportable caches by request id.
    std::deque<std::string> m_keptOrder;
    std::vector<EngineEffect> m_effects;
};

}  // namespace fernlift::standin
