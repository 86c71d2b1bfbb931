#include "proxy/ForwardedMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <vector>

namespace fernlift::proxy
{
namespace
{

/// Fields that concern one connection only, and those of framing.
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

/// Names in the fields `Connection`: they too concern one connection only.
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

bool isConnectionField (std::string_view name, const std::vector<std::string>& named)
{
    const auto equals = [&] (std::string_view other)
    { return http::equalsIgnoringCase (name, other); };
    return std::ranges::any_of (kConnectionFields, equals) || std::ranges::any_of (named, equals);
}

class RequestWriter
{
public:
    RequestWriter (const ParsedRequest& request, const ProtocolNames& names,
                   const AttemptFields& fields)
        : request_ (request), names_ (names), fields_ (fields)
    {
    }

    std::string write()
    {
        text_.reserve (request_.body.size() + 1024);
        text_.append (request_.method)
            .append (" ")
            .append (request_.target)
            .append (" HTTP/1.1\r\n");
        const std::vector<std::string> named = namedByConnection (request_.headers);
        for (const http::Header& field : request_.headers.fields())
        {
            if (isConnectionField (field.name, named) || isSetHere (field.name))
                continue;
            add (field.name, field.value);
        }
        addOwnFields();
        if (request_.hasBodyFraming || ! request_.body.empty())
        {
            add ("Content-Length", std::to_string (request_.body.size()));
        }
        text_.append ("\r\n").append (request_.body);
        return std::move (text_);
    }

private:
    [[nodiscard]] bool isSetHere (std::string_view name) const
    {
        const bool isResumed =
            fields_.lastEventId && http::equalsIgnoringCase (name, names_.lastEventId);
        return isResumed || http::equalsIgnoringCase (name, names_.deadline)
               || http::equalsIgnoringCase (name, names_.targetInstance)
               || http::equalsIgnoringCase (name, names_.priority);
    }

    void addOwnFields()
    {
        add (names_.deadline,
             std::to_string (std::max<std::int64_t> (base::toMilliseconds (fields_.left), 1)));
        add (names_.targetInstance, fields_.instance);
        add (names_.priority, std::to_string (fields_.priority));
        if (fields_.lastEventId)
            add (names_.lastEventId, *fields_.lastEventId);
    }

    void add (std::string_view name, std::string_view value)
    {
        if (name.empty())
            return;
        text_.append (name).append (": ").append (value).append ("\r\n");
    }

    const ParsedRequest& request_;
    const ProtocolNames& names_;
    const AttemptFields& fields_;
    std::string text_;
};

}  // namespace

std::string requestBytes (const ParsedRequest& request, const ProtocolNames& names,
                          const AttemptFields& fields)
{
    return RequestWriter (request, names, fields).write();
}

http::Headers passedAnswerHeaders (const http::Headers& headers)
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

std::optional<base::Duration> statedDeadline (const ParsedRequest& request,
                                              const ProtocolNames& names)
{
    const std::string text = request.headers.value (names.deadline);
    double milliseconds = 0;
    const auto [end, status] =
        std::from_chars (text.data(), text.data() + text.size(), milliseconds);
    constexpr double kLongest = 1e9;
    if (status != std::errc() || milliseconds <= 0 || milliseconds > kLongest)
        return std::nullopt;
    return base::Duration (static_cast<std::int64_t> (milliseconds * 1000));
}

}  // namespace fernlift::proxy
