#include <gtest/gtest.h>

#include "proxy/PromptParts.h"

namespace fernlift::proxy
{
namespace
{

TEST (PromptPartsTest, LastPartIsNotShared)
{
    EXPECT_EQ (sharedParts ("a:800,b:410,c:250"), "a:800,b:410");
    EXPECT_EQ (sharedParts ("a:800"), "");
    EXPECT_EQ (sharedParts (""), "");
}

TEST (PromptPartsTest, IdsOfSharedPartsAreWithoutTokens)
{
    EXPECT_EQ (sharedPartIds ("a:800,b,c:250"), (std::vector<std::string>{ "a", "b" }));
    EXPECT_TRUE (sharedPartIds ("a:800").empty());
    EXPECT_TRUE (sharedPartIds ("").empty());
}

TEST (PromptPartsTest, SumsTokensAndCountsInvalidNumbersAsZero)
{
    EXPECT_EQ (tokensOf ("a:800,b:410,c:250"), 1460U);
    EXPECT_EQ (tokensOf ("a:800,b,c:x,,d:"), 800U);
    EXPECT_EQ (tokensOf (""), 0U);
}

}  // namespace
}  // namespace fernlift::proxy
