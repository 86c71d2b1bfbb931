#pragma once

/// Runners and replicas of a cell, with the bound on replicas and the reservation of memory.

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

/// A runner as the cell knows it.
struct Runner
{
    engine::Machine machine;
    base::Incarnation incarnation = 0;
    bool isLeaving = false;   ///< Never taken back within one incarnation.
    bool isDraining = false;  ///< By an operator's wish; survives restarts of the runner.
    /// Earlier incarnations, latest last and bounded; a delayed sign of one is ignored.
    std::vector<base::Incarnation> formerIncarnations;

    [[nodiscard]] bool takesNewWork() const { return ! isLeaving && ! isDraining; }
    bool operator== (const Runner&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& machine& incarnation& isLeaving& isDraining& formerIncarnations;
    }
};

/// Where a replica stands, as decided and confirmed. In every phase it counts against the bound
/// and its memory is reserved.
enum class ReplicaStage : std::uint8_t
{
    kLoading,
    kReady,
    kUnloading
};

/// One decided replica.
struct Replica
{
    base::ReplicaId id = 0;  ///< Log index of the decision to load; also that order's fence.
    base::ModelName model;
    std::string version;
    base::AdapterName adapter;        ///< Empty for a base model.
    base::ReplicaId baseReplica = 0;  ///< Adapters only.
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    engine::Megabytes memory = 0;
    ReplicaStage stage = ReplicaStage::kLoading;
    base::Fence fence = 0;  ///< Log index of the last decision about it.
    base::UnixMilliseconds decidedAt = 0;
    base::UnixMilliseconds readyAt = 0;

    [[nodiscard]] bool isAdapter() const { return ! adapter.empty(); }
    /// Name by which callers ask for it.
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

/// Why a decision to load was not applied.
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
[[nodiscard]] std::string_view nameOf (LoadRefusal refusal);

enum class UnloadRefusal : std::uint8_t
{
    kNone,
    kUnknownReplica,  ///< The index may still serve as fence for a replica nobody decided.
    kAdaptersRide,    ///< Adapters on it must be unloaded first.
};
[[nodiscard]] std::string_view nameOf (UnloadRefusal refusal);

/// The table. All changes go through commands, in log order.
class ReplicaTable
{
public:
    explicit ReplicaTable (PlantedFault fault = PlantedFault::kNone) : m_fault (fault) {}

    /// Takes over the runners and replicas of `other`.
    void replaceWith (ReplicaTable other);

    /// Returns whether anything changed; `released` receives the replicas that are gone.
    bool observe (const ObserveRunner& command, std::vector<Replica>* released);
    bool removeRunner (const base::RunnerId& runner, std::vector<Replica>* released);
    bool setDraining (const base::RunnerId& runner, bool isDraining);

    LoadRefusal load (base::LogIndex index, const DecideLoad& command,
                      const config::Catalogue* catalogue);
    /// On a replica that is already unloading, only its fence is renewed.
    UnloadRefusal unload (base::LogIndex index, base::ReplicaId replica);
    bool ready (base::ReplicaId replica, base::UnixMilliseconds at);
    /// Only a replica whose unload was decided can be released: its order raised the runner's fence
    /// above the load, so that a delayed load order cannot bring it back.
    bool release (base::ReplicaId replica);

    [[nodiscard]] const std::map<base::RunnerId, Runner>& runners() const { return m_runners; }
    [[nodiscard]] const std::map<base::ReplicaId, Replica>& replicas() const { return m_replicas; }
    [[nodiscard]] const Runner* findRunner (const base::RunnerId& runner) const;
    [[nodiscard]] const Replica* findReplica (base::ReplicaId replica) const;
    /// Replicas on a runner, in the order of their ids.
    [[nodiscard]] const std::set<base::ReplicaId>& replicasOn (const base::RunnerId& runner) const;
    /// Replicas of a model or adapter that count against its bound. An adapter's replicas count
    /// together, whatever base they ride on: a new configuration may have moved it to another one.
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
    /// What a load needs according to the catalogue.
    struct Requirement
    {
        std::string version;
        engine::Megabytes memory = 0;
        std::uint32_t maximumReplicas = 0;
    };

    LoadRefusal checkTarget (const DecideLoad& command, const config::Catalogue& catalogue,
                             Requirement* requirement) const;
    LoadRefusal checkRunner (const DecideLoad& command, const config::Catalogue& catalogue) const;
    LoadRefusal checkRoom (const DecideLoad& command, const Requirement& requirement) const;
    /// Memory that a load on a runner has to leave alone.
    [[nodiscard]] engine::Megabytes memoryInTheWay (const base::RunnerId& runner) const;
    void insert (const Replica& replica);
    void erase (base::ReplicaId replica);
    void eraseAllOn (const base::RunnerId& runner, std::vector<Replica>* released);
    void rebuildIndexes();

    PlantedFault m_fault;
    std::map<base::RunnerId, Runner> m_runners;
    std::map<base::ReplicaId, Replica> m_replicas;
    // Derived from the two above.
    std::map<base::RunnerId, RunnerUse> m_uses;
    std::map<std::string, std::uint32_t> m_counts;  ///< By target.
    std::map<base::ReplicaId, std::uint32_t> m_adaptersOn;
};

}  // namespace fernlift::cell
