#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/Compression.h"

namespace fernlift::base
{
namespace
{

constexpr std::size_t kLimit = 1000;

RC_GTEST_PROP (CompressionTest, RestoresTheInput, ())
{
    const auto bytes = *rc::gen::container<std::string> (rc::gen::arbitrary<char>());
    RC_ASSERT (decompress (compress (bytes), kLimit) == bytes);
}

TEST (CompressionTest, RefusesDamagedOrTooLargeInput)
{
    const std::string compressed = compress (std::string (kLimit, 'a'));
    EXPECT_LT (compressed.size(), kLimit / 10);
    EXPECT_TRUE (decompress (compressed, kLimit));
    EXPECT_EQ (decompress (compressed, kLimit - 1), std::nullopt);
    EXPECT_EQ (decompress (compressed.substr (0, compressed.size() - 1), kLimit), std::nullopt);
    EXPECT_EQ (decompress ("abc", kLimit), std::nullopt);
    EXPECT_EQ (decompress (std::string ({ 0, 0, 0, 20 }) + "no stream", kLimit), std::nullopt);
}

}  // namespace
}  // namespace fernlift::base
