#include "lab/ControllerCluster.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <filesystem>

#include "lab/EventWait.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kFirstElection = base::seconds (20);
constexpr base::Duration kProbeTimeout = base::milliseconds (500);
constexpr base::Duration kPause = base::milliseconds (10);
constexpr base::Duration kStopTimeout = base::seconds (20);

QJsonObject objectOf (const HttpOutcome& outcome)
{
    return QJsonDocument::fromJson (QByteArray::fromStdString (outcome.body)).object();
}

std::string memberFlag (base::MemberId id, const base::SocketAddress& peer,
                        const base::SocketAddress& http)
{
    return std::to_string (id) + "=" + peer.toString() + "=" + http.toString() + "=z1";
}

/// True when the member did not answer, does not lead or has no quorum, so that another attempt may
/// succeed.
bool isRetryable (const HttpOutcome& outcome)
{
    if (outcome.status == 0)
        return true;
    const QString kind = objectOf (outcome).value (u"error").toObject().value (u"kind").toString();
    return kind == QStringLiteral ("not_leader") || kind == QStringLiteral ("no_quorum");
}

}  // namespace

ConfigurationAnswer parseConfigurationAnswer (const HttpOutcome& outcome)
{
    const QJsonObject object = objectOf (outcome);
    const QJsonObject nested = object.value (u"configuration").toObject();
    const QJsonObject& identity = nested.isEmpty() ? object : nested;
    ConfigurationAnswer answer;
    answer.status = outcome.end == CallEnd::kComplete ? outcome.status : 0;
    answer.version = static_cast<std::uint64_t> (identity.value (u"version").toInteger());
    answer.digest = identity.value (u"digest").toString().toStdString();
    answer.result = object.value (u"result").toString().toStdString();
    return answer;
}

ControllerCluster::ControllerCluster (Options options) : m_options (std::move (options)) {}

base::Result<void> ControllerCluster::start()
{
    BOOST_LEAF_ASSIGN (m_machinesAddress, m_ports.reserve());
    for (base::MemberId id = 1; id <= m_options.members; ++id)
        BOOST_LEAF_CHECK (plan (id));
    if (m_options.hasProxies)
        BOOST_LEAF_CHECK (planProxies());
    for (base::MemberId id = 1; id <= m_options.members; ++id)
    {
        std::vector<std::string> flags = membersFlags (id);
        flags.emplace_back ("--bootstrap");
        BOOST_LEAF_CHECK (startProcess (id, flags));
    }
    if (awaitLeader (0, kFirstElection) == 0)
    {
        return base::fail (base::ErrorKind::kNoQuorum,
                           "no controller became leader in time; see the logs in " + m_options.run);
    }
    return {};
}

base::Result<void> ControllerCluster::plan (base::MemberId id)
{
    Node& node = m_nodes[id];
    BOOST_LEAF_ASSIGN (node.peerAddress, m_ports.reserve());
    BOOST_LEAF_ASSIGN (node.httpAddress, m_ports.reserve());
    return {};
}

base::Result<void> ControllerCluster::planProxies()
{
    for (const auto& [from, source] : m_nodes)
    {
        for (const auto& [to, target] : m_nodes)
        {
            if (from == to)
                continue;
            auto proxy = std::make_unique<FaultProxy> (target.peerAddress);
            BOOST_LEAF_AUTO (address, proxy->listen ({ "127.0.0.1", 0 }));
            m_proxyAddresses[{ from, to }] = address;
            m_proxies[{ from, to }] = std::move (proxy);
        }
    }
    return {};
}

std::vector<std::string> ControllerCluster::membersFlags (base::MemberId self) const
{
    std::vector<std::string> flags;
    for (const auto& [id, node] : m_nodes)
    {
        const auto proxy = m_proxyAddresses.find ({ self, id });
        const base::SocketAddress& peer =
            proxy == m_proxyAddresses.end() ? node.peerAddress : proxy->second;
        flags.emplace_back ("--members");
        flags.push_back (memberFlag (id, peer, node.httpAddress));
    }
    return flags;
}

base::Result<void> ControllerCluster::startProcess (base::MemberId id,
                                                    const std::vector<std::string>& flags)
{
    Node& node = m_nodes.at (id);
    std::filesystem::create_directories (m_options.run);
    std::vector<std::string> arguments{ "--id",
                                        std::to_string (id),
                                        "--cell",
                                        m_options.cell,
                                        "--zone",
                                        "z1",
                                        "--data-dir",
                                        dataFolder (id),
                                        "--peer-address",
                                        node.peerAddress.toString(),
                                        "--http-address",
                                        node.httpAddress.toString(),
                                        "--machines-address",
                                        m_machinesAddress.toString() };
    arguments.insert (arguments.end(), m_options.flags.begin(), m_options.flags.end());
    arguments.insert (arguments.end(), flags.begin(), flags.end());
    node.isFrozen = false;
    node.process = std::make_unique<ChildProcess> (
        ProcessPlan{ m_options.programs + "/fernlift-controller", std::move (arguments),
                     m_options.run + "/controller-" + std::to_string (id) + ".log" });
    return node.process->start();
}

base::Result<void> ControllerCluster::restart (base::MemberId id,
                                               const std::vector<std::string>& flags)
{
    return startProcess (id, flags);
}

base::Result<void> ControllerCluster::startJoining (base::MemberId id)
{
    BOOST_LEAF_CHECK (plan (id));
    std::vector<std::string> flags = membersFlags (id);
    flags.emplace_back ("--join");
    return startProcess (id, flags);
}

void ControllerCluster::freeze (base::MemberId id)
{
    m_nodes.at (id).process->freeze();
    m_nodes.at (id).isFrozen = true;
}

void ControllerCluster::thaw (base::MemberId id)
{
    m_nodes.at (id).process->thaw();
    m_nodes.at (id).isFrozen = false;
}

int ControllerCluster::stop (base::MemberId id)
{
    ChildProcess& process = *m_nodes.at (id).process;
    process.requestStop();
    return process.waitForEnd (kStopTimeout) ? process.exitCode() : -1;
}

void ControllerCluster::wipe (base::MemberId id) { std::filesystem::remove_all (dataFolder (id)); }

void ControllerCluster::cut (base::MemberId from, base::MemberId to, bool isCut)
{
    const auto proxy = m_proxies.find ({ from, to });
    if (proxy == m_proxies.end())
        return;
    ProxyFaults faults;
    faults.toTarget.isCut = isCut;
    base::handleErrors ([&] { return proxy->second->setFaults (faults); },
                        [] (const base::Error&) {});
}

void ControllerCluster::cutIncoming (base::MemberId id, bool isCut)
{
    for (const auto& [other, node] : m_nodes)
        cut (other, id, isCut);
}

void ControllerCluster::cutOutgoing (base::MemberId id, bool isCut)
{
    for (const auto& [other, node] : m_nodes)
        cut (id, other, isCut);
}

std::vector<base::MemberId> ControllerCluster::live() const
{
    std::vector<base::MemberId> ids;
    for (const auto& [id, node] : m_nodes)
    {
        if (node.process && node.process->isRunning() && ! node.isFrozen)
            ids.push_back (id);
    }
    return ids;
}

base::MemberId ControllerCluster::leader() const
{
    base::MemberId found = 0;
    qint64 highestTerm = -1;
    for (const base::MemberId id : live())
    {
        HttpRequest request = adminRequest (id, "GET", "members");
        request.timeout = kProbeTimeout;
        const QJsonObject status = objectOf (callAndWait (request));
        const qint64 term = status.value (u"term").toInteger();
        if (status.value (u"role").toString() != QStringLiteral ("leader") || term <= highestTerm)
        {
            continue;
        }
        highestTerm = term;
        found = id;
    }
    return found;
}

base::MemberId ControllerCluster::awaitLeader (base::MemberId old, base::Duration timeout)
{
    base::MemberId found = 0;
    waitUntil (
        [&]
        {
            found = leader();
            if (found == old)
                found = 0;
            if (found == 0)
                handleEventsFor (kPause);
            return found != 0;
        },
        timeout);
    return found;
}

HttpRequest ControllerCluster::adminRequest (base::MemberId id, const std::string& method,
                                             const std::string& resource,
                                             const std::string& body) const
{
    return {
        .address = httpAddress (id), .method = method, .path = "/admin/v1/" + resource, .body = body
    };
}

ConfigurationAnswer ControllerCluster::applyAt (base::MemberId id, const std::string& text,
                                                base::Duration timeout) const
{
    HttpRequest request = adminRequest (id, "POST", "configuration", text);
    request.timeout = timeout;
    return parseConfigurationAnswer (callAndWait (request));
}

ConfigurationAnswer ControllerCluster::apply (const std::string& text, base::Duration timeout) const
{
    HttpOutcome outcome;
    waitUntil (
        [&]
        {
            for (const base::MemberId id : live())
            {
                HttpRequest request = adminRequest (id, "POST", "configuration", text);
                request.timeout = base::seconds (2);
                outcome = callAndWait (request);
                if (! isRetryable (outcome))
                    return true;
            }
            handleEventsFor (kPause);
            return false;
        },
        timeout);
    return parseConfigurationAnswer (outcome);
}

ConfigurationAnswer ControllerCluster::readAt (base::MemberId id, base::Duration timeout) const
{
    HttpRequest request = adminRequest (id, "GET", "configuration");
    request.timeout = timeout;
    return parseConfigurationAnswer (callAndWait (request));
}

ConfigurationAnswer ControllerCluster::localState (base::MemberId id) const
{
    HttpRequest request = adminRequest (id, "GET", "status");
    request.timeout = kProbeTimeout;
    return parseConfigurationAnswer (callAndWait (request));
}

bool ControllerCluster::awaitEverywhere (std::uint64_t version, base::Duration timeout) const
{
    return waitUntil (
        [&]
        {
            for (const base::MemberId id : live())
            {
                if (localState (id).version == version)
                    continue;
                handleEventsFor (kPause);
                return false;
            }
            return true;
        },
        timeout);
}

CtlOutcome ControllerCluster::ctl (const std::vector<std::string>& arguments,
                                   const std::vector<base::SocketAddress>& controllers) const
{
    std::vector<base::SocketAddress> addresses = controllers;
    if (addresses.empty())
    {
        for (const auto& [id, node] : m_nodes)
            addresses.push_back (node.httpAddress);
    }
    return runCtl (m_options.programs, arguments, addresses, {});
}

std::vector<std::string> ControllerCluster::additionOf (base::MemberId id) const
{
    return { "members",
             "add",
             std::to_string (id),
             peerAddress (id).toString(),
             httpAddress (id).toString(),
             "z1" };
}

base::SocketAddress ControllerCluster::httpAddress (base::MemberId id) const
{
    return m_nodes.at (id).httpAddress;
}

base::SocketAddress ControllerCluster::peerAddress (base::MemberId id) const
{
    return m_nodes.at (id).peerAddress;
}

std::string ControllerCluster::dataFolder (base::MemberId id) const
{
    return m_options.run + "/data-" + std::to_string (id);
}

std::string clusterCatalogue (std::uint64_t version, const std::string& comment)
{
    return std::string ("cell = \"") + ControllerCluster::kCell
           + "\"\nversion = " + std::to_string (version) + R"(
zones = ["z1"]
largest_runner_memory_mb = 1000
[[class]]
name = "urgent"
urgency = 0
deadline_ms = 2000
[[model]]
name = "a"
version = "1"
memory_mb = 400
max_replicas = 2
class = "urgent"
)" + (comment.empty() ? "" : "# " + comment + "\n");
}

}  // namespace fernlift::lab
