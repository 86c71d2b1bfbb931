#include "lab/Fleet.h"

#include <QByteArray>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSaveFile>
#include <algorithm>
#include <filesystem>
#include <utility>

#include "lab/EventWait.h"
#include "lab/HttpCall.h"

namespace fernlift::lab
{
namespace
{

constexpr base::Duration kHealthTimeout = base::seconds (20);
constexpr base::Duration kHealthCallTimeout = base::milliseconds (1000);
constexpr base::Duration kHealthInterval = base::milliseconds (20);
constexpr base::Duration kStopTimeout = base::seconds (20);

QString toQString (std::string_view text)
{
    return QString::fromUtf8 (text.data(), static_cast<qsizetype> (text.size()));
}

QJsonObject toJson (const NodeStatus& status)
{
    return QJsonObject{
        { QStringLiteral ("name"), toQString (status.name) },
        { QStringLiteral ("role"), toQString (toString (status.role)) },
        { QStringLiteral ("state"), toQString (toString (status.state)) },
        { QStringLiteral ("pid"), static_cast<qint64> (status.processId) },
        { QStringLiteral ("exit_code"), status.exitCode },
        { QStringLiteral ("http_address"), toQString (status.httpAddress.toString()) },
    };
}

}  // namespace

std::string_view toString (NodeState state)
{
    switch (state)
    {
        case NodeState::kRunning:
            return "running";
        case NodeState::kFrozen:
            return "frozen";
        case NodeState::kEnded:
            return "ended";
    }
    return "";
}

Fleet::Fleet (FleetSpec spec, FleetFolders folders)
    : m_spec (std::move (spec)), m_folders (std::move (folders))
{
}

Fleet::~Fleet() = default;

base::Result<void> Fleet::start()
{
    std::filesystem::create_directories (m_folders.run + "/logs");
    std::filesystem::create_directories (m_folders.run + "/ledgers");
    BOOST_LEAF_AUTO (plans, planFleet (m_spec, m_folders, m_ports));
    for (NodePlan& plan : plans)
    {
        m_nodes.push_back ({ std::move (plan), nullptr, false });
    }
    std::vector<Node*> started;
    for (Node& node : m_nodes)
    {
        BOOST_LEAF_CHECK (startNode (node));
        started.push_back (&node);
    }
    writeState();
    return waitHealthy (started);
}

base::Result<void> Fleet::stop()
{
    bool isClean = stopNodes ({ NodeRole::kRouter });
    isClean = stopNodes ({ NodeRole::kController }) && isClean;
    isClean = stopNodes ({ NodeRole::kEngine, NodeRole::kApplicationRunner, NodeRole::kWeightStore,
                           NodeRole::kMachineList, NodeRole::kFaultProxy })
              && isClean;
    writeState();
    if (! isClean)
    {
        return base::fail (base::ErrorKind::kInternal,
                           "a process was killed or did not exit with code 0; see its log in "
                               + m_folders.run + "/logs");
    }
    return {};
}

base::Result<void> Fleet::kill (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    node->process->kill();
    node->isFrozen = false;
    writeState();
    return {};
}

base::Result<void> Fleet::requestStop (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    node->process->requestStop();
    return {};
}

base::Result<void> Fleet::waitForEnd (const std::string& name, base::Duration timeout)
{
    BOOST_LEAF_AUTO (node, find (name));
    if (! node->process->waitForEnd (timeout))
    {
        return base::fail (base::ErrorKind::kRequestTimeout, name + " still runs");
    }
    writeState();
    return {};
}

base::Result<void> Fleet::freeze (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    node->process->freeze();
    node->isFrozen = true;
    writeState();
    return {};
}

base::Result<void> Fleet::thaw (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    node->process->thaw();
    node->isFrozen = false;
    writeState();
    return {};
}

base::Result<void> Fleet::restart (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    if (node->process->isRunning())
    {
        node->process->requestStop();
        if (! node->process->waitForEnd (kStopTimeout))
        {
            node->process->kill();
        }
    }
    BOOST_LEAF_CHECK (startNode (*node));
    writeState();
    return waitHealthy ({ node });
}

base::Result<std::string> Fleet::replace (const std::string& name)
{
    BOOST_LEAF_AUTO (node, find (name));
    node->process->kill();
    if (node->plan.role == NodeRole::kController)
    {
        std::filesystem::remove_all (node->plan.dataFolder);
        planNewIdentity (*node);
    }
    BOOST_LEAF_CHECK (startNode (*node));
    BOOST_LEAF_CHECK (waitHealthy ({ node }));
    writeState();
    return node->plan.name;
}

void Fleet::planNewIdentity (Node& controller)
{
    ControllerSpec replacement;
    base::SocketAddress machinesAddress;
    for (const Node& node : m_nodes)
    {
        if (node.plan.role == NodeRole::kMachineList)
        {
            machinesAddress = node.plan.httpAddress;
        }
    }
    std::vector<std::string> members;
    for (const ControllerSpec& known : m_spec.controllers)
    {
        replacement.id = std::max (replacement.id, known.id + 1);
        const Node* node = findPlan (controllerName (known.id));
        if (node == &controller)
        {
            replacement.zone = known.zone;
        }
        else if (node != nullptr)
        {
            members.push_back (memberText (known, node->plan.peerAddress, node->plan.httpAddress));
        }
    }
    NodePlan& plan = controller.plan;
    plan.name = controllerName (replacement.id);
    plan.dataFolder = m_folders.run + "/data/" + plan.name;
    plan.process.logFile = m_folders.run + "/logs/" + plan.name + ".log";
    members.push_back (memberText (replacement, plan.peerAddress, plan.httpAddress));
    std::vector<std::string> arguments = controllerArguments (
        m_spec, replacement, plan.peerAddress, plan.httpAddress, plan.dataFolder, machinesAddress);
    for (const std::string& member : members)
    {
        arguments.emplace_back ("--members");
        arguments.push_back (member);
    }
    const std::vector<std::string>& extraFlags = m_spec.extraFlags.controllers;
    arguments.insert (arguments.end(), extraFlags.begin(), extraFlags.end());
    plan.process.arguments = std::move (arguments);
    plan.firstStartFlags = { "--join" };
    m_spec.controllers.push_back (replacement);
}

const Fleet::Node* Fleet::findPlan (const std::string& name) const
{
    for (const Node& node : m_nodes)
    {
        if (node.plan.name == name)
        {
            return &node;
        }
    }
    return nullptr;
}

std::vector<NodeStatus> Fleet::status() const
{
    std::vector<NodeStatus> all;
    for (const Node& node : m_nodes)
    {
        NodeStatus status;
        status.name = node.plan.name;
        status.role = node.plan.role;
        status.httpAddress = node.plan.httpAddress;
        if (node.process && node.process->isRunning())
        {
            status.state = node.isFrozen ? NodeState::kFrozen : NodeState::kRunning;
            status.processId = node.process->processId();
        }
        else if (node.process)
        {
            status.exitCode = node.process->exitCode();
        }
        all.push_back (std::move (status));
    }
    return all;
}

std::vector<std::string> Fleet::namesOf (NodeRole role) const
{
    std::vector<std::string> names;
    for (const Node& node : m_nodes)
    {
        if (node.plan.role == role)
        {
            names.push_back (node.plan.name);
        }
    }
    return names;
}

base::Result<base::SocketAddress> Fleet::httpAddress (const std::string& name) const
{
    const Node* node = findPlan (name);
    if (node == nullptr)
    {
        return base::fail (base::ErrorKind::kNotFound, "the fleet has no process named " + name);
    }
    return node->plan.httpAddress;
}

std::vector<base::SocketAddress> Fleet::httpAddresses (NodeRole role) const
{
    std::vector<base::SocketAddress> addresses;
    for (const Node& node : m_nodes)
    {
        if (node.plan.role == role)
        {
            addresses.push_back (node.plan.httpAddress);
        }
    }
    return addresses;
}

std::vector<base::SocketAddress> Fleet::callerAddresses (NodeRole role) const
{
    std::vector<base::SocketAddress> addresses;
    for (const Node& node : m_nodes)
    {
        if (node.plan.role == role)
        {
            addresses.push_back (node.plan.callerAddress);
        }
    }
    return addresses;
}

std::vector<base::SocketAddress> Fleet::peerAddresses() const
{
    std::vector<base::SocketAddress> addresses;
    for (const Node& node : m_nodes)
    {
        if (node.plan.role == NodeRole::kController)
        {
            addresses.push_back (node.plan.peerAddress);
        }
    }
    return addresses;
}

std::string Fleet::stateJson() const
{
    QJsonArray nodes;
    for (const NodeStatus& nodeStatus : status())
    {
        nodes.append (toJson (nodeStatus));
    }
    const QJsonObject state{ { QStringLiteral ("cell"), toQString (m_spec.cell.value) },
                             { QStringLiteral ("run_folder"), toQString (m_folders.run) },
                             { QStringLiteral ("processes"), nodes } };
    return QJsonDocument (state).toJson (QJsonDocument::Indented).toStdString();
}

base::Result<Fleet::Node*> Fleet::find (const std::string& name)
{
    for (Node& node : m_nodes)
    {
        if (node.plan.name == name && node.process)
        {
            return &node;
        }
    }
    return base::fail (base::ErrorKind::kNotFound, "the fleet has no process named " + name);
}

base::Result<void> Fleet::startNode (Node& node)
{
    if (! node.plan.dataFolder.empty())
    {
        std::filesystem::create_directories (node.plan.dataFolder);
    }
    ProcessPlan plan = node.plan.process;
    const std::vector<std::string>& firstStartFlags = node.plan.firstStartFlags;
    plan.arguments.insert (plan.arguments.end(), firstStartFlags.begin(), firstStartFlags.end());
    node.process = std::make_unique<ChildProcess> (std::move (plan));
    node.isFrozen = false;
    return node.process->start();
}

base::Result<void> Fleet::waitHealthy (const std::vector<Node*>& nodes)
{
    for (Node* node : nodes)
    {
        const HttpRequest request{ .address = node->plan.httpAddress,
                                   .method = "GET",
                                   .path = "/healthz",
                                   .timeout = kHealthCallTimeout };
        bool isHealthy = false;
        const bool isSettled = waitUntil (
            [&]
            {
                if (! node->process->isRunning())
                {
                    return true;
                }
                isHealthy = callAndWait (request).status == 200;
                if (! isHealthy)
                {
                    handleEventsFor (kHealthInterval);
                }
                return isHealthy;
            },
            kHealthTimeout);
        if (! isSettled || ! isHealthy)
        {
            return base::fail (
                base::ErrorKind::kInternal,
                node->plan.name + " did not become healthy; see " + node->plan.process.logFile);
        }
        node->plan.firstStartFlags.clear();
    }
    return {};
}

bool Fleet::stopNodes (const std::vector<NodeRole>& roles)
{
    std::vector<Node*> running;
    for (Node& node : m_nodes)
    {
        const bool isWanted = std::find (roles.begin(), roles.end(), node.plan.role) != roles.end();
        if (! isWanted || ! node.process || ! node.process->isRunning())
        {
            continue;
        }
        if (node.isFrozen)
        {
            node.process->thaw();
            node.isFrozen = false;
        }
        node.process->requestStop();
        running.push_back (&node);
    }
    bool isClean = true;
    for (Node* node : running)
    {
        if (! node->process->waitForEnd (kStopTimeout))
        {
            node->process->kill();
        }
        isClean = isClean && node->process->exitCode() == 0;
    }
    return isClean;
}

void Fleet::writeState() const
{
    QSaveFile file (toQString (m_folders.run + "/state.json"));
    if (file.open (QIODevice::WriteOnly))
    {
        file.write (QByteArray::fromStdString (stateJson()));
        file.commit();
    }
}

}  // namespace fernlift::lab
