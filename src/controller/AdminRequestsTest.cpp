#include <gtest/gtest.h>

#include "controller/AdminRequests.h"

namespace fernlift::controller
{
namespace
{

http::Request requestOf (std::string method, std::string path, std::string body = {},
                         std::string query = {})
{
    http::Request request;
    request.method = std::move (method);
    request.path = std::move (path);
    request.body = std::move (body);
    request.query = std::move (query);
    return request;
}

template <class Expected>
Expected parseAs (const http::Request& request)
{
    const auto parsed = parseAdminRequest (request);
    EXPECT_TRUE (parsed) << request.path;
    if (! parsed || ! std::holds_alternative<Expected> (*parsed))
    {
        ADD_FAILURE() << request.path << " was parsed as a request of another type";
        return {};
    }
    return std::get<Expected> (*parsed);
}

base::ErrorKind refusalOf (const http::Request& request)
{
    return base::handleErrors (
        [&]() -> base::Result<base::ErrorKind>
        {
            BOOST_LEAF_CHECK (parseAdminRequest (request));
            ADD_FAILURE() << request.method << " " << request.path << " was accepted";
            return base::ErrorKind::kInternal;
        },
        [] (const base::Error& error) { return error.kind; });
}

TEST (AdminRequests, ParsesApplyWithOptions)
{
    const auto apply = parseAs<AdminApply> (
        requestOf ("POST", "/admin/v1/configuration", "version = 1", "wait=1&timeout_ms=1500"));
    EXPECT_EQ (apply.text, "version = 1");
    EXPECT_TRUE (apply.waitInForce);
    EXPECT_EQ (apply.timeout, base::milliseconds (1500));
    EXPECT_FALSE (parseAs<AdminApply> (requestOf ("POST", "/admin/v1/configuration")).waitInForce);
}

TEST (AdminRequests, ParsesQueries)
{
    parseAs<AdminStatus> (requestOf ("GET", "/admin/v1/status"));
    parseAs<AdminMembers> (requestOf ("GET", "/admin/v1/members"));
    const auto explain =
        parseAs<AdminExplain> (requestOf ("GET", "/admin/v1/explain/model/org%2Fmodel"));
    EXPECT_EQ (explain.kind, "model");
    EXPECT_EQ (explain.name, "org/model");
    EXPECT_EQ (parseAs<AdminExplain> (requestOf ("GET", "/admin/v1/configuration")).kind,
               "configuration");
}

TEST (AdminRequests, ParsesMembershipChanges)
{
    const auto added = parseAs<AdminAddMember> (requestOf (
        "POST", "/admin/v1/members",
        R"({"add":{"id":4,"peer_address":"127.0.0.1:1","admin_address":"127.0.0.1:2","zone":"z"}})"));
    EXPECT_EQ (added.member, (consensus::Member{ 4, "127.0.0.1:1", "127.0.0.1:2", "z", false }));
    const char* path = "/admin/v1/members";
    EXPECT_EQ (parseAs<AdminRemoveMember> (requestOf ("POST", path, R"({"remove":2})")).id, 2U);
    EXPECT_EQ (parseAs<AdminPromoteMember> (requestOf ("POST", path, R"({"promote":4})")).id, 4U);
}

TEST (AdminRequests, ParsesDrain)
{
    const auto drain = parseAs<AdminDrain> (
        requestOf ("POST", "/admin/v1/drain", R"({"runner":"r1","draining":false})"));
    EXPECT_EQ (drain.runner.value, "r1");
    EXPECT_FALSE (drain.isDraining);
}

TEST (AdminRequests, ParsesQuarantineAndRelease)
{
    const char* path = "/admin/v1/quarantine";
    parseAs<AdminQuarantine> (requestOf ("GET", path));
    EXPECT_EQ (parseAs<AdminRelease> (requestOf ("POST", path, R"({"release":"0a"})")).digest,
               "0a");
    EXPECT_EQ (parseAs<AdminRelease> (requestOf ("POST", path, R"({"release_all":true})")).digest,
               "");
    for (const char* body : { "", "{}", R"({"release":""})", R"({"release_all":false})" })
    {
        EXPECT_EQ (refusalOf (requestOf ("POST", path, body)), base::ErrorKind::kInvalidRequest)
            << body;
    }
}

TEST (AdminRequests, RejectsMalformedRequests)
{
    using base::ErrorKind;
    for (const char* body :
         { "", "[]", "{}", R"({"remove":0})", R"({"remove":"2"})", R"({"remove":2,"promote":3})",
           R"({"add":{"id":4}})",
           R"({"add":{"id":4,"peer_address":"host:1","admin_address":"127.0.0.1:2","zone":"z"}})" })
    {
        EXPECT_EQ (refusalOf (requestOf ("POST", "/admin/v1/members", body)),
                   ErrorKind::kInvalidRequest)
            << body;
    }
    for (const char* query : { "timeout_ms=0", "timeout_ms=x", "timeout_ms=600001" })
    {
        EXPECT_EQ (refusalOf (requestOf ("POST", "/admin/v1/configuration", "", query)),
                   ErrorKind::kInvalidRequest);
    }
    EXPECT_EQ (refusalOf (requestOf ("POST", "/admin/v1/drain", R"({"runner":"r1"})")),
               ErrorKind::kInvalidRequest);
    EXPECT_EQ (refusalOf (requestOf ("GET", "/admin/v1/nothing")), ErrorKind::kNotFound);
    EXPECT_EQ (refusalOf (requestOf ("GET", "/")), ErrorKind::kNotFound);
    EXPECT_EQ (refusalOf (requestOf ("POST", "/admin/v1/status")), ErrorKind::kMethodNotAllowed);
    EXPECT_EQ (refusalOf (requestOf ("DELETE", "/admin/v1/status")), ErrorKind::kMethodNotAllowed);
}

}  // namespace
}  // namespace fernlift::controller
