// Implementation of PlacementTestSupport.h; compiled into the test program only.

#include "placement/PlacementTestSupport.h"

namespace fernlift::placement::test
{
namespace
{

using cell::ReplicaStage;

config::RequestClass classOf (const std::string& name, int urgency)
{
    config::RequestClass requestClass;
    requestClass.name = base::RequestClassName (name);
    requestClass.urgency = urgency;
    return requestClass;
}

}  // namespace

TestWorld::TestWorld()
{
    catalogue.version = 1;
    catalogue.classes = { classOf ("urgent", 0), classOf ("normal", 5), classOf ("deep", 8) };
    catalogue.weightStore = { 100.0, 100 };
    snapshot.keepAlive = base::seconds (60);
}

config::Model& TestWorld::addModel (const std::string& name, engine::Megabytes memory,
                                    std::uint32_t bound, const std::string& requestClass)
{
    config::Model model;
    model.name = base::ModelName (name);
    model.version = "1";
    model.memory = memory;
    model.maxReplicas = bound;
    model.defaultClass = base::RequestClassName (requestClass);
    catalogue.models.push_back (model);
    return catalogue.models.back();
}

config::Adapter& TestWorld::addAdapter (const std::string& name, const std::string& model,
                                        engine::Megabytes memory, std::uint32_t bound)
{
    config::Adapter adapter;
    adapter.name = base::AdapterName (name);
    adapter.base = base::ModelName (model);
    adapter.memory = memory;
    adapter.maxReplicas = bound;
    adapter.defaultClass = base::RequestClassName ("normal");
    catalogue.adapters.push_back (adapter);
    return catalogue.adapters.back();
}

RunnerView& TestWorld::addRunner (const std::string& name, engine::Megabytes memory,
                                  const std::string& zone)
{
    RunnerView view;
    view.runner = base::RunnerId (name);
    view.incarnation = 1;
    view.zone = base::ZoneName (zone);
    view.totalMemory = memory;
    view.slots = 8;
    snapshot.runners.push_back (view);
    return snapshot.runners.back();
}

base::ReplicaId TestWorld::addReplica (const std::string& target, const std::string& runner,
                                       ReplicaStage stage, base::ReplicaId baseReplica)
{
    ReplicaView view;
    cell::Replica& replica = view.replica;
    replica.id = ++m_lastReplica;
    replica.runner = base::RunnerId (runner);
    replica.incarnation = 1;
    replica.version = "1";
    replica.stage = stage;
    replica.baseReplica = baseReplica;
    if (const auto* adapter = catalogue.findAdapter (base::AdapterName (target)))
    {
        replica.model = adapter->base;
        replica.adapter = adapter->name;
        replica.memory = adapter->memory;
    }
    else
    {
        replica.model = base::ModelName (target);
        replica.memory = catalogue.findModel (replica.model)->memory;
    }
    view.readyFor = base::seconds (stage == ReplicaStage::kReady ? 100 : 0);
    snapshot.replicas.push_back (view);
    return replica.id;
}

void TestWorld::setDemand (const std::string& target, std::uint32_t waiting, std::uint32_t running,
                           int urgency)
{
    if (waiting == 0 && running == 0)
    {
        snapshot.demands.erase (target);
        return;
    }
    TargetDemand& demand = snapshot.demands[target];
    demand.waiting = waiting;
    demand.running = running;
    demand.mostUrgent = urgency;
}

void TestWorld::setCheckpoint (const std::string& runner, const std::string& target,
                               engine::CheckpointPlace place)
{
    m_checkpoints[runner][target] = place;
}

ReplicaView& TestWorld::replica (base::ReplicaId id)
{
    return *std::find_if (snapshot.replicas.begin(), snapshot.replicas.end(),
                          [&] (const ReplicaView& view) { return view.replica.id == id; });
}

RunnerView& TestWorld::runner (const std::string& name)
{
    return *std::find_if (snapshot.runners.begin(), snapshot.runners.end(),
                          [&] (const RunnerView& view) { return view.runner.value == name; });
}

void TestWorld::prepare()
{
    snapshot.catalogue = &catalogue;
    for (RunnerView& runner : snapshot.runners)
    {
        runner.checkpoints = &m_checkpoints[runner.runner.value];
        runner.reservedMemory = 0;
        for (const ReplicaView& view : snapshot.replicas)
        {
            if (view.replica.runner == runner.runner)
                runner.reservedMemory += view.replica.memory;
        }
    }
}

std::vector<Decision> TestWorld::decide()
{
    prepare();
    return placement::decide (snapshot);
}

std::vector<LoadDecision> TestWorld::loads()
{
    std::vector<LoadDecision> loads;
    for (const Decision& decision : decide())
    {
        if (const auto* load = std::get_if<LoadDecision> (&decision))
            loads.push_back (*load);
    }
    return loads;
}

std::vector<UnloadDecision> TestWorld::unloads()
{
    std::vector<UnloadDecision> unloads;
    for (const Decision& decision : decide())
    {
        if (const auto* unload = std::get_if<UnloadDecision> (&decision))
            unloads.push_back (*unload);
    }
    return unloads;
}

std::vector<Decision> TestWorld::step()
{
    std::vector<Decision> decisions = decide();
    for (const Decision& decision : decisions)
        apply (decision);
    advanceRound();
    return decisions;
}

void TestWorld::apply (const Decision& decision)
{
    if (const auto* load = std::get_if<LoadDecision> (&decision))
    {
        const std::string& target = load->adapter.empty() ? load->model.value : load->adapter.value;
        const base::ReplicaId id =
            addReplica (target, load->runner.value, ReplicaStage::kLoading, load->baseReplica);
        m_roundsLoading[id] = 0;
        return;
    }
    replica (std::get<UnloadDecision> (decision).replica).replica.stage = ReplicaStage::kUnloading;
}

void TestWorld::advanceRound()
{
    std::erase_if (snapshot.replicas, [] (const ReplicaView& view)
                   { return view.replica.stage == ReplicaStage::kUnloading; });
    for (ReplicaView& view : snapshot.replicas)
    {
        view.idleFor += kRound;
        if (snapshot.demands.count (view.replica.target()) != 0)
            view.idleFor = {};
        if (view.replica.stage == ReplicaStage::kReady)
            view.readyFor += kRound;
        const bool isLoaded = view.replica.stage == ReplicaStage::kLoading
                              && ++m_roundsLoading[view.replica.id] >= kRoundsToLoad;
        if (isLoaded)
            view.replica.stage = ReplicaStage::kReady;
    }
}

std::string TestWorld::violation() const
{
    std::map<std::string, std::uint32_t> counts;
    std::map<base::RunnerId, engine::Megabytes> memory;
    for (const ReplicaView& view : snapshot.replicas)
    {
        ++counts[view.replica.target()];
        memory[view.replica.runner] += view.replica.memory;
    }
    for (const config::Model& model : catalogue.models)
    {
        if (counts[model.name.value] > model.maxReplicas)
            return "bound of " + model.name.value;
    }
    for (const config::Adapter& adapter : catalogue.adapters)
    {
        if (counts[adapter.name.value] > adapter.maxReplicas)
            return "bound of " + adapter.name.value;
    }
    for (const RunnerView& runner : snapshot.runners)
    {
        if (memory[runner.runner] > runner.totalMemory)
            return "memory of " + runner.runner.value;
    }
    return "";
}

}  // namespace fernlift::placement::test
