#pragma once

/// Test support: a simulated cell that applies the decisions of placement round by round.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/Placement.h"

namespace fernlift::placement::test
{

/// Owns a snapshot and applies the loads and unloads that decide() returns to it.
class TestWorld
{
public:
    static constexpr int kRoundsToLoad = 3;
    static constexpr base::Duration kRound = base::seconds (1);

    TestWorld();

    config::Model& addModel (const std::string& name, engine::Megabytes memory, std::uint32_t bound,
                             const std::string& requestClass = "normal");
    config::Adapter& addAdapter (const std::string& name, const std::string& model,
                                 engine::Megabytes memory, std::uint32_t bound);
    RunnerView& addRunner (const std::string& name, engine::Megabytes memory,
                           const std::string& zone = "z1");
    /// Adds a replica, by default a loaded one, and returns its id.
    base::ReplicaId addReplica (const std::string& target, const std::string& runner,
                                cell::ReplicaStage stage = cell::ReplicaStage::kReady,
                                base::ReplicaId baseReplica = 0);
    void setDemand (const std::string& target, std::uint32_t waiting, std::uint32_t running = 0,
                    int urgency = 5);
    void setCheckpoint (const std::string& runner, const std::string& target,
                        engine::CheckpointPlace place);

    ReplicaView& replica (base::ReplicaId id);
    RunnerView& runner (const std::string& name);

    /// Decisions on the current snapshot; they are not applied.
    std::vector<Decision> decide();
    std::vector<LoadDecision> loads();
    std::vector<UnloadDecision> unloads();
    /// Decides, applies the decisions and advances one round. Loads become ready after
    /// kRoundsToLoad rounds, unloads end after one. Returns the decisions.
    std::vector<Decision> step();
    /// The replica limit or runner memory that is exceeded; empty if none is.
    std::string violation() const;

    config::Catalogue catalogue;
    Snapshot snapshot;

private:
    void prepare();
    void apply (const Decision& decision);
    void advanceRound();

    std::map<std::string, std::map<std::string, engine::CheckpointPlace>> m_checkpoints;
    std::map<base::ReplicaId, int> m_roundsLoading;
    base::ReplicaId m_lastReplica = 0;
};

}  // namespace fernlift::placement::test
