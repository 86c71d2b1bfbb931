#include <gtest/gtest.h>

#include "base/SocketAddress.h"

namespace fernlift::base
{
namespace
{

TEST (SocketAddress, tryParseRejectsInvalidText)
{
    const auto address = SocketAddress::tryParse ("10.1.0.19:7200");
    ASSERT_TRUE (address);
    EXPECT_EQ (address->toString(), "10.1.0.19:7200");
    for (const char* text : { "", "10.1.0.19", "host.example:80", "10.1.0.19:", "10.1.0.19:70000" })
        EXPECT_EQ (SocketAddress::tryParse (text), std::nullopt) << text;
}

}  // namespace
}  // namespace fernlift::base
