#include "ctl/CellCommands.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "base/Ids.h"
#include "ctl/ControllerClient.h"
#include "ctl/Recover.h"
#include "ctl/Text.h"

namespace fernlift::ctl
{
namespace
{

using base::ErrorKind;

constexpr const char* kMembersPath = "/admin/v1/members";
constexpr const char* kQuarantinePath = "/admin/v1/quarantine";
constexpr base::Duration kAnswerTimeout = base::seconds (4);
constexpr int kHttpOk = 200;
/// Number of arguments of "add ID PEER_ADDRESS ADMIN_ADDRESS ZONE".
constexpr std::size_t kAddArguments = 5;
/// Number of arguments of "remove ID" and "promote ID".
constexpr std::size_t kChangeArguments = 2;

ControllerClient clientOf (const CommandContext& context)
{
    return ControllerClient (context.transport, context.options.controllers, context.deadline);
}

std::string encoded (const std::string& name)
{
    return QUrl::toPercentEncoding (toQString (name)).toStdString();
}

base::Result<CommandReport> fetchReport (const CommandContext& context, const AdminCall& call)
{
    ControllerClient client = clientOf (context);
    BOOST_LEAF_AUTO (answer, client.call (call));
    CommandReport report;
    report.json = answer;
    return report;
}

/// Consensus state in a response to `status`, which nests it under "raft", or to `members`.
QJsonObject raftOf (const QJsonObject& answer)
{
    return answer.contains (u"raft") ? answer.value (u"raft").toObject() : answer;
}

bool isFromLeader (const QJsonObject& answer)
{
    return raftOf (answer).value (u"role").toString() == QStringLiteral ("leader");
}

qint64 termOf (const QJsonObject& answer) { return raftOf (answer).value (u"term").toInteger(); }

/// Admin address of the leader, from a member's response; nullopt if the leader is not in its list
/// of members or the address is invalid.
std::optional<base::SocketAddress> leaderAddressIn (const QJsonObject& answer)
{
    const QJsonObject raft = raftOf (answer);
    const QJsonArray members = raft.value (u"members").toArray();
    for (const auto& value : members)
    {
        const QJsonObject member = value.toObject();
        if (member.value (u"id").toString() != raft.value (u"leader").toString())
            continue;
        const std::string text = member.value (u"admin_address").toString().toStdString();
        return base::handleErrors (
            [&]() -> base::Result<std::optional<base::SocketAddress>>
            {
                BOOST_LEAF_AUTO (address, base::SocketAddress::parse (text));
                return std::optional (address);
            },
            [] (const base::Error&) { return std::optional<base::SocketAddress>(); });
    }
    return std::nullopt;
}

/// Sends the call once to one controller; nullopt if there is no response or it is an error.
std::optional<QJsonObject> fetchOnce (const CommandContext& context,
                                      const base::SocketAddress& address, const AdminCall& call)
{
    const base::Duration left = context.deadline - context.transport.now();
    const AdminCallOutcome outcome =
        context.transport.send (address, call, std::min (left, kAnswerTimeout));
    const auto* const reply = std::get_if<AdminReply> (&outcome);
    if (reply == nullptr || reply->status != kHttpOk)
        return std::nullopt;
    return QJsonDocument::fromJson (QByteArray::fromStdString (reply->body)).object();
}

/// Fetches the leader's response, since only the leader has the lag of the members and the routers.
/// Without a reachable leader, returns the response with the highest term.
base::Result<CommandReport> fetchFromLeader (const CommandContext& context, const std::string& path)
{
    const AdminCall call{ "GET", path, "" };
    std::vector<base::SocketAddress> addresses = context.options.controllers;
    std::optional<QJsonObject> best;
    for (std::size_t next = 0; next < addresses.size(); ++next)
    {
        const std::optional<QJsonObject> answer = fetchOnce (context, addresses[next], call);
        if (! answer)
            continue;
        const std::optional<base::SocketAddress> hint = leaderAddressIn (*answer);
        const auto later = addresses.begin() + static_cast<std::ptrdiff_t> (next) + 1;
        const bool isListed = hint && std::find (addresses.begin(), later, *hint) != later;
        if (hint && ! isListed)
            addresses.insert (later, *hint);
        if (! best || isFromLeader (*answer) || termOf (*answer) > termOf (*best))
            best = answer;
        if (isFromLeader (*best))
            break;
    }
    if (! best)
        return fetchReport (context, call);
    CommandReport report;
    report.json = *best;
    return report;
}

/// Queries one router after the other until one has a record of the request.
base::Result<CommandReport> explainRequest (const CommandContext& context, const std::string& id)
{
    if (context.options.routers.empty())
    {
        return base::fail (ErrorKind::kUsage, "no router is given; use --router IP:PORT");
    }
    const AdminCall call{ "GET", "/admin/v1/explain/request/" + encoded (id), "" };
    std::string unanswered;
    for (const base::SocketAddress& router : context.options.routers)
    {
        const AdminCallOutcome outcome = context.transport.send (router, call, kAnswerTimeout);
        const auto* const reply = std::get_if<AdminReply> (&outcome);
        if (reply == nullptr)
        {
            unanswered += " " + router.toString();
            continue;
        }
        constexpr int kHttpNotFound = 404;
        if (reply->status == kHttpNotFound)
            continue;
        BOOST_LEAF_AUTO (answer, readReply (*reply));
        CommandReport report;
        report.json = answer;
        report.json.insert (u"router", toQString (router.toString()));
        return report;
    }
    if (! unanswered.empty())
    {
        return base::fail (
            ErrorKind::kConnectionFailed,
            "no router that answered has a record of the request; no answer from:" + unanswered);
    }
    return base::fail (ErrorKind::kNotFound, "none of the routers has a record of the request");
}

base::Result<base::MemberId> parseMemberId (const std::string& text)
{
    qint64 id = 0;
    const auto [end, status] = std::from_chars (text.data(), text.data() + text.size(), id);
    const bool isWhole = status == std::errc() && end == text.data() + text.size();
    if (! isWhole || id <= 0)
    {
        return base::fail (ErrorKind::kUsage,
                           "found '" + text + "', allowed: a member's number, 1 or more");
    }
    return static_cast<base::MemberId> (id);
}

/// Requested change of the membership.
struct MemberChange
{
    std::string action;  ///< "add", "promote" or "remove".
    base::MemberId id = 0;
    QJsonObject body;
};

base::Result<MemberChange> parseAddition (const std::vector<std::string>& arguments)
{
    MemberChange change{ "add", 0, {} };
    BOOST_LEAF_ASSIGN (change.id, parseMemberId (arguments[1]));
    BOOST_LEAF_CHECK (base::SocketAddress::parse (arguments[2]));
    BOOST_LEAF_CHECK (base::SocketAddress::parse (arguments[3]));
    const QJsonObject member{ { QStringLiteral ("id"), static_cast<qint64> (change.id) },
                              { QStringLiteral ("peer_address"), toQString (arguments[2]) },
                              { QStringLiteral ("admin_address"), toQString (arguments[3]) },
                              { QStringLiteral ("zone"), toQString (arguments[4]) } };
    change.body.insert (u"add", member);
    return change;
}

base::Result<MemberChange> parseMemberChange (const std::vector<std::string>& arguments)
{
    const std::string& action = arguments.front();
    if (action == "add" && arguments.size() == kAddArguments)
        return parseAddition (arguments);
    const bool isKnown = action == "remove" || action == "promote";
    if (! isKnown || arguments.size() != kChangeArguments)
    {
        return base::fail (
            ErrorKind::kUsage,
            "allowed: members, members add ID PEER_ADDRESS ADMIN_ADDRESS ZONE, members "
            "promote ID, members remove ID");
    }
    MemberChange change{ action, 0, {} };
    BOOST_LEAF_ASSIGN (change.id, parseMemberId (arguments[1]));
    change.body.insert (toQString (action), static_cast<qint64> (change.id));
    return change;
}

/// Whether the members in `answer` show that the change has been made.
bool isDone (const MemberChange& change, const QJsonObject& answer)
{
    const QJsonArray members = answer.value (u"members").toArray();
    const auto member =
        std::find_if (members.begin(), members.end(),
                      [&] (const QJsonValue& each) {
                          return each.toObject().value (u"id").toString().toStdString()
                                 == std::to_string (change.id);
                      });
    const bool isMember = member != members.end();
    if (change.action == "remove")
        return ! isMember;
    if (! isMember)
        return false;
    return change.action == "add" || (*member).toObject().value (u"voter").toBool();
}

/// Sends a membership change. If it is refused after an attempt whose response was lost, that
/// attempt may have made the change, so the member list decides whether it succeeded.
base::Result<QJsonObject> changeMembers (ControllerClient& client, const MemberChange& change)
{
    const AdminCall call{ "POST", kMembersPath, toCompactJson (change.body) };
    return recover (
        [&] { return client.call (call); },
        [&] (const base::Error& error, const ReportedProblems&) -> base::Result<QJsonObject>
        {
            if (! client.mayHaveRunBefore())
                return boost::leaf::new_error (error);
            BOOST_LEAF_AUTO (answer, client.call (AdminCall{ "GET", kMembersPath, "" }));
            if (! isDone (change, answer))
                return boost::leaf::new_error (error);
            return answer;
        });
}

}  // namespace

base::Result<CommandReport> statusCommand (CommandContext& context)
{
    return fetchFromLeader (context, "/admin/v1/status");
}

base::Result<CommandReport> explainCommand (CommandContext& context)
{
    const std::string& kind = context.arguments.front();
    const bool hasName = context.arguments.size() > 1;
    const std::string name = hasName ? context.arguments[1] : "";
    const bool isConfiguration = kind == "configuration";
    const bool isKnown =
        isConfiguration || ((kind == "model" || kind == "runner" || kind == "request") && hasName);
    if (! isKnown)
    {
        return base::fail (ErrorKind::kUsage,
                           "allowed: explain model NAME, explain runner NAME, explain request ID, "
                           "explain configuration");
    }
    if (kind == "request")
        return explainRequest (context, name);
    return fetchReport (context,
                        AdminCall{ "GET", "/admin/v1/explain/" + kind + "/" + encoded (name), "" });
}

base::Result<CommandReport> drainCommand (CommandContext& context)
{
    const QJsonObject body{ { QStringLiteral ("runner"), toQString (context.arguments.front()) },
                            { QStringLiteral ("draining"), ! context.options.isUndo } };
    return fetchReport (context, AdminCall{ "POST", "/admin/v1/drain", toCompactJson (body) });
}

base::Result<CommandReport> quarantineCommand (CommandContext& context)
{
    const std::vector<std::string>& arguments = context.arguments;
    if (arguments.empty())
        return fetchReport (context, AdminCall{ "GET", kQuarantinePath, "" });
    QJsonObject body;
    if (arguments.front() == "release" && arguments.size() == 2)
        body.insert (u"release", toQString (arguments[1]));
    else if (arguments.front() == "release-all" && arguments.size() == 1)
        body.insert (u"release_all", true);
    else
        return base::fail (
            ErrorKind::kUsage,
            "allowed: quarantine, quarantine release REQUEST, quarantine release-all");
    return fetchReport (context, AdminCall{ "POST", kQuarantinePath, toCompactJson (body) });
}

base::Result<CommandReport> membersCommand (CommandContext& context)
{
    if (context.arguments.empty())
        return fetchFromLeader (context, kMembersPath);
    BOOST_LEAF_AUTO (change, parseMemberChange (context.arguments));
    ControllerClient client = clientOf (context);
    CommandReport report;
    BOOST_LEAF_ASSIGN (report.json, changeMembers (client, change));
    return report;
}

}  // namespace fernlift::ctl
