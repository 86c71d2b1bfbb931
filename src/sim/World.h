#pragma once

/// Shared state of one simulation, through which its parts find each other.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "sim/EventQueue.h"
#include "sim/Network.h"
#include "sim/SimulationOptions.h"
#include "sim/Trace.h"
#include "sim/Violations.h"

namespace fernlift::sim
{

class ControllerNode;
class RouterNode;
class EngineNode;
class ApplicationNode;
class BackEnd;
class Platform;
class Operators;
class Callers;
class ConsensusChecker;
class ReplicaChecker;
class ConfigurationChecker;
class LeavingChecker;
class FaultPlan;

struct World
{
    explicit World (const SimulationOptions& simulationOptions);
    ~World();
    World (const World&) = delete;
    World& operator= (const World&) = delete;

    [[nodiscard]] base::TimePoint now() const { return queue.now(); }
    void addToTrace (std::string text) { trace.add (queue.now(), std::move (text)); }
    [[nodiscard]] ControllerNode* controllerAt (const std::string& address) const;
    [[nodiscard]] BackEnd* backEndAt (const std::string& address) const;
    /// The controller that holds the leader's lease; null when there is none.
    [[nodiscard]] ControllerNode* leader() const;

    SimulationOptions options;
    EventQueue queue;
    base::Random random;
    Trace trace;
    Network network;
    Violations violations;

    std::unique_ptr<ConsensusChecker> consensus;
    std::unique_ptr<ReplicaChecker> replicas;
    std::unique_ptr<ConfigurationChecker> configuration;
    std::unique_ptr<LeavingChecker> leaving;

    std::unique_ptr<Platform> platform;
    std::vector<std::unique_ptr<ControllerNode>> controllers;
    std::vector<std::unique_ptr<EngineNode>> engines;
    std::vector<std::unique_ptr<ApplicationNode>> applications;
    std::vector<std::unique_ptr<RouterNode>> routers;
    std::unique_ptr<Operators> operators;
    std::unique_ptr<Callers> callers;
    std::unique_ptr<FaultPlan> faults;
    std::map<std::string, ControllerNode*> controllersByAddress;
    std::map<std::string, BackEnd*> backEndsByAddress;
};

/// Draws the clock drift of a process, at most 500 ppm in either direction.
[[nodiscard]] double drawDrift (base::Random& random);

}  // namespace fernlift::sim
