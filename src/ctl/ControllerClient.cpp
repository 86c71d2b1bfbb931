#include "ctl/ControllerClient.h"

#include <QJsonDocument>
#include <algorithm>
#include <utility>

#include "ctl/Text.h"

namespace fernlift::ctl
{
namespace
{

using base::ErrorKind;

/// Delay after each round of attempts, so that controllers that name each other as leader are not
/// called in a tight loop. A round is one attempt per controller and one for a leader hint.
constexpr base::Duration kRoundDelay = base::milliseconds (200);
/// Time limit of one attempt. A controller that does not respond within it is treated as
/// unreachable or hung.
constexpr base::Duration kAttemptTimeout = base::seconds (4);
constexpr int kHttpOk = 200;

QJsonObject objectOf (const AdminReply& reply)
{
    const auto size = static_cast<qsizetype> (reply.body.size());
    return QJsonDocument::fromJson (QByteArray (reply.body.data(), size)).object();
}

ErrorKind parseErrorKind (std::string_view name)
{
    for (const base::ErrorTraits& traits : base::allErrorTraits())
    {
        if (traits.name == name)
            return traits.kind;
    }
    return ErrorKind::kInternal;
}

QJsonObject errorOf (const AdminReply& reply)
{
    return objectOf (reply).value (u"error").toObject();
}

ErrorKind errorKindOf (const AdminReply& reply)
{
    return parseErrorKind (errorOf (reply).value (u"kind").toString().toStdString());
}

}  // namespace

base::Result<QJsonObject> readReply (const AdminReply& reply)
{
    if (reply.status == kHttpOk)
        return objectOf (reply);
    const QJsonObject error = errorOf (reply);
    std::string message = error.value (u"message").toString().toStdString();
    if (message.empty())
        message = "response without an error message; HTTP status " + std::to_string (reply.status);
    return boost::leaf::new_error (base::Error{ errorKindOf (reply), std::move (message) },
                                   ReportedProblems{ error.value (u"problems").toArray() });
}

ControllerClient::ControllerClient (AdminTransport& transport,
                                    std::vector<base::SocketAddress> controllers,
                                    base::TimePoint deadline)
    : m_transport (transport), m_controllers (std::move (controllers)), m_deadline (deadline)
{
}

base::Result<QJsonObject> ControllerClient::call (const AdminCall& call)
{
    if (m_controllers.empty())
    {
        return base::fail (ErrorKind::kUsage, "no controller is given; use --controller IP:PORT");
    }
    m_mayHaveRunBefore = false;
    m_lastError = base::Error{ ErrorKind::kConnectionFailed, "no controller answered in time" };
    std::size_t attempts = 0;
    while (m_transport.now() < m_deadline)
    {
        const base::Duration left = m_deadline - m_transport.now();
        const std::optional<AdminReply> reply = sendOnce (call, std::min (left, kAttemptTimeout));
        if (reply)
            return readReply (*reply);
        ++attempts;
        const bool isEndOfRound = attempts % (m_controllers.size() + 1) == 0;
        if (isEndOfRound)
            m_transport.pause (kRoundDelay);
    }
    return base::fail (m_lastError.kind, m_lastError.message);
}

std::optional<AdminReply> ControllerClient::sendOnce (const AdminCall& call, base::Duration timeout)
{
    const base::SocketAddress address = nextAddress();
    AdminCallOutcome outcome = m_transport.send (address, call, timeout);
    if (const auto* const failure = std::get_if<AdminCallFailure> (&outcome))
    {
        m_mayHaveRunBefore = m_mayHaveRunBefore || failure->mayHaveArrived;
        m_lastError = base::Error{ ErrorKind::kConnectionFailed,
                                   address.toString() + ": " + failure->message };
        return std::nullopt;
    }
    AdminReply& reply = std::get<AdminReply> (outcome);
    const ErrorKind kind = reply.status == kHttpOk ? ErrorKind::kInternal : errorKindOf (reply);
    const bool isFinal = kind != ErrorKind::kNotLeader && kind != ErrorKind::kNoQuorum;
    if (isFinal)
    {
        m_leaderHint = address;
        return std::move (reply);
    }
    recordRefusal (reply, kind, address);
    return std::nullopt;
}

void ControllerClient::recordRefusal (const AdminReply& reply, ErrorKind kind,
                                      const base::SocketAddress& from)
{
    const QJsonObject error = errorOf (reply);
    m_lastError = base::Error{ kind, from.toString() + ": "
                                         + error.value (u"message").toString().toStdString() };
    if (kind == ErrorKind::kNoQuorum)
        m_mayHaveRunBefore = true;
    if (kind == ErrorKind::kNotLeader)
        updateLeaderHint (error, from);
}

base::SocketAddress ControllerClient::nextAddress()
{
    if (m_leaderHint)
        return *std::exchange (m_leaderHint, std::nullopt);
    return m_controllers[m_next++ % m_controllers.size()];
}

void ControllerClient::updateLeaderHint (const QJsonObject& error, const base::SocketAddress& from)
{
    const std::string text = error.value (u"leader").toString().toStdString();
    m_leaderHint = base::handleErrors (
        [&]() -> base::Result<std::optional<base::SocketAddress>>
        {
            BOOST_LEAF_AUTO (address, base::SocketAddress::parse (text));
            return std::optional (address);
        },
        [] (const base::Error&) { return std::optional<base::SocketAddress>(); });
    if (m_leaderHint == from)
        m_leaderHint.reset();
}

}  // namespace fernlift::ctl
