// Tests of which requests have the same identity.

#include <gtest/gtest.h>

#include "proxy/RequestIdentity.h"

namespace fernlift::proxy
{
namespace
{

ParsedRequest requestOf (const std::string& target, const std::string& body)
{
    ParsedRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.add ("Host", "app.test");
    request.body = body;
    return request;
}

TEST (RequestIdentityTest, SameRequestWithOtherIdsAndDeadlinesHasSameIdentity)
{
    const ParsedRequest first = requestOf ("/a?q=1", "body");
    ParsedRequest again = first;
    again.headers.add ("Test-Id", "r2");
    again.headers.add ("Test-Deadline", "10");
    again.headers.add ("Last-Event-Id", "7");
    EXPECT_EQ (identityOf (first, "farm"), identityOf (again, "farm"));
    EXPECT_EQ (identityOf (first, "farm").fingerprint, fingerprintOf (again, "farm"));
}

TEST (RequestIdentityTest, IdentityDependsOnCallerMethodHostTargetAndBody)
{
    const cell::RequestIdentity first = identityOf (requestOf ("/a", "body"), "farm");
    EXPECT_NE (first, identityOf (requestOf ("/a", "body"), "fish"));
    EXPECT_NE (first, identityOf (requestOf ("/b", "body"), "farm"));
    EXPECT_NE (first, identityOf (requestOf ("/a", "ydob"), "farm"));
    ParsedRequest other = requestOf ("/a", "body");
    other.method = "PUT";
    EXPECT_NE (first, identityOf (other, "farm"));
    other = requestOf ("/a", "body");
    other.headers.set ("Host", "other.test");
    EXPECT_NE (first, identityOf (other, "farm"));
}

TEST (RequestIdentityTest, IdentityOfPromptPartDependsOnCallerAndService)
{
    const cell::RequestIdentity part = identityOfPart ("p1", "llm", "farm");
    EXPECT_TRUE (part.isPromptPart());
    EXPECT_FALSE (identityOf (requestOf ("/a", "body"), "farm").isPromptPart());
    EXPECT_EQ (part, identityOfPart ("p1", "llm", "farm"));
    EXPECT_EQ (part.fingerprint, fingerprintOfPart ("p1", "llm", "farm"));
    EXPECT_NE (part, identityOfPart ("p2", "llm", "farm"));
    EXPECT_NE (part, identityOfPart ("p1", "app", "farm"));
    EXPECT_NE (part, identityOfPart ("p1", "llm", "fish"));
}

TEST (RequestIdentityTest, PartsAreNotAmbiguousWhenConcatenated)
{
    EXPECT_NE (identityOf (requestOf ("/a", "b"), "farm1"),
               identityOf (requestOf ("1/a", "b"), "farm"));
}

}  // namespace
}  // namespace fernlift::proxy
