#include "lab/FleetProbes.h"

#include <QProcess>
#include <algorithm>
#include <charconv>
#include <cstdlib>

#include "engine/EngineApi.h"
#include "lab/EventWait.h"
#include "lab/HttpCall.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kCtlTimeout = base::seconds (60);
constexpr base::Duration kProbeTimeout = base::milliseconds (500);
constexpr base::Duration kProbeInterval = base::milliseconds (10);

HttpOutcome get (const base::SocketAddress& address, const std::string& path)
{
    return callAndWait (
        { .address = address, .method = "GET", .path = path, .timeout = kProbeTimeout });
}

bool areRoutersReady (const Fleet& fleet)
{
    for (const NodeStatus& node : fleet.status())
    {
        const bool isRunningRouter =
            node.role == NodeRole::kRouter && node.state == NodeState::kRunning;
        if (isRunningRouter && get (node.httpAddress, "/readyz").status != kOk)
        {
            return false;
        }
    }
    return true;
}

/// Returns the replicas of a target that one engine holds.
std::vector<engine::ReplicaReport> replicasAt (const base::SocketAddress& engineAddress,
                                               const std::string& target)
{
    const HttpOutcome outcome = get (engineAddress, "/standin/state");
    engine::Report report =
        base::handleErrors ([&] { return engine::parseReport (outcome.body); },
                            [] (const base::Error&) { return engine::Report(); });
    std::erase_if (
        report.replicas,
        [&] (const engine::ReplicaReport& replica) {
            return (replica.adapter.empty() ? replica.model.value : replica.adapter.value)
                   != target;
        });
    return report.replicas;
}

bool isReady (const engine::ReplicaReport& replica)
{
    return replica.phase == engine::ReplicaPhase::kReady;
}

std::vector<NodeStatus> runningEngines (const Fleet& fleet)
{
    std::vector<NodeStatus> engines = fleet.status();
    std::erase_if (engines, [] (const NodeStatus& node)
                   { return node.role != NodeRole::kEngine || node.state != NodeState::kRunning; });
    return engines;
}

}  // namespace

CtlOutcome runCtl (const Fleet& fleet, const std::vector<std::string>& arguments)
{
    return runCtl (fleet.folders().programs, arguments, fleet.httpAddresses (NodeRole::kController),
                   fleet.httpAddresses (NodeRole::kRouter));
}

CtlOutcome runCtl (const std::string& programs, const std::vector<std::string>& arguments,
                   const std::vector<base::SocketAddress>& controllers,
                   const std::vector<base::SocketAddress>& routers)
{
    QStringList list;
    for (const std::string& argument : arguments)
    {
        list.append (QString::fromStdString (argument));
    }
    for (const base::SocketAddress& controller : controllers)
    {
        list << QStringLiteral ("--controller") << QString::fromStdString (controller.toString());
    }
    for (const base::SocketAddress& router : routers)
    {
        list << QStringLiteral ("--router") << QString::fromStdString (router.toString());
    }
    QProcess process;
    process.setProcessChannelMode (QProcess::MergedChannels);
    process.start (QString::fromStdString (programs + "/fernliftctl"), list);
    CtlOutcome outcome;
    const bool hasEnded =
        waitUntil ([&] { return process.state() == QProcess::NotRunning; }, kCtlTimeout);
    outcome.output = process.readAll().toStdString();
    if (hasEnded && process.error() == QProcess::UnknownError)
    {
        outcome.exitCode = process.exitCode();
    }
    else
    {
        process.kill();
        process.waitForFinished();
    }
    return outcome;
}

std::optional<double> metricValue (std::string_view metrics, std::string_view name)
{
    std::size_t position = 0;
    while (position < metrics.size())
    {
        const std::size_t lineEnd = std::min (metrics.find ('\n', position), metrics.size());
        const std::string_view line = metrics.substr (position, lineEnd - position);
        if (line.size() > name.size() && line.starts_with (name) && line[name.size()] == ' ')
        {
            return std::strtod (std::string (line.substr (name.size() + 1)).c_str(), nullptr);
        }
        position = lineEnd + 1;
    }
    return std::nullopt;
}

std::string fetchMetrics (const base::SocketAddress& address)
{
    const HttpOutcome outcome = get (address, "/metrics");
    return outcome.status == kOk ? outcome.body : std::string();
}

std::optional<std::string> findLeader (const Fleet& fleet)
{
    for (const NodeStatus& node : fleet.status())
    {
        const bool isRunningController =
            node.role == NodeRole::kController && node.state == NodeState::kRunning;
        if (isRunningController
            && metricValue (fetchMetrics (node.httpAddress), "fernlift_controller_leading") == 1.0)
        {
            return node.name;
        }
    }
    return std::nullopt;
}

base::Result<std::string> waitForLeader (const Fleet& fleet, base::Duration timeout)
{
    std::optional<std::string> leader;
    const bool hasLeader = waitUntil (
        [&]
        {
            leader = findLeader (fleet);
            if (! leader)
            {
                handleEventsFor (kProbeInterval);
            }
            return leader.has_value();
        },
        timeout);
    if (! hasLeader)
    {
        return base::fail (base::ErrorKind::kNoQuorum, "no controller leads");
    }
    return *leader;
}

base::Result<void> waitForRouters (const Fleet& fleet, base::Duration timeout)
{
    const bool areReady = waitUntil (
        [&]
        {
            const bool isReady = areRoutersReady (fleet);
            if (! isReady)
            {
                handleEventsFor (kProbeInterval);
            }
            return isReady;
        },
        timeout);
    if (! areReady)
    {
        return base::fail (base::ErrorKind::kRequestTimeout,
                           "a router did not become ready in time");
    }
    return {};
}

std::size_t countLoadedReplicas (const Fleet& fleet, const std::string& target)
{
    std::size_t count = 0;
    for (const NodeStatus& engine : runningEngines (fleet))
    {
        count += replicasAt (engine.httpAddress, target).size();
    }
    return count;
}

std::optional<std::string> findEngineWith (const Fleet& fleet, const std::string& target)
{
    for (const NodeStatus& engine : runningEngines (fleet))
    {
        const auto replicas = replicasAt (engine.httpAddress, target);
        if (std::any_of (replicas.begin(), replicas.end(), isReady))
        {
            return engine.name;
        }
    }
    return std::nullopt;
}

std::size_t countReadyReplicas (const Fleet& fleet, const std::string& target)
{
    std::size_t count = 0;
    for (const NodeStatus& engine : runningEngines (fleet))
    {
        const auto replicas = replicasAt (engine.httpAddress, target);
        count +=
            static_cast<std::size_t> (std::count_if (replicas.begin(), replicas.end(), isReady));
    }
    return count;
}

}  // namespace fernlift::lab
