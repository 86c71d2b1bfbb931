#include "lab/FleetFaults.h"

#include "lab/HttpCall.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kCommandTimeout = base::seconds (20);

base::Result<void> command (const Fleet& fleet, const std::string& node, const std::string& path,
                            const std::string& body)
{
    BOOST_LEAF_AUTO (address, fleet.httpAddress (node));
    const HttpOutcome outcome = callAndWait (
        { .address = address, .path = path, .body = body, .timeout = kCommandTimeout });
    if (outcome.end != CallEnd::kComplete || outcome.status != kOk)
    {
        return base::fail (base::ErrorKind::kInternal, node + " did not take " + path + " " + body
                                                           + ": " + std::to_string (outcome.status)
                                                           + " " + outcome.body);
    }
    return {};
}

bool hasStandinFaults (NodeRole role)
{
    return role == NodeRole::kEngine || role == NodeRole::kApplicationRunner
           || role == NodeRole::kWeightStore;
}

}  // namespace

base::Result<void> setProxyFaults (const Fleet& fleet, const std::string& node,
                                   const ProxyFaults& faults)
{
    return command (fleet, proxyName (node), "/faults", toJson (faults));
}

base::Result<void> resetProxyConnections (const Fleet& fleet, const std::string& node)
{
    return command (fleet, proxyName (node), "/reset", "");
}

base::Result<ProxyCounters> proxyCounters (const Fleet& fleet, const std::string& node)
{
    BOOST_LEAF_AUTO (address, fleet.httpAddress (proxyName (node)));
    const HttpOutcome outcome = callAndWait (
        { .address = address, .method = "GET", .path = "/counters", .timeout = kCommandTimeout });
    return parseProxyCounters (outcome.body);
}

base::Result<void> setStandinFault (const Fleet& fleet, const std::string& node,
                                    const std::string& json)
{
    return command (fleet, node, "/standin/faults", json);
}

base::Result<void> changeMachineList (const Fleet& fleet, const std::string& json)
{
    return command (fleet, "machines", "/standin/machines", json);
}

base::Result<void> clearFaults (Fleet& fleet)
{
    for (const NodeStatus& node : fleet.status())
    {
        if (node.state == NodeState::kFrozen)
        {
            BOOST_LEAF_CHECK (fleet.thaw (node.name));
        }
        if (node.state == NodeState::kEnded)
        {
            continue;
        }
        if (node.role == NodeRole::kFaultProxy)
        {
            BOOST_LEAF_CHECK (command (fleet, node.name, "/faults", toJson (ProxyFaults{})));
        }
        else if (hasStandinFaults (node.role))
        {
            BOOST_LEAF_CHECK (setStandinFault (fleet, node.name, R"({"fault":"clear"})"));
        }
    }
    return {};
}

}  // namespace fernlift::lab
