#pragma once

/// Replicas of one engine: fenced orders, phases of loads and unloads, and accelerator memory.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "standin/CheckpointCache.h"
#include "standin/EngineTypes.h"

namespace fernlift::standin
{

/// Takes orders and carries them out as time passes. Memory is reserved from the acceptance of a
/// load until the replica is unloaded; a load without room is refused.
class ReplicaTable
{
public:
    explicit ReplicaTable (const EngineOptions& options);

    engine::OrderAnswer onOrder (const engine::Order& order, const EngineFaults& faults,
                                 base::TimePoint now);
    /// The artifact arrived; it is now on disk.
    void onFetched (FetchId fetch, base::TimePoint now);
    /// The weight store did not take the request; it is asked again after `retryAfter`.
    void onFetchRefused (FetchId fetch, base::Duration retryAfter, base::TimePoint now);

    /// Carries out what is due. `isBusy` tells whether a replica still has requests; `faults` may
    /// be used up by loads.
    void advance (base::TimePoint now, const std::function<bool (base::ReplicaId)>& isBusy,
                  EngineFaults& faults);
    /// When advance() has to be called next; unloads that wait for requests are not counted.
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const;

    /// The ready replica with that id, or with id 0 any ready replica of that model or adapter.
    [[nodiscard]] const engine::ReplicaReport* findReady (base::ReplicaId id,
                                                          const std::string& target) const;
    [[nodiscard]] Megabytes usedMemory() const;
    [[nodiscard]] base::Fence highestFence() const { return m_highestFence; }
    [[nodiscard]] std::vector<engine::ReplicaReport> replicas() const;
    [[nodiscard]] const CheckpointCache& checkpoints() const { return m_checkpoints; }
    /// Replicas that became unavailable for new requests since the last call.
    [[nodiscard]] std::vector<engine::ReplicaReport> takeClosed();
    [[nodiscard]] std::vector<EngineEffect> takeEffects();

private:
    enum class Step : std::uint8_t
    {
        kWaitForBase,  ///< An adapter whose base model is still loading.
        kWaitToFetch,  ///< The weight store refused; asked again at `stepEnds`.
        kFetch,        ///< The weight store is sending.
        kReadDisk,     ///< Disk to main memory.
        kReadMemory,   ///< Main memory to the accelerator.
        kServe,        ///< Ready.
        kFinish,       ///< Unloading; requests still run.
        kRelease,      ///< Unloading; memory is being freed.
        kNone,         ///< Failed.
    };
    struct Replica
    {
        engine::ReplicaReport report;
        base::ReplicaId baseReplica = 0;
        Megabytes size = 0;
        Step step = Step::kServe;
        std::optional<base::TimePoint> stepEnds;  ///< Unset while the end depends on others.
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
    std::optional<engine::OrderAnswer> m_lastAnswer;  ///< To the order with the highest fence.
    FetchId m_lastFetch = 0;
    double m_slowdown = 1.0;  ///< Factor on the time of steps that begin now.
    std::vector<EngineEffect> m_effects;
    std::vector<engine::ReplicaReport> m_closed;
};

}  // namespace fernlift::standin
