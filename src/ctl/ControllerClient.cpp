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

constexpr base::Duration kPauseBetweenRounds = base::milliseconds (200);
/// A controller that is silent for longer is taken for cut off or frozen.
constexpr base::Duration kAttemptTimeout = base::seconds (4);
constexpr int kHttpOk = 200;

QJsonObject objectOf (const AdminReply& reply)
{
    const auto size = static_cast<qsizetype> (reply.body.size());
    return QJsonDocument::fromJson (QByteArray (reply.body.data(), size)).object();
}

ErrorKind kindNamed (std::string_view name)
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
    return kindNamed (errorOf (reply).value (u"kind").toString().toStdString());
}

}  // namespace

base::Result<QJsonObject> readReply (const AdminReply& reply)
{
    if (reply.status == kHttpOk)
        return objectOf (reply);
    const QJsonObject error = errorOf (reply);
    std::string message = error.value (u"message").toString().toStdString();
    if (message.empty())
        message = "answer with HTTP status " + std::to_string (reply.status);
    return boost::leaf::new_error (base::Error{ errorKindOf (reply), std::move (message) },
                                   ReportedProblems{ error.value (u"problems").toArray() });
}

ControllerClient::ControllerClient (AdminTransport& transport,
                                    std::vector<base::SocketAddress> controllers,
                                    base::TimePoint deadline)
    : transport_ (transport), controllers_ (std::move (controllers)), deadline_ (deadline)
{
}

base::Result<QJsonObject> ControllerClient::call (const AdminCall& call)
{
    if (controllers_.empty())
    {
        return base::fail (ErrorKind::kUsage, "no controller is given; use --controller IP:PORT");
    }
    mayHaveRunBefore_ = false;
    lastError_ = base::Error{ ErrorKind::kConnectionFailed, "no controller answered in time" };
    std::size_t attempts = 0;
    while (transport_.now() < deadline_)
    {
        const base::Duration left = deadline_ - transport_.now();
        const std::optional<AdminReply> reply = sendOnce (call, std::min (left, kAttemptTimeout));
        if (reply)
            return readReply (*reply);
        ++attempts;
        const bool isEndOfRound = attempts % (controllers_.size() + 1) == 0;
        if (isEndOfRound)
            transport_.pause (kPauseBetweenRounds);
    }
    return base::fail (lastError_.kind, lastError_.message);
}

std::optional<AdminReply> ControllerClient::sendOnce (const AdminCall& call, base::Duration timeout)
{
    const base::SocketAddress address = nextAddress();
    AdminCallOutcome outcome = transport_.send (address, call, timeout);
    if (const auto* const failure = std::get_if<AdminCallFailure> (&outcome))
    {
        mayHaveRunBefore_ = mayHaveRunBefore_ || failure->mayHaveArrived;
        lastError_ = base::Error{ ErrorKind::kConnectionFailed,
                                  address.toString() + ": " + failure->message };
        return std::nullopt;
    }
    AdminReply& reply = std::get<AdminReply> (outcome);
    const ErrorKind kind = reply.status == kHttpOk ? ErrorKind::kInternal : errorKindOf (reply);
    const bool isFinal = kind != ErrorKind::kNotLeader && kind != ErrorKind::kNoQuorum;
    if (isFinal)
    {
        leaderHint_ = address;
        return std::move (reply);
    }
    noteRefusal (reply, kind, address);
    return std::nullopt;
}

void ControllerClient::noteRefusal (const AdminReply& reply, ErrorKind kind,
                                    const base::SocketAddress& from)
{
    const QJsonObject error = errorOf (reply);
    lastError_ = base::Error{ kind, from.toString() + ": "
                                        + error.value (u"message").toString().toStdString() };
    if (kind == ErrorKind::kNoQuorum)
        mayHaveRunBefore_ = true;
    if (kind == ErrorKind::kNotLeader)
        followHint (error, from);
}

base::SocketAddress ControllerClient::nextAddress()
{
    if (leaderHint_)
        return *std::exchange (leaderHint_, std::nullopt);
    return controllers_[next_++ % controllers_.size()];
}

void ControllerClient::followHint (const QJsonObject& error, const base::SocketAddress& from)
{
    const std::string text = error.value (u"leader").toString().toStdString();
    leaderHint_ = base::handleErrors (
        [&]() -> base::Result<std::optional<base::SocketAddress>>
        {
            BOOST_LEAF_AUTO (address, base::SocketAddress::parse (text));
            return std::optional (address);
        },
        [] (const base::Error&) { return std::optional<base::SocketAddress>(); });
    if (leaderHint_ == from)
        leaderHint_.reset();
}

}  // namespace fernlift::ctl
