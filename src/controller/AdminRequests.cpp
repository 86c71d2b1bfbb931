#include "controller/AdminRequests.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <charconv>
#include <optional>

namespace fernlift::controller
{
namespace
{

using base::ErrorKind;

constexpr std::string_view kPrefix = "/admin/v1/";
constexpr std::string_view kExplainPrefix = "explain/";
constexpr base::Duration kDefaultTimeout = base::seconds (10);
constexpr std::int64_t kMaxTimeoutMilliseconds = 600'000;

base::Result<QJsonObject> parseObject (const std::string& body)
{
    const QJsonDocument document = QJsonDocument::fromJson (http::byteView (body));
    if (! document.isObject())
    {
        return base::fail (ErrorKind::kInvalidRequest, "the body is not a JSON object");
    }
    return document.object();
}

base::Result<std::string> textField (const QJsonObject& object, const char* name)
{
    const QJsonValue value = object.value (QLatin1String (name));
    if (! value.isString() || value.toString().isEmpty())
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           std::string ("'") + name + "' must be a non-empty string");
    }
    return value.toString().toStdString();
}

base::Result<std::string> addressField (const QJsonObject& object, const char* name)
{
    BOOST_LEAF_AUTO (text, textField (object, name));
    BOOST_LEAF_CHECK (base::SocketAddress::parse (text));
    return text;
}

base::Result<base::MemberId> memberIdField (const QJsonObject& object, const char* name)
{
    const qint64 id = object.value (QLatin1String (name)).toInteger (0);
    if (id <= 0)
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           std::string ("'") + name + "' must be a positive whole number");
    }
    return static_cast<base::MemberId> (id);
}

base::Result<base::Duration> timeoutOf (const http::Request& request)
{
    const std::string text = request.queryValue ("timeout_ms");
    if (text.empty())
        return kDefaultTimeout;
    std::int64_t milliseconds = 0;
    const auto [end, status] =
        std::from_chars (text.data(), text.data() + text.size(), milliseconds);
    const bool isWhole = status == std::errc() && end == text.data() + text.size();
    if (! isWhole || milliseconds < 1 || milliseconds > kMaxTimeoutMilliseconds)
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           "'timeout_ms' must be a whole number from 1 to 600000");
    }
    return base::milliseconds (milliseconds);
}

base::Result<AdminRequest> parseApply (const http::Request& request)
{
    BOOST_LEAF_AUTO (timeout, timeoutOf (request));
    return AdminApply{ request.body, request.queryValue ("wait") == "1", timeout };
}

base::Result<AdminRequest> parseMembersChange (const http::Request& request)
{
    BOOST_LEAF_AUTO (object, parseObject (request.body));
    if (object.size() != 1)
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           "exactly one of 'add', 'promote' and 'remove' is expected");
    }
    if (object.contains (QLatin1String ("remove")))
    {
        BOOST_LEAF_AUTO (id, memberIdField (object, "remove"));
        return AdminRemoveMember{ id };
    }
    if (object.contains (QLatin1String ("promote")))
    {
        BOOST_LEAF_AUTO (id, memberIdField (object, "promote"));
        return AdminPromoteMember{ id };
    }
    const QJsonObject added = object.value (QLatin1String ("add")).toObject();
    consensus::Member member;
    BOOST_LEAF_ASSIGN (member.id, memberIdField (added, "id"));
    BOOST_LEAF_ASSIGN (member.peerAddress, addressField (added, "peer_address"));
    BOOST_LEAF_ASSIGN (member.adminAddress, addressField (added, "admin_address"));
    BOOST_LEAF_ASSIGN (member.zone, textField (added, "zone"));
    member.isVoter = false;
    return AdminAddMember{ member };
}

base::Result<AdminRequest> parseDrain (const http::Request& request)
{
    BOOST_LEAF_AUTO (object, parseObject (request.body));
    BOOST_LEAF_AUTO (runner, textField (object, "runner"));
    const QJsonValue draining = object.value (QLatin1String ("draining"));
    if (! draining.isBool())
    {
        return base::fail (ErrorKind::kInvalidRequest, "'draining' must be true or false");
    }
    return AdminDrain{ base::RunnerId (runner), draining.toBool() };
}

base::Result<AdminRequest> parseRelease (const http::Request& request)
{
    BOOST_LEAF_AUTO (object, parseObject (request.body));
    if (object.value (QLatin1String ("release_all")).toBool() && object.size() == 1)
        return AdminRelease{};
    BOOST_LEAF_AUTO (digest, textField (object, "release"));
    return AdminRelease{ digest };
}

base::Result<AdminRequest> parseExplain (std::string_view rest)
{
    const std::size_t slash = rest.find ('/');
    const std::string kind (rest.substr (0, slash));
    const std::string encoded (slash == std::string_view::npos ? "" : rest.substr (slash + 1));
    const std::string name = QUrl::fromPercentEncoding (http::byteView (encoded)).toStdString();
    if (kind.empty())
        return base::fail (ErrorKind::kNotFound, "explain/KIND/NAME is expected");
    return AdminExplain{ kind, name };
}

base::Result<AdminRequest> parseGet (std::string_view resource)
{
    if (resource == "configuration")
        return AdminExplain{ "configuration", {} };
    if (resource == "status")
        return AdminStatus{};
    if (resource == "members")
        return AdminMembers{};
    if (resource == "quarantine")
        return AdminQuarantine{};
    if (resource.starts_with (kExplainPrefix))
    {
        return parseExplain (resource.substr (kExplainPrefix.size()));
    }
    if (resource == "drain")
        return base::fail (ErrorKind::kMethodNotAllowed, "drain accepts only POST");
    return base::fail (ErrorKind::kNotFound, "no such resource");
}

base::Result<AdminRequest> parsePost (std::string_view resource, const http::Request& request)
{
    if (resource == "configuration")
        return parseApply (request);
    if (resource == "members")
        return parseMembersChange (request);
    if (resource == "drain")
        return parseDrain (request);
    if (resource == "quarantine")
        return parseRelease (request);
    if (resource == "status" || resource.starts_with (kExplainPrefix))
    {
        return base::fail (ErrorKind::kMethodNotAllowed, "this resource accepts only GET");
    }
    return base::fail (ErrorKind::kNotFound, "no such resource");
}

}  // namespace

base::Result<AdminRequest> parseAdminRequest (const http::Request& request)
{
    std::string_view resource = request.path;
    if (! resource.starts_with (kPrefix))
    {
        return base::fail (ErrorKind::kNotFound, "no such resource");
    }
    resource.remove_prefix (kPrefix.size());
    if (request.method == "GET")
        return parseGet (resource);
    if (request.method == "POST")
        return parsePost (resource, request);
    return base::fail (ErrorKind::kMethodNotAllowed, "only GET and POST are accepted");
}

}  // namespace fernlift::controller
