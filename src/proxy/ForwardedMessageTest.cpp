#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cctype>
#include <string>
#include <vector>

#include "proxy/ForwardedMessage.h"
#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

ProtocolNames names()
{
    ProtocolNames names = ProxyFixture::testNames();
    names.reserved = { "Test-Hold", "Test-Source", "Test-Tenant" };
    names.tenant = "Test-Tenant";
    names.internalAnswerFields = { "Test-Load" };
    return names;
}

AttemptFields attempt()
{
    AttemptFields fields;
    fields.instance = "i-1";
    fields.timeLeft = base::seconds (1);
    return fields;
}

std::string lowerCase (std::string text)
{
    for (char& letter : text)
        letter = static_cast<char> (std::tolower (static_cast<unsigned char> (letter)));
    return text;
}

/// The name with the case of the letters selected by the bits of `mask` changed.
std::string withCase (std::string name, std::uint32_t mask)
{
    for (std::size_t i = 0; i < name.size(); ++i)
    {
        const auto letter = static_cast<unsigned char> (name[i]);
        if (((mask >> (i % 32)) & 1U) != 0)
            name[i] = static_cast<char> (std::isupper (letter) != 0 ? std::tolower (letter)
                                                                    : std::toupper (letter));
    }
    return name;
}

RC_GTEST_PROP (ForwardedMessageTest, ReservedFieldsOfCallersAreNotForwarded, ())
{
    const ProtocolNames protocol = names();
    std::vector<std::string> candidates = protocol.reserved;
    candidates.insert (candidates.end(), { protocol.targetInstance, protocol.priority, "X-Other" });
    ParsedRequest request;
    request.method = "GET";
    request.target = "/";
    const auto count = *rc::gen::inRange (0, 12);
    for (int i = 0; i < count; ++i)
    {
        const std::string name =
            withCase (*rc::gen::elementOf (candidates), *rc::gen::arbitrary<std::uint32_t>());
        if (*rc::gen::arbitrary<bool>())
            request.headers.add ("Connection", name);
        request.headers.add (name, "forged");
    }
    const std::string bytes = lowerCase (requestBytes (request, protocol, attempt()));
    for (const std::string& name : candidates)
    {
        if (name != "X-Other")
            RC_ASSERT (bytes.find ("\r\n" + lowerCase (name) + ": forged") == std::string::npos);
    }
}

TEST (ForwardedMessageTest, OnlyRouterSetsTenantField)
{
    ParsedRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers.add ("test-tenant", "another");
    AttemptFields fields = attempt();
    fields.tenant = "farm";
    const std::string bytes = requestBytes (request, names(), fields);
    EXPECT_NE (bytes.find ("Test-Tenant: farm\r\n"), std::string::npos);
    EXPECT_EQ (bytes.find ("another"), std::string::npos);
}

TEST (ForwardedMessageTest, CheckedKeyIsNotForwarded)
{
    ParsedRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers.add ("authorization", "Bearer secret");
    AttemptFields fields = attempt();
    EXPECT_NE (requestBytes (request, names(), fields).find ("secret"), std::string::npos);
    fields.dropsCredentials = true;
    EXPECT_EQ (requestBytes (request, names(), fields).find ("secret"), std::string::npos);
}

TEST (ForwardedMessageTest, InternalAnswerFieldsAreNotForwarded)
{
    const http::Headers passed =
        forwardedAnswerHeaders ({ { "test-load", "1,0,8" }, { "X-Own", "1" } }, names());
    EXPECT_EQ (passed.fields(), (std::vector<http::Header>{ { "X-Own", "1" } }));
}

TEST (RequestParserTest, DiscardsTrailers)
{
    RequestParser parser ({});
    std::string bytes =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\nTest-Hold: forged\r\n\r\n";
    ASSERT_TRUE (parser.parse (bytes));
    ASSERT_EQ (parser.state(), RequestParser::State::kDone);
    const ParsedRequest request = parser.take();
    EXPECT_EQ (request.body, "body");
    EXPECT_FALSE (request.headers.contains ("Test-Hold"));
}

}  // namespace
}  // namespace fernlift::proxy::test
