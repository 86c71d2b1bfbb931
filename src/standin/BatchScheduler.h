#pragma once

/// Continuous batching: requests take slots by priority, generate one token a step, and are paused
/// when a more urgent one needs the slot.

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

/// Requests of one engine that wait, run or are paused.
class BatchScheduler
{
public:
    explicit BatchScheduler (const EngineOptions& options);

    /// Takes a request for a ready replica, or refuses it when too many wait.
    SubmitOutcome submit (const EngineRequest& request, base::ReplicaId replica,
                          base::TimePoint now);
    /// Stops a request; nothing more comes of it. Unknown handles are ignored.
    void cancel (RequestHandle handle);
    void cancelById (const std::string& requestId);
    /// Refuses the requests of a replica that never ran; the others finish.
    void refuseWaiting (base::ReplicaId replica);

    /// Runs the steps that are due.
    void advance (base::TimePoint now, const EngineFaults& faults);
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const { return m_nextStep; }

    [[nodiscard]] bool isBusy (base::ReplicaId replica) const;
    [[nodiscard]] std::uint32_t running (std::optional<base::ReplicaId> replica = {}) const;
    [[nodiscard]] std::uint32_t waiting (std::optional<base::ReplicaId> replica = {}) const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return m_ledger; }
    [[nodiscard]] PrefixCache& prefixCache() { return m_cache; }
    [[nodiscard]] const PrefixCache& prefixCache() const { return m_cache; }

    /// KV cache of a request that runs or ended lately, as opaque bytes; empty when there is none.
    [[nodiscard]] std::string exportCache (const std::string& requestId) const;
    /// Keeps imported bytes for a later request with that id; false when they are damaged.
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
        std::optional<std::size_t> ledgerIndex;  ///< Set once it has run.
        std::optional<TokenChunk> delayedChunk;  ///< Held back by a fault.

        [[nodiscard]] bool hasRun() const { return ledgerIndex.has_value(); }
        [[nodiscard]] std::size_t kvBlocks() const;
    };
    /// What an export holds: the prompt whose blocks need no computing again.
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
    /// One step of one request; true when it is finished.
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
    Requests m_requests;  ///< In the order of arrival.
    RequestHandle m_lastHandle = 0;
    std::optional<base::TimePoint> m_nextStep;
    std::vector<LedgerEntry> m_ledger;
    std::map<std::string, KeptCache> m_keptCaches;  ///< By request id.
    std::deque<std::string> m_keptOrder;
    std::vector<EngineEffect> m_effects;
};

}  // namespace fernlift::standin
