#include "lab/FleetPlan.h"

#include <sstream>

namespace fernlift::lab
{
namespace
{

constexpr std::uint32_t kEngineAccelerators = 1;

std::string joined (const std::vector<std::string>& parts, std::string_view separator)
{
    std::string text;
    for (const std::string& part : parts)
    {
        text += (text.empty() ? "" : std::string (separator)) + part;
    }
    return text;
}

/// Builds the plans of one fleet in the order in which they start.
class Planner
{
public:
    Planner (const FleetSpec& spec, const FleetFolders& folders, PortReservations& ports)
        : spec_ (spec), folders_ (folders), ports_ (ports)
    {
    }

    base::Result<std::vector<NodePlan>> plan()
    {
        BOOST_LEAF_CHECK (reserveAddresses());
        BOOST_LEAF_CHECK (planProxies());
        planWeightStore();
        for (std::size_t index = 0; index < spec_.engines.size(); ++index)
        {
            planEngine (spec_.engines[index], engineAddresses_[index]);
        }
        for (std::size_t index = 0; index < spec_.applicationRunners.size(); ++index)
        {
            planApplicationRunner (spec_.applicationRunners[index], applicationAddresses_[index]);
        }
        planMachineList();
        for (std::size_t index = 0; index < spec_.controllers.size(); ++index)
        {
            planController (index);
        }
        for (std::size_t index = 0; index < spec_.routers.size(); ++index)
        {
            planRouter (spec_.routers[index], routerAddresses_[index]);
        }
        return std::move (plans_);
    }

private:
    base::Result<void> reserveAddresses()
    {
        BOOST_LEAF_ASSIGN (weightsAddress_, ports_.reserve());
        BOOST_LEAF_ASSIGN (machinesAddress_, ports_.reserve());
        BOOST_LEAF_CHECK (reserveFor (spec_.engines.size(), engineAddresses_));
        BOOST_LEAF_CHECK (reserveFor (spec_.applicationRunners.size(), applicationAddresses_));
        BOOST_LEAF_CHECK (reserveFor (spec_.controllers.size(), controllerHttpAddresses_));
        BOOST_LEAF_CHECK (reserveFor (spec_.controllers.size(), controllerPeerAddresses_));
        return reserveFor (spec_.routers.size(), routerAddresses_);
    }

    base::Result<void> reserveFor (std::size_t count, std::vector<base::SocketAddress>& addresses)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            BOOST_LEAF_AUTO (address, ports_.reserve());
            addresses.push_back (address);
        }
        return {};
    }

    /// Plans the fault proxies and fills in which addresses are used in place of the real ones.
    base::Result<void> planProxies()
    {
        for (std::size_t index = 0; index < spec_.engines.size(); ++index)
        {
            const EngineSpec& engine = spec_.engines[index];
            BOOST_LEAF_CHECK (
                planProxy (engine.id.value, engine.hasFaultProxy, engineAddresses_[index]));
        }
        for (std::size_t index = 0; index < spec_.applicationRunners.size(); ++index)
        {
            const ApplicationRunnerSpec& runner = spec_.applicationRunners[index];
            BOOST_LEAF_CHECK (
                planProxy (runner.id.value, runner.hasFaultProxy, applicationAddresses_[index]));
        }
        for (std::size_t index = 0; index < spec_.controllers.size(); ++index)
        {
            const ControllerSpec& controller = spec_.controllers[index];
            BOOST_LEAF_CHECK (planProxy (controllerName (controller.id), controller.hasFaultProxy,
                                         controllerPeerAddresses_[index]));
        }
        for (std::size_t index = 0; index < spec_.routers.size(); ++index)
        {
            const RouterSpec& router = spec_.routers[index];
            BOOST_LEAF_CHECK (
                planProxy (router.id.value, router.hasFaultProxy, routerAddresses_[index]));
        }
        return {};
    }

    base::Result<void> planProxy (const std::string& node, bool hasFaultProxy,
                                  const base::SocketAddress& target)
    {
        callerAddresses_[node] = target;
        if (! hasFaultProxy)
        {
            return {};
        }
        BOOST_LEAF_AUTO (listenAddress, ports_.reserve());
        BOOST_LEAF_AUTO (commandAddress, ports_.reserve());
        callerAddresses_[node] = listenAddress;
        add (proxyName (node), NodeRole::kFaultProxy, commandAddress, "fernlift-faultproxy",
             { "--listen-address", listenAddress.toString(), "--target-address", target.toString(),
               "--http-address", commandAddress.toString() },
             {});
        return {};
    }

    void planWeightStore()
    {
        std::ostringstream rate;
        rate << spec_.weightStore.loadsPerSecond;
        add ("weights", NodeRole::kWeightStore, weightsAddress_, "fernlift-standin",
             { "weights", "--http-address", weightsAddress_.toString(), "--loads-per-second",
               rate.str(), "--full-speed-transfers",
               std::to_string (spec_.weightStore.concurrentLoads), "--time-scale", timeScale() },
             spec_.extraFlags.weights);
    }

    void planEngine (const EngineSpec& engine, const base::SocketAddress& address)
    {
        add (engine.id.value, NodeRole::kEngine, address, "fernlift-standin",
             { "engine", "--runner", engine.id.value, "--http-address", address.toString(),
               "--memory-mb", std::to_string (engine.memoryMegabytes), "--slots",
               std::to_string (engine.slots), "--weight-store", weightsAddress_.toString(),
               "--time-scale", timeScale(), "--ledger-file",
               ledgerFile (folders_, engine.id.value) },
             spec_.extraFlags.engines);
    }

    void planApplicationRunner (const ApplicationRunnerSpec& runner,
                                const base::SocketAddress& address)
    {
        add (runner.id.value, NodeRole::kApplicationRunner, address, "fernlift-standin",
             { "application", "--runner", runner.id.value, "--http-address", address.toString(),
               "--slots", std::to_string (runner.slots), "--time-scale", timeScale(),
               "--ledger-file", ledgerFile (folders_, runner.id.value) },
             spec_.extraFlags.applications);
    }

    void planMachineList()
    {
        std::vector<std::string> arguments{ "machines", "--http-address",
                                            machinesAddress_.toString(), "--time-scale",
                                            timeScale() };
        for (std::size_t index = 0; index < spec_.engines.size(); ++index)
        {
            const EngineSpec& engine = spec_.engines[index];
            arguments.emplace_back ("--machine");
            arguments.push_back (engine.id.value + ",model," + engine.zone.value + ","
                                 + callerAddresses_.at (engine.id.value).toString() + ","
                                 + std::to_string (engine.memoryMegabytes) + ","
                                 + std::to_string (kEngineAccelerators));
        }
        for (std::size_t index = 0; index < spec_.applicationRunners.size(); ++index)
        {
            const ApplicationRunnerSpec& runner = spec_.applicationRunners[index];
            arguments.emplace_back ("--machine");
            arguments.push_back (runner.id.value + ",application," + runner.zone.value + ","
                                 + callerAddresses_.at (runner.id.value).toString() + ",0,0,"
                                 + joined (runner.applications, "+"));
        }
        add ("machines", NodeRole::kMachineList, machinesAddress_, "fernlift-standin", arguments,
             spec_.extraFlags.machines);
    }

    void planController (std::size_t index)
    {
        const ControllerSpec& controller = spec_.controllers[index];
        const std::string name = controllerName (controller.id);
        std::vector<std::string> arguments = controllerArguments (
            spec_, controller, controllerPeerAddresses_[index], controllerHttpAddresses_[index],
            folders_.run + "/data/" + name, machinesAddress_);
        for (std::size_t member = 0; member < spec_.controllers.size(); ++member)
        {
            arguments.emplace_back ("--members");
            arguments.push_back (memberText (spec_.controllers[member],
                                             controllerPeerAddresses_[member],
                                             controllerHttpAddresses_[member]));
        }
        add (name, NodeRole::kController, controllerHttpAddresses_[index], "fernlift-controller",
             std::move (arguments), spec_.extraFlags.controllers);
        plans_.back().peerAddress = controllerPeerAddresses_[index];
        plans_.back().firstStartFlags = { "--bootstrap" };
        plans_.back().dataFolder = folders_.run + "/data/" + name;
    }

    void planRouter (const RouterSpec& router, const base::SocketAddress& address)
    {
        std::vector<std::string> arguments{ "--id",           router.id.value,   "--cell",
                                            spec_.cell.value, "--zone",          router.zone.value,
                                            "--http-address", address.toString() };
        for (const ControllerSpec& controller : spec_.controllers)
        {
            arguments.emplace_back ("--controllers");
            arguments.push_back (callerAddresses_.at (controllerName (controller.id)).toString());
        }
        add (router.id.value, NodeRole::kRouter, address, "fernlift-router", std::move (arguments),
             spec_.extraFlags.routers);
    }

    void add (const std::string& name, NodeRole role, const base::SocketAddress& address,
              const std::string& program, std::vector<std::string> arguments,
              const std::vector<std::string>& extraFlags)
    {
        arguments.insert (arguments.end(), extraFlags.begin(), extraFlags.end());
        NodePlan plan;
        plan.name = name;
        plan.role = role;
        plan.httpAddress = address;
        // The proxy of a controller is before its peer address.
        const auto known = callerAddresses_.find (name);
        const bool isProxied = known != callerAddresses_.end() && role != NodeRole::kController;
        plan.callerAddress = isProxied ? known->second : address;
        plan.process = { folders_.programs + "/" + program, std::move (arguments),
                         folders_.run + "/logs/" + name + ".log" };
        plans_.push_back (std::move (plan));
    }

    [[nodiscard]] std::string timeScale() const
    {
        std::ostringstream text;
        text << spec_.timeScale;
        return text.str();
    }

    const FleetSpec& spec_;
    const FleetFolders& folders_;
    PortReservations& ports_;
    base::SocketAddress weightsAddress_;
    base::SocketAddress machinesAddress_;
    std::vector<base::SocketAddress> engineAddresses_;
    std::vector<base::SocketAddress> applicationAddresses_;
    std::vector<base::SocketAddress> controllerHttpAddresses_;
    std::vector<base::SocketAddress> controllerPeerAddresses_;
    std::vector<base::SocketAddress> routerAddresses_;
    std::map<std::string, base::SocketAddress> callerAddresses_;  ///< By name of the node.
    std::vector<NodePlan> plans_;
};

}  // namespace

std::string_view nameOf (NodeRole role)
{
    switch (role)
    {
        case NodeRole::kWeightStore:
            return "weight_store";
        case NodeRole::kMachineList:
            return "machine_list";
        case NodeRole::kEngine:
            return "engine";
        case NodeRole::kApplicationRunner:
            return "application_runner";
        case NodeRole::kController:
            return "controller";
        case NodeRole::kRouter:
            return "router";
        case NodeRole::kFaultProxy:
            return "fault_proxy";
    }
    return "";
}

std::string ledgerFile (const FleetFolders& folders, const std::string& node)
{
    return folders.run + "/ledgers/" + node + ".jsonl";
}

std::string proxyName (const std::string& node) { return "proxy-" + node; }

std::string controllerName (base::MemberId id) { return "controller-" + std::to_string (id); }

std::string memberText (const ControllerSpec& controller, const base::SocketAddress& peerAddress,
                        const base::SocketAddress& httpAddress)
{
    return std::to_string (controller.id) + "=" + peerAddress.toString() + "="
           + httpAddress.toString() + "=" + controller.zone.value;
}

std::vector<std::string> controllerArguments (const FleetSpec& spec,
                                              const ControllerSpec& controller,
                                              const base::SocketAddress& peerAddress,
                                              const base::SocketAddress& httpAddress,
                                              const std::string& dataFolder,
                                              const base::SocketAddress& machinesAddress)
{
    return { "--id",
             std::to_string (controller.id),
             "--cell",
             spec.cell.value,
             "--zone",
             controller.zone.value,
             "--data-dir",
             dataFolder,
             "--peer-address",
             peerAddress.toString(),
             "--http-address",
             httpAddress.toString(),
             "--machines-address",
             machinesAddress.toString() };
}

base::Result<std::vector<NodePlan>> planFleet (const FleetSpec& spec, const FleetFolders& folders,
                                               PortReservations& ports)
{
    return Planner (spec, folders, ports).plan();
}

}  // namespace fernlift::lab
