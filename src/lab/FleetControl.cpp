#include "lab/FleetControl.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSaveFile>
#include <filesystem>
#include <utility>

#include "http/ErrorResponse.h"
#include "lab/HttpCall.h"
#include "log/Log.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
/// Long enough for a restart, which waits for a planned stop and for the new process to be healthy.
constexpr base::Duration kCommandTimeout = base::seconds (60);
constexpr base::Duration kPingTimeout = base::seconds (2);

std::string controlFile (const std::string& runFolder) { return runFolder + "/control"; }

base::Result<base::SocketAddress> readControlAddress (const std::string& runFolder)
{
    QFile file (QString::fromStdString (controlFile (runFolder)));
    if (! file.open (QIODevice::ReadOnly))
    {
        return base::fail (base::ErrorKind::kConnectionFailed, "no fleet runs in " + runFolder);
    }
    return base::SocketAddress::parse (file.readAll().trimmed().toStdString());
}

std::string answerJson (const std::string& node)
{
    const QJsonObject object{ { QStringLiteral ("node"), QString::fromStdString (node) } };
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

}  // namespace

FleetControl::FleetControl (Fleet& fleet, std::function<void()> onStop)
    : m_fleet (fleet), m_onStop (std::move (onStop))
{
    m_next.setSingleShot (true);
    QObject::connect (&m_next, &QTimer::timeout, [this] { runNext(); });
    m_server.setHandler (
        [this] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
        { handle (request, responder); });
}

FleetControl::~FleetControl()
{
    if (! m_file.empty())
    {
        std::filesystem::remove (m_file);
    }
}

base::Result<void> FleetControl::listen (const std::string& runFolder)
{
    BOOST_LEAF_AUTO (address, m_server.listen ({ "127.0.0.1", 0 }));
    QSaveFile file (QString::fromStdString (controlFile (runFolder)));
    if (! file.open (QIODevice::WriteOnly))
    {
        return base::fail (base::ErrorKind::kInternal, "cannot write " + controlFile (runFolder));
    }
    file.write (QByteArray::fromStdString (address.toString() + "\n"));
    if (! file.commit())
    {
        return base::fail (base::ErrorKind::kInternal, "cannot write " + controlFile (runFolder));
    }
    m_file = controlFile (runFolder);
    return {};
}

void FleetControl::handle (const http::Request& request,
                           const std::shared_ptr<http::Responder>& responder)
{
    const std::string verb = request.path.substr (1);
    m_pending.push_back ({ { verb, request.queryValue ("node") }, responder });
    // Executing a command handles events, so the handler has to return first.
    m_next.start (0);
}

void FleetControl::runNext()
{
    if (m_isBusy || m_pending.empty())
    {
        return;
    }
    m_isBusy = true;
    const Pending next = std::move (m_pending.front());
    m_pending.pop_front();
    log::write (log::Event::kFleetCommand,
                { { "command", next.command.verb }, { "node", next.command.node } });
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (json, execute (next.command));
            http::jsonResponse (kOk, json).sendTo (*next.responder);
            return {};
        },
        [&] (const base::Error& error) { http::errorResponse (error).sendTo (*next.responder); });
    m_isBusy = false;
    if (m_isStopRequested)
    {
        m_onStop();
    }
    m_next.start (0);
}

base::Result<std::string> FleetControl::execute (const FleetCommand& command)
{
    if (command.verb == "status")
    {
        return m_fleet.stateJson();
    }
    if (command.verb == "stop")
    {
        m_isStopRequested = true;
        return answerJson ("");
    }
    std::string node = command.node;
    if (command.verb == "kill")
    {
        BOOST_LEAF_CHECK (m_fleet.kill (node));
    }
    else if (command.verb == "freeze")
    {
        BOOST_LEAF_CHECK (m_fleet.freeze (node));
    }
    else if (command.verb == "thaw")
    {
        BOOST_LEAF_CHECK (m_fleet.thaw (node));
    }
    else if (command.verb == "restart")
    {
        BOOST_LEAF_CHECK (m_fleet.restart (node));
    }
    else if (command.verb == "replace")
    {
        BOOST_LEAF_ASSIGN (node, m_fleet.replace (node));
    }
    else
    {
        return base::fail (base::ErrorKind::kNotFound, "unknown command " + command.verb);
    }
    return answerJson (node);
}

base::Result<std::string> sendFleetCommand (const std::string& runFolder,
                                            const FleetCommand& command)
{
    BOOST_LEAF_AUTO (address, readControlAddress (runFolder));
    const std::string query = command.node.empty() ? "" : "?node=" + command.node;
    const HttpOutcome outcome = callAndWait ({ .address = address,
                                               .method = "POST",
                                               .path = "/" + command.verb + query,
                                               .timeout = kCommandTimeout });
    if (outcome.end != CallEnd::kComplete)
    {
        return base::fail (base::ErrorKind::kConnectionFailed, "no fleet answers in " + runFolder);
    }
    if (outcome.status != kOk)
    {
        return base::fail (base::ErrorKind::kNotFound, outcome.body);
    }
    return outcome.body;
}

bool isFleetRunning (const std::string& runFolder)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_AUTO (address, readControlAddress (runFolder));
            const HttpOutcome outcome = callAndWait ({ .address = address,
                                                       .method = "POST",
                                                       .path = "/status",
                                                       .timeout = kPingTimeout });
            return outcome.end != CallEnd::kNotConnected;
        },
        [] (const base::Error&) { return false; });
}

}  // namespace fernlift::lab
