#pragma once

/// Runners and replicas of a cell. Enforces the bound on replicas and the reservation of memory.
/// Part of the replicated state; not thread-safe.

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/Commands.h"
#include "cell/PlantedFault.h"
#include "config/Catalogue.h"
#include "engine/EngineApi.h"

namespace fernlift::cell
{

/// A runner in the replicated state.
struct Runner
{
    engine::Machine machine;
    base::Incarnation incarnation = 0;
    bool isLeaving = false;   ///< Never reset within one incarnation.
    bool isDraining = false;  ///< Set by an operator; survives restarts of the runner.
    /// Earlier incarnations, latest last, bounded. Delayed observations of these are ignored.
    std::vector<base::Incarnation> formerIncarnations;

    [[nodiscard]] bool takesNewWork() const { return ! isLeaving && ! isDraining; }
    bool operator== (const Runner&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& machine& incarnation& isLeaving& isDraining& formerIncarnations;
    }
};

/// Stage of a replica, as decided and confirmed. In every stage the replica counts against its
/// bound and its memory is reserved.
enum class ReplicaStage : std::uint8_t
{
    kLoading,
    kReady,
    kUnloading
};

/// A replica whose load was granted.
struct Replica
{
    base::ReplicaId id =
        0;  ///< Log index of the decision to load; also the fence of the load order.
    base::ModelName model;
    std::string version;
    base::AdapterName adapter;        ///< Empty for a base model.
    base::ReplicaId baseReplica = 0;  ///< Replica of the base model; adapters only.
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    engine::Megabytes memory = 0;
    ReplicaStage stage = ReplicaStage::kLoading;
    base::Fence fence = 0;  ///< Log index of the last decision about the replica.
    base::UnixMilliseconds decidedAt = 0;
    base::UnixMilliseconds readyAt = 0;

    [[nodiscard]] bool isAdapter() const { return ! adapter.empty(); }
    /// Name by which callers request the replica's model or adapter.
    [[nodiscard]] const std::string& target() const
    {
        return isAdapter() ? adapter.value : model.value;
    }
    bool operator== (const Replica&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& model& version& adapter& baseReplica& runner& incarnation& memory& stage&
            fence& decidedAt& readyAt;
    }
};

/// Reason for which a decision to load was refused.
enum class LoadRefusal : std::uint8_t
{
    kNone,
    kNoConfiguration,
    kUnknownTarget,
    kUnknownRunner,
    kWrongIncarnation,
    kRunnerNotAvailable,  ///< Leaving, draining or not a model runner.
    kZoneNotAllowed,
    kReplicaBound,
    kMemory,
    kBaseNotReady,
};
[[nodiscard]] std::string_view toString (LoadRefusal refusal);

enum class UnloadRefusal : std::uint8_t
{
    kNone,
    kUnknownReplica,  ///< The log index may still serve as fence for an orphaned replica.
    kHasAdapters,     ///< The adapters on the replica must be unloaded first.
};
[[nodiscard]] std::string_view toString (UnloadRefusal refusal);

/// Table of runners and replicas. Changed only by commands, in log order.
class ReplicaTable
{
public:
    explicit ReplicaTable (PlantedFault fault = PlantedFault::kNone) : m_fault (fault) {}

    /// Replaces the runners and replicas with those of `other`.
    void replaceWith (ReplicaTable other);

    /// Returns whether anything changed. The removed replicas are appended to `released`.
    bool observe (const ObserveRunner& command, std::vector<Replica>* released);
    bool removeRunner (const base::RunnerId& runner, std::vector<Replica>* released);
    bool setDraining (const base::RunnerId& runner, bool isDraining);

    LoadRefusal load (base::LogIndex index, const DecideLoad& command,
                      const config::Catalogue* catalogue);
    /// For a replica that is already unloading, only the fence is updated.
    UnloadRefusal unload (base::LogIndex index, base::ReplicaId replica);
    bool ready (base::ReplicaId replica, base::UnixMilliseconds at);
    /// Only a replica whose unload was decided can be released. The unload order has raised the
    /// fence at the runner above that of the load, so that a delayed load order cannot load the
    /// replica again.
    bool release (base::ReplicaId replica);

    [[nodiscard]] const std::map<base::RunnerId, Runner>& runners() const { return m_runners; }
    [[nodiscard]] const std::map<base::ReplicaId, Replica>& replicas() const { return m_replicas; }
    [[nodiscard]] const Runner* findRunner (const base::RunnerId& runner) const;
    [[nodiscard]] const Replica* findReplica (base::ReplicaId replica) const;
    /// Replicas on a runner, ordered by id.
    [[nodiscard]] const std::set<base::ReplicaId>& replicasOn (const base::RunnerId& runner) const;
    /// Number of replicas of a model or adapter that count against its bound. The replicas of an
    /// adapter are counted over all base models, because a new configuration may have moved the
    /// adapter to another base model.
    [[nodiscard]] std::uint32_t count (const std::string& target) const;
    [[nodiscard]] engine::Megabytes reservedMemory (const base::RunnerId& runner) const;
    [[nodiscard]] bool hasAdapters (base::ReplicaId replica) const;

    bool operator== (const ReplicaTable& other) const
    {
        return m_runners == other.m_runners && m_replicas == other.m_replicas;
    }

    template <class Archive>
    void save (Archive& archive, unsigned /*version*/) const
    {
        archive& m_runners& m_replicas;
    }
    template <class Archive>
    void load (Archive& archive, unsigned /*version*/)
    {
        archive& m_runners& m_replicas;
        rebuildIndexes();
    }
    BOOST_SERIALIZATION_SPLIT_MEMBER()

private:
    struct RunnerUse
    {
        std::set<base::ReplicaId> replicas;
        engine::Megabytes reserved = 0;
    };
    /// Requirements of a load according to the catalogue.
    struct Requirement
    {
        std::string version;
        engine::Megabytes memory = 0;
        std::uint32_t maximumReplicas = 0;
    };

    LoadRefusal checkTarget (const DecideLoad& command, const config::Catalogue& catalogue,
                             Requirement* requirement) const;
    LoadRefusal checkRunner (const DecideLoad& command, const config::Catalogue& catalogue) const;
    LoadRefusal checkCapacity (const DecideLoad& command, const Requirement& requirement) const;
    /// Memory of a runner that is not available to a new load.
    [[nodiscard]] engine::Megabytes unavailableMemory (const base::RunnerId& runner) const;
    void insert (const Replica& replica);
    void erase (base::ReplicaId replica);
    void eraseAllOn (const base::RunnerId& runner, std::vector<Replica>* released);
    void rebuildIndexes();

    PlantedFault m_fault;
    std::map<base::RunnerId, Runner> m_runners;
    std::map<base::ReplicaId, Replica> m_replicas;
    // Derived from m_runners and m_replicas.
    std::map<base::RunnerId, RunnerUse> m_uses;
    std::map<std::string, std::uint32_t> m_counts;  ///< Number of replicas by target.
    std::map<base::ReplicaId, std::uint32_t> m_adaptersOn;
};

}  // namespace fernlift::cell
