#include "proxy/ForwardedMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <vector>

#include "proxy/KeyTable.h"

namespace fernlift::proxy
{
namespace
{

/// Hop-by-hop fields and fields of the framing.
constexpr std::array<std::string_view, 11> kConnectionFields{ "Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length",
                                                              "Expect" };

/// Names listed in the `Connection` fields, which are hop-by-hop fields as well.
std::vector<std::string> namedByConnection (const http::Headers& headers)
{
    std::vector<std::string> names;
    for (const http::Header& field : headers.fields())
    {
        if (! http::equalsIgnoringCase (field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (! rest.empty())
        {
            const std::size_t comma = rest.find (',');
            std::string_view name = rest.substr (0, comma);
            while (! name.empty() && name.front() == ' ')
                name.remove_prefix (1);
            while (! name.empty() && name.back() == ' ')
                name.remove_suffix (1);
            if (! name.empty())
                names.emplace_back (name);
            rest.remove_prefix (comma == std::string_view::npos ? rest.size() : comma + 1);
        }
    }
    return names;
}

bool isOneOf (std::string_view name, const std::vector<std::string>& names)
{
    return std::ranges::any_of (
        names, [&] (const std::string& other) { return http::equalsIgnoringCase (name, other); });
}

bool isConnectionField (std::string_view name, const std::vector<std::string>& named)
{
    const auto equals = [&] (std::string_view other)
    { return http::equalsIgnoringCase (name, other); };
    return std::ranges::any_of (kConnectionFields, equals) || isOneOf (name, named);
}

class RequestWriter
{
public:
    RequestWriter (const ParsedRequest& request, const ProtocolNames& names,
                   const AttemptFields& fields)
        : m_request (request), m_names (names), m_fields (fields)
    {
    }

    std::string write()
    {
        m_text.reserve (m_request.body.size() + 1024);
        m_text.append (m_request.method)
            .append (" ")
            .append (m_request.target)
            .append (" HTTP/1.1\r\n");
        const std::vector<std::string> named = namedByConnection (m_request.headers);
        for (const http::Header& field : m_request.headers.fields())
        {
            if (isConnectionField (field.name, named) || isReplaced (field.name))
                continue;
            add (field.name, field.value);
        }
        addOwnFields();
        if (m_request.hasBodyFraming || ! m_request.body.empty())
        {
            add ("Content-Length", std::to_string (m_request.body.size()));
        }
        m_text.append ("\r\n").append (m_request.body);
        return std::move (m_text);
    }

private:
    [[nodiscard]] bool isReplaced (std::string_view name) const
    {
        const bool isResumed =
            m_fields.lastEventId && http::equalsIgnoringCase (name, m_names.lastEventId);
        const bool isCredential =
            m_fields.dropsCredentials && http::equalsIgnoringCase (name, kCredentialsField);
        return isResumed || isCredential || isOneOf (name, m_names.reserved)
               || http::equalsIgnoringCase (name, m_names.deadline)
               || http::equalsIgnoringCase (name, m_names.targetInstance)
               || http::equalsIgnoringCase (name, m_names.priority);
    }

    void addOwnFields()
    {
        add (m_names.deadline,
             std::to_string (std::max<std::int64_t> (base::toMilliseconds (m_fields.timeLeft), 1)));
        add (m_names.targetInstance, m_fields.instance);
        add (m_names.priority, std::to_string (m_fields.priority));
        if (! m_fields.tenant.empty())
            add (m_names.tenant, m_fields.tenant);
        if (m_fields.lastEventId)
            add (m_names.lastEventId, *m_fields.lastEventId);
    }

    void add (std::string_view name, std::string_view value)
    {
        if (name.empty())
            return;
        m_text.append (name).append (": ").append (value).append ("\r\n");
    }

    const ParsedRequest& m_request;
    const ProtocolNames& m_names;
    const AttemptFields& m_fields;
    std::string m_text;
};

}  // namespace

std::string requestBytes (const ParsedRequest& request, const ProtocolNames& names,
                          const AttemptFields& fields)
{
    return RequestWriter (request, names, fields).write();
}

http::Headers endToEndFields (const http::Headers& headers)
{
    http::Headers passed;
    const std::vector<std::string> named = namedByConnection (headers);
    for (const http::Header& field : headers.fields())
    {
        if (! isConnectionField (field.name, named))
            passed.add (field.name, field.value);
    }
    return passed;
}

http::Headers forwardedAnswerHeaders (const http::Headers& headers, const ProtocolNames& names)
{
    http::Headers passed = endToEndFields (headers);
    for (const std::string& name : names.internalAnswerFields)
        passed.remove (name);
    return passed;
}

std::optional<base::Duration> statedDeadline (const ParsedRequest& request,
                                              const ProtocolNames& names)
{
    const std::string text = request.headers.value (names.deadline);
    double milliseconds = 0;
    const auto [end, status] =
        std::from_chars (text.data(), text.data() + text.size(), milliseconds);
    constexpr double kMaxMilliseconds = 1e9;
    if (status != std::errc() || milliseconds <= 0 || milliseconds > kMaxMilliseconds)
        return std::nullopt;
    return base::Duration (static_cast<std::int64_t> (milliseconds * 1000));
}

}  // namespace fernlift::proxy
