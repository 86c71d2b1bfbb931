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
        : m_spec (spec), m_folders (folders), m_ports (ports)
    {
    }

    base::Result<std::vector<NodePlan>> plan()
    {
        BOOST_LEAF_CHECK (reserveAddresses());
        BOOST_LEAF_CHECK (planProxies());
        planWeightStore();
        for (std::size_t index = 0; index < m_spec.engines.size(); ++index)
        {
            planEngine (m_spec.engines[index], m_engineAddresses[index]);
        }
        for (std::size_t index = 0; index < m_spec.applicationRunners.size(); ++index)
        {
            planApplicationRunner (m_spec.applicationRunners[index], m_applicationAddresses[index]);
        }
        planMachineList();
        for (std::size_t index = 0; index < m_spec.controllers.size(); ++index)
        {
            planController (index);
        }
        for (std::size_t index = 0; index < m_spec.routers.size(); ++index)
        {
            planRouter (m_spec.routers[index], m_routerAddresses[index]);
        }
        return std::move (m_plans);
    }

private:
    base::Result<void> reserveAddresses()
    {
        BOOST_LEAF_ASSIGN (m_weightsAddress, m_ports.reserve());
        BOOST_LEAF_ASSIGN (m_machinesAddress, m_ports.reserve());
        BOOST_LEAF_CHECK (reserveFor (m_spec.engines.size(), m_engineAddresses));
        BOOST_LEAF_CHECK (reserveFor (m_spec.applicationRunners.size(), m_applicationAddresses));
        BOOST_LEAF_CHECK (reserveFor (m_spec.controllers.size(), m_controllerHttpAddresses));
        BOOST_LEAF_CHECK (reserveFor (m_spec.controllers.size(), m_controllerPeerAddresses));
        return reserveFor (m_spec.routers.size(), m_routerAddresses);
    }

    base::Result<void> reserveFor (std::size_t count, std::vector<base::SocketAddress>& addresses)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            BOOST_LEAF_AUTO (address, m_ports.reserve());
            addresses.push_back (address);
        }
        return {};
    }

    /// Plans the fault proxies and records the addresses that replace those of the processes.
    base::Result<void> planProxies()
    {
        for (std::size_t index = 0; index < m_spec.engines.size(); ++index)
        {
            const EngineSpec& engine = m_spec.engines[index];
            BOOST_LEAF_CHECK (
                planProxy (engine.id.value, engine.hasFaultProxy, m_engineAddresses[index]));
        }
        for (std::size_t index = 0; index < m_spec.applicationRunners.size(); ++index)
        {
            const ApplicationRunnerSpec& runner = m_spec.applicationRunners[index];
            BOOST_LEAF_CHECK (
                planProxy (runner.id.value, runner.hasFaultProxy, m_applicationAddresses[index]));
        }
        for (std::size_t index = 0; index < m_spec.controllers.size(); ++index)
        {
            const ControllerSpec& controller = m_spec.controllers[index];
            BOOST_LEAF_CHECK (planProxy (controllerName (controller.id), controller.hasFaultProxy,
                                         m_controllerPeerAddresses[index]));
        }
        for (std::size_t index = 0; index < m_spec.routers.size(); ++index)
        {
            const RouterSpec& router = m_spec.routers[index];
            BOOST_LEAF_CHECK (
                planProxy (router.id.value, router.hasFaultProxy, m_routerAddresses[index]));
        }
        return {};
    }

    base::Result<void> planProxy (const std::string& node, bool hasFaultProxy,
                                  const base::SocketAddress& target)
    {
        m_callerAddresses[node] = target;
        if (! hasFaultProxy)
        {
            return {};
        }
        BOOST_LEAF_AUTO (listenAddress, m_ports.reserve());
        BOOST_LEAF_AUTO (commandAddress, m_ports.reserve());
        m_callerAddresses[node] = listenAddress;
        add (proxyName (node), NodeRole::kFaultProxy, commandAddress, "fernlift-faultproxy",
             { "--listen-address", listenAddress.toString(), "--target-address", target.toString(),
               "--http-address", commandAddress.toString() },
             {});
        return {};
    }

    void planWeightStore()
    {
        std::ostringstream rate;
        rate << m_spec.weightStore.loadsPerSecond;
        add ("weights", NodeRole::kWeightStore, m_weightsAddress, "fernlift-standin",
             { "weights", "--http-address", m_weightsAddress.toString(), "--loads-per-second",
               rate.str(), "--full-speed-transfers",
               std::to_string (m_spec.weightStore.concurrentLoads), "--time-scale", timeScale() },
             m_spec.extraFlags.weights);
    }

    void planEngine (const EngineSpec& engine, const base::SocketAddress& address)
    {
        add (engine.id.value, NodeRole::kEngine, address, "fernlift-standin",
             { "engine", "--runner", engine.id.value, "--http-address", address.toString(),
               "--memory-mb", std::to_string (engine.memoryMegabytes), "--slots",
               std::to_string (engine.slots), "--weight-store", m_weightsAddress.toString(),
               "--time-scale", timeScale(), "--ledger-file",
               ledgerFile (m_folders, engine.id.value) },
             m_spec.extraFlags.engines);
    }

    void planApplicationRunner (const ApplicationRunnerSpec& runner,
                                const base::SocketAddress& address)
    {
        add (runner.id.value, NodeRole::kApplicationRunner, address, "fernlift-standin",
             { "application", "--runner", runner.id.value, "--http-address", address.toString(),
               "--slots", std::to_string (runner.slots), "--time-scale", timeScale(),
               "--ledger-file", ledgerFile (m_folders, runner.id.value) },
             m_spec.extraFlags.applications);
    }

    void planMachineList()
    {
        std::vector<std::string> arguments{ "machines", "--http-address",
                                            m_machinesAddress.toString(), "--time-scale",
                                            timeScale() };
        for (std::size_t index = 0; index < m_spec.engines.size(); ++index)
        {
            const EngineSpec& engine = m_spec.engines[index];
            arguments.emplace_back ("--machine");
            arguments.push_back (engine.id.value + ",model," + engine.zone.value + ","
                                 + m_callerAddresses.at (engine.id.value).toString() + ","
                                 + std::to_string (engine.memoryMegabytes) + ","
                                 + std::to_string (kEngineAccelerators));
        }
        for (std::size_t index = 0; index < m_spec.applicationRunners.size(); ++index)
        {
            const ApplicationRunnerSpec& runner = m_spec.applicationRunners[index];
            arguments.emplace_back ("--machine");
            arguments.push_back (runner.id.value + ",application," + runner.zone.value + ","
                                 + m_callerAddresses.at (runner.id.value).toString() + ",0,0,"
                                 + joined (runner.applications, "+"));
        }
        add ("machines", NodeRole::kMachineList, m_machinesAddress, "fernlift-standin", arguments,
             m_spec.extraFlags.machines);
    }

    void planController (std::size_t index)
    {
        const ControllerSpec& controller = m_spec.controllers[index];
        const std::string name = controllerName (controller.id);
        std::vector<std::string> arguments = controllerArguments (
            m_spec, controller, m_controllerPeerAddresses[index], m_controllerHttpAddresses[index],
            m_folders.run + "/data/" + name, m_machinesAddress);
        for (std::size_t member = 0; member < m_spec.controllers.size(); ++member)
        {
            arguments.emplace_back ("--members");
            arguments.push_back (memberText (m_spec.controllers[member],
                                             m_controllerPeerAddresses[member],
                                             m_controllerHttpAddresses[member]));
        }
        add (name, NodeRole::kController, m_controllerHttpAddresses[index], "fernlift-controller",
             std::move (arguments), m_spec.extraFlags.controllers);
        m_plans.back().peerAddress = m_controllerPeerAddresses[index];
        m_plans.back().firstStartFlags = { "--bootstrap" };
        m_plans.back().dataFolder = m_folders.run + "/data/" + name;
    }

    void planRouter (const RouterSpec& router, const base::SocketAddress& address)
    {
        std::vector<std::string> arguments{ "--id",           router.id.value,
                                            "--cell",         m_spec.cell.value,
                                            "--zone",         router.zone.value,
                                            "--http-address", address.toString() };
        for (const ControllerSpec& controller : m_spec.controllers)
        {
            arguments.emplace_back ("--controllers");
            arguments.push_back (m_callerAddresses.at (controllerName (controller.id)).toString());
        }
        add (router.id.value, NodeRole::kRouter, address, "fernlift-router", std::move (arguments),
             m_spec.extraFlags.routers);
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
        // A controller's proxy forwards to its peer address.
        const auto known = m_callerAddresses.find (name);
        const bool isProxied = known != m_callerAddresses.end() && role != NodeRole::kController;
        plan.callerAddress = isProxied ? known->second : address;
        plan.process = { m_folders.programs + "/" + program, std::move (arguments),
                         m_folders.run + "/logs/" + name + ".log" };
        m_plans.push_back (std::move (plan));
    }

    [[nodiscard]] std::string timeScale() const
    {
        std::ostringstream text;
        text << m_spec.timeScale;
        return text.str();
    }

    const FleetSpec& m_spec;
    const FleetFolders& m_folders;
    PortReservations& m_ports;
    base::SocketAddress m_weightsAddress;
    base::SocketAddress m_machinesAddress;
    std::vector<base::SocketAddress> m_engineAddresses;
    std::vector<base::SocketAddress> m_applicationAddresses;
    std::vector<base::SocketAddress> m_controllerHttpAddresses;
    std::vector<base::SocketAddress> m_controllerPeerAddresses;
    std::vector<base::SocketAddress> m_routerAddresses;
    std::map<std::string, base::SocketAddress> m_callerAddresses;  ///< Key: name of the node.
    std::vector<NodePlan> m_plans;
};

}  // namespace

std::string_view toString (NodeRole role)
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
