#include "proxy/PeerMessage.h"

#include <QByteArray>
#include <algorithm>
#include <array>
#include <charconv>
#include <map>

#include "proxy/ForwardedMessage.h"

namespace fernlift::proxy
{
namespace
{

constexpr std::string_view kRequestField = "Fernlift-Peer-Request";
constexpr std::string_view kAnswerField = "Fernlift-Peer-Answer";
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

struct OutcomeName
{
    PeerOutcome outcome;
    std::string_view name;
};

constexpr std::array<OutcomeName, 5> kOutcomes{ { { PeerOutcome::kAnswered, "answered" },
                                                  { PeerOutcome::kRefused, "refused" },
                                                  { PeerOutcome::kFailed, "failed" },
                                                  { PeerOutcome::kUnreachable, "unreachable" },
                                                  { PeerOutcome::kUnavailable, "unavailable" } } };

struct PathName
{
    PeerPath path;
    std::string_view name;
};

constexpr std::array<PathName, 3> kPaths{ { { PeerPath::kOpen, "open" },
                                            { PeerPath::kInDoubt, "doubt" },
                                            { PeerPath::kIsolated, "isolated" } } };

/// Values by name, decoded.
using Values = std::map<std::string, std::string, std::less<>>;

std::string encoded (std::string_view text)
{
    return http::byteView (text).toPercentEncoding().toStdString();
}

std::string hexOf (std::uint64_t number)
{
    std::array<char, 2 * sizeof number> digits{};
    const auto end =
        std::to_chars (digits.data(), digits.data() + digits.size(), number, kHexadecimal).ptr;
    return { digits.data(), end };
}

Values parseValues (std::string_view text)
{
    Values values;
    while (! text.empty())
    {
        const std::string_view item = text.substr (0, text.find (';'));
        text.remove_prefix (std::min (text.size(), item.size() + 1));
        const std::size_t equals = item.find ('=');
        if (equals == std::string_view::npos)
            continue;
        const QByteArray value =
            QByteArray::fromPercentEncoding (http::byteView (item.substr (equals + 1)));
        values.emplace (item.substr (0, equals), value.toStdString());
    }
    return values;
}

base::Result<std::string> textOf (const Values& values, std::string_view name)
{
    const auto found = values.find (name);
    if (found == values.end())
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "the statement of the other router has no " + std::string (name));
    return found->second;
}

base::Result<std::uint64_t> numberOf (const Values& values, std::string_view name, int numberBase)
{
    BOOST_LEAF_AUTO (text, textOf (values, name));
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [last, status] = std::from_chars (text.data(), end, number, numberBase);
    if (status != std::errc() || last != end)
        return base::fail (
            base::ErrorKind::kMessageInvalid,
            "the statement of the other router has an invalid " + std::string (name));
    return number;
}

base::Result<Values> takeValues (http::Headers& headers, std::string_view name)
{
    const std::optional<std::string> text = headers.takeLast (name);
    if (! text)
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "the message has no field " + std::string (name));
    return parseValues (*text);
}

void addField (std::string& text, std::string_view name, std::string_view value)
{
    text.append (name).append (": ").append (value).append ("\r\n");
}

}  // namespace

std::string_view toString (PeerOutcome outcome)
{
    return std::ranges::find (kOutcomes, outcome, &OutcomeName::outcome)->name;
}

std::string_view toString (PeerPath path)
{
    return std::ranges::find (kPaths, path, &PathName::path)->name;
}

namespace
{

void addNotice (std::string& text, const StreamNotice& notice)
{
    text.append (";stream=").append (encoded (notice.key));
    text.append (";software=").append (encoded (notice.softwareVersion));
    text.append (";lifetime=").append (std::to_string (base::toMilliseconds (notice.lifetime)));
}

void addNotice (std::string& text, const PathNotice& notice)
{
    text.append (";path=").append (toString (notice.path));
}

void addNotice (std::string& text, const StreamQuery& query)
{
    text.append (";streams=").append (encoded (query.after));
}

}  // namespace

std::string formatPeerRequest (const PeerRequest& request)
{
    std::string text = "router=" + encoded (request.router) + ";key=" + hexOf (request.key)
                       + ";configuration=" + std::to_string (request.configurationVersion)
                       + ";avoid=" + encoded (request.avoidedInstance);
    if (! request.softwareVersion.empty())
        text.append (";version=").append (encoded (request.softwareVersion));
    if (request.notice)
        std::visit ([&] (const auto& notice) { addNotice (text, notice); }, *request.notice);
    return text;
}

std::string formatPeerAnswer (const PeerAnswer& answer)
{
    std::string text = "outcome=";
    text.append (toString (answer.outcome));
    text.append (";attempts=").append (std::to_string (answer.attempts));
    text.append (";runner=").append (encoded (answer.runner));
    text.append (";isolated=").append (answer.isIsolated ? "1" : "0");
    if (answer.softwareVersion)
        text.append (";version=").append (encoded (*answer.softwareVersion));
    if (answer.isNoticeRead)
        text.append (";notice=1");
    return text;
}

namespace
{

base::Result<PathNotice> pathNoticeIn (const Values& values)
{
    BOOST_LEAF_AUTO (name, textOf (values, "path"));
    const auto path = std::ranges::find (kPaths, name, &PathName::name);
    if (path == kPaths.end())
        return base::fail (base::ErrorKind::kMessageInvalid, "unknown path state " + name);
    return PathNotice{ path->path };
}

base::Result<StreamNotice> streamNoticeIn (const Values& values)
{
    StreamNotice notice;
    BOOST_LEAF_ASSIGN (notice.key, textOf (values, "stream"));
    BOOST_LEAF_ASSIGN (notice.softwareVersion, textOf (values, "software"));
    BOOST_LEAF_AUTO (lifetime, numberOf (values, "lifetime", kDecimal));
    notice.lifetime = base::milliseconds (lifetime);
    return notice;
}

}  // namespace

base::Result<PeerRequest> takePeerRequest (http::Headers& headers)
{
    BOOST_LEAF_AUTO (values, takeValues (headers, kRequestField));
    PeerRequest request;
    BOOST_LEAF_ASSIGN (request.router, textOf (values, "router"));
    BOOST_LEAF_ASSIGN (request.key, numberOf (values, "key", kHexadecimal));
    BOOST_LEAF_ASSIGN (request.configurationVersion, numberOf (values, "configuration", kDecimal));
    BOOST_LEAF_ASSIGN (request.avoidedInstance, textOf (values, "avoid"));
    if (values.contains ("version"))
    {
        BOOST_LEAF_ASSIGN (request.softwareVersion, textOf (values, "version"));
    }
    if (values.contains ("stream"))
    {
        BOOST_LEAF_ASSIGN (request.notice, streamNoticeIn (values));
    }
    else if (values.contains ("path"))
    {
        BOOST_LEAF_ASSIGN (request.notice, pathNoticeIn (values));
    }
    else if (values.contains ("streams"))
    {
        StreamQuery query;
        BOOST_LEAF_ASSIGN (query.after, textOf (values, "streams"));
        request.notice = query;
    }
    return request;
}

base::Result<PeerAnswer> takePeerAnswer (http::Headers& headers)
{
    BOOST_LEAF_AUTO (values, takeValues (headers, kAnswerField));
    BOOST_LEAF_AUTO (name, textOf (values, "outcome"));
    const auto outcome = std::ranges::find (kOutcomes, name, &OutcomeName::name);
    if (outcome == kOutcomes.end())
        return base::fail (base::ErrorKind::kMessageInvalid, "unknown outcome " + name);
    PeerAnswer answer;
    answer.outcome = outcome->outcome;
    BOOST_LEAF_AUTO (attempts, numberOf (values, "attempts", kDecimal));
    answer.attempts = static_cast<std::uint32_t> (std::min<std::uint64_t> (attempts, 1));
    BOOST_LEAF_ASSIGN (answer.runner, textOf (values, "runner"));
    BOOST_LEAF_AUTO (isIsolated, numberOf (values, "isolated", kDecimal));
    answer.isIsolated = isIsolated != 0;
    answer.isNoticeRead = values.contains ("notice");
    if (values.contains ("version"))
    {
        BOOST_LEAF_ASSIGN (answer.softwareVersion, textOf (values, "version"));
    }
    return answer;
}

void addPeerAnswer (http::Headers& headers, const PeerAnswer& answer)
{
    headers.add (std::string (kAnswerField), formatPeerAnswer (answer));
}

std::string peerRequestBytes (const ParsedRequest& request, const ProtocolNames& names,
                              const PeerRequestFields& fields)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    const http::Headers passed = endToEndFields (request.headers);
    for (const http::Header& field : passed.fields())
    {
        const bool isResumed =
            fields.lastEventId && http::equalsIgnoringCase (field.name, names.lastEventId);
        if (! isResumed && ! http::equalsIgnoringCase (field.name, names.deadline))
            addField (text, field.name, field.value);
    }
    addField (text, names.deadline, std::to_string (base::toMilliseconds (fields.timeLeft)));
    if (fields.lastEventId)
        addField (text, names.lastEventId, *fields.lastEventId);
    if (request.hasBodyFraming || ! request.body.empty())
        addField (text, "Content-Length", std::to_string (request.body.size()));
    addField (text, kRequestField, formatPeerRequest (fields.statement));
    text.append ("\r\n").append (request.body);
    return text;
}

std::string peerNoticeBytes (const PeerRequest& statement)
{
    std::string text = "POST / HTTP/1.1\r\nContent-Length: 0\r\n";
    addField (text, kRequestField, formatPeerRequest (statement));
    text.append ("\r\n");
    return text;
}

}  // namespace fernlift::proxy
