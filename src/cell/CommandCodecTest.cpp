#include <gtest/gtest.h>

#include "cell/CommandCodec.h"

namespace fernlift::cell
{
namespace
{

std::optional<ApplyConfiguration> decoded (const std::string& bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<ApplyConfiguration>>
        {
            BOOST_LEAF_AUTO (command, decodeCommand (bytes));
            return std::optional (std::get<ApplyConfiguration> (command));
        },
        [] (const base::Error&) { return std::optional<ApplyConfiguration>(); });
}

TEST (CommandCodecTest, SmallAndLargeCommandsAreDecoded)
{
    for (const std::size_t size : { 10UL, 100'000UL })
    {
        const ApplyConfiguration command{ 7, "digest", std::string (size, 'x'), 5 };
        const auto back = decoded (encodeCommand (command));
        ASSERT_TRUE (back);
        EXPECT_EQ (back->version, 7U);
        EXPECT_EQ (back->text, command.text);
    }
}

TEST (CommandCodecTest, LargeFilesAreCompressed)
{
    const ApplyConfiguration command{ 7, "digest", std::string (100'000, 'x'), 5 };
    EXPECT_LT (encodeCommand (command).size(), 2000U);
}

TEST (CommandCodecTest, RejectsDamagedBytes)
{
    std::string bytes = encodeCommand (ApplyConfiguration{ 7, "d", std::string (9000, 'x'), 5 });
    bytes[bytes.size() / 2] = static_cast<char> (bytes[bytes.size() / 2] ^ 0x55);
    EXPECT_FALSE (decoded (bytes));
    EXPECT_FALSE (decoded (""));
}

}  // namespace
}  // namespace fernlift::cell
