#pragma once

/// Replicas of one stand-in engine: fenced orders, steps of loads and unloads, accelerator memory.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "standin/CheckpointCache.h"
#include "standin/EngineTypes.h"

namespace fernlift::standin
{

/// Accepts orders and executes them as time advances. Memory is reserved from the acceptance of a
/// load until the replica is unloaded; a load is refused when too little memory is free.
class ReplicaTable
{
public:
    explicit ReplicaTable (const EngineOptions& options);

    engine::OrderAnswer onOrder (const engine::Order& order, const EngineFaults& faults,
                                 base::TimePoint now);
    /// Called when an artifact has arrived; stores it on disk.
    void onFetched (FetchId fetch, base::TimePoint now);
    /// Called when the weight store refused a request, which is sent again after `retryAfter`.
    void onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now);

    /// Executes all steps that are due. `isBusy` returns whether a replica still has requests;
    /// loads count down the number of loads to fail in `faults`.
    void advance (base::TimePoint now, const std::function<bool (base::ReplicaId)>& isBusy,
                  EngineFaults& faults);
    /// Time at which advance() must be called next, without unloads that wait for requests.
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const;

    /// Returns the ready replica of `target` (a model or adapter) with that id, or any of them for
    /// id 0; null when there is none.
    [[nodiscard]] const engine::ReplicaReport* findReady (base::ReplicaId id,
                                                          const std::string& target) const;
    [[nodiscard]] Megabytes usedMemory() const;
    [[nodiscard]] base::Fence highestFence() const { return m_highestFence; }
    [[nodiscard]] std::vector<engine::ReplicaReport> replicas() const;
    [[nodiscard]] const CheckpointCache& checkpoints() const { return m_checkpoints; }
    /// Returns the replicas that became unavailable for new requests since the last call.
    [[nodiscard]] std::vector<engine::ReplicaReport> takeClosed();
    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    enum class Step : std::uint8_t
    {
        kWaitForBase,  ///< Adapter that waits until its base model is loaded.
        kWaitToFetch,  ///< Refused by the weight store; requested again at `stepEnds`.
        kFetch,        ///< Transfer from the weight store.
        kReadDisk,     ///< Read from disk to main memory.
        kReadMemory,   ///< Copy from main memory to the accelerator.
        kServe,        ///< Ready for requests.
        kFinish,       ///< Unloading, with requests still running.
        kRelease,      ///< Unloading, memory being freed.
        kNone,         ///< Load failed.
    };
    struct Replica
    {
        engine::ReplicaReport report;
        base::ReplicaId baseReplica = 0;
        Megabytes size = 0;
        Step step = Step::kServe;
        std::optional<base::TimePoint> stepEnds;  ///< Unset while the step waits for another event.
        FetchId fetch = 0;
    };

    engine::OrderAnswer answer (bool accepted, base::ErrorKind refusal) const;
    engine::OrderAnswer take (const engine::Order& order, base::TimePoint now);
    engine::OrderAnswer load (const engine::Order& order, base::TimePoint now);
    void unload (base::ReplicaId id);
    void beginLoad (Replica& replica, base::TimePoint now);
    void beginFetch (Replica& replica);
    void beginStep (Replica& replica, Step step, base::Duration duration, base::TimePoint now);
    void advanceReplica (Replica& replica, base::TimePoint now,
                         const std::function<bool (base::ReplicaId)>& isBusy, EngineFaults& faults);
    void advanceAdapter (Replica& replica, base::TimePoint now);
    void endStep (Replica& replica, EngineFaults& faults);
    void endLoad (Replica& replica, EngineFaults& faults);
    void fail (Replica& replica);
    [[nodiscard]] Replica* findFetch (FetchId fetch);
    [[nodiscard]] bool hasAdapters (base::ReplicaId base) const;
    [[nodiscard]] base::Duration readTime (const Replica& replica, double megabytesPerSecond) const;
    static const std::string& artifactOf (const Replica& replica);

    EngineOptions m_options;
    CheckpointCache m_checkpoints;
    std::map<base::ReplicaId, Replica> m_replicas;
    base::Fence m_highestFence = 0;
    std::optional<engine::OrderAnswer>
        m_lastAnswer;  ///< Answer to the order with the highest fence.
    FetchId m_lastFetch = 0;
    double m_slowdown = 1.0;  ///< Factor on the duration of steps that begin now.
    std::vector<EngineEffect> m_effects;
    std::vector<engine::ReplicaReport> m_closed;
};

}  // namespace fernlift::standin
