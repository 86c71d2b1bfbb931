#include "sim/World.h"

#include "sim/ApplicationNode.h"
#include "sim/Callers.h"
#include "sim/ConfigurationChecker.h"
#include "sim/ConsensusChecker.h"
#include "sim/ControllerNode.h"
#include "sim/EngineNode.h"
#include "sim/FaultPlan.h"
#include "sim/LeavingChecker.h"
#include "sim/Operators.h"
#include "sim/Platform.h"
#include "sim/ReplicaChecker.h"
#include "sim/RouterNode.h"

namespace fernlift::sim
{
namespace
{

constexpr double kMaxDrift = 500e-6;

std::size_t countNodes (const SimulationOptions& options)
{
    constexpr std::size_t kPlatformAndOperators = 2;
    return options.controllers + options.routers + options.engines + options.applications
           + kPlatformAndOperators;
}

}  // namespace

World::World (const SimulationOptions& simulationOptions)
    : options (simulationOptions),
      random (simulationOptions.seed),
      trace (simulationOptions.traceLines),
      network (queue, random, countNodes (simulationOptions)),
      violations (queue, trace)
{
}

World::~World() = default;

ControllerNode* World::controllerAt (const std::string& address) const
{
    const auto found = controllersByAddress.find (address);
    return found == controllersByAddress.end() ? nullptr : found->second;
}

BackEnd* World::backEndAt (const std::string& address) const
{
    const auto found = backEndsByAddress.find (address);
    return found == backEndsByAddress.end() ? nullptr : found->second;
}

ControllerNode* World::leader() const
{
    for (const auto& controller : controllers)
    {
        if (controller->leadsNow())
            return controller.get();
    }
    return nullptr;
}

double drawDrift (base::Random& random) { return (random.uniformReal() * 2 - 1) * kMaxDrift; }

}  // namespace fernlift::sim
