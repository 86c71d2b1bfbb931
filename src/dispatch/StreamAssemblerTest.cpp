#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "dispatch/StreamAssembler.h"

namespace fernlift::dispatch
{
namespace
{

TEST (StreamAssemblerTest, PassesPartsInOrderAndDropsRepeatedOnes)
{
    StreamAssembler assembler;
    EXPECT_EQ (assembler.accept (0, 2), PartVerdict::kPass);
    EXPECT_EQ (assembler.accept (0, 2), PartVerdict::kDuplicate);
    EXPECT_EQ (assembler.accept (1, 1), PartVerdict::kDuplicate);
    EXPECT_EQ (assembler.accept (2, 1), PartVerdict::kPass);
    EXPECT_EQ (assembler.nextOffset(), 3U);
}

TEST (StreamAssemblerTest, AGapAndAStraddlingPartAreNotPassed)
{
    StreamAssembler assembler;
    EXPECT_EQ (assembler.accept (1, 1), PartVerdict::kGap);
    assembler.accept (0, 2);
    EXPECT_EQ (assembler.accept (1, 2), PartVerdict::kGap);
    EXPECT_EQ (assembler.nextOffset(), 2U);
}

TEST (StreamAssemblerTest, RestartsFromOffsetZero)
{
    StreamAssembler assembler;
    assembler.accept (0, 5);
    assembler.restart();
    EXPECT_EQ (assembler.accept (0, 1), PartVerdict::kPass);
}

// Whatever parts arrive, the passed parts always form a prefix of the whole text.
RC_GTEST_PROP (StreamAssemblerProperty, PassedTextIsAPrefixOfTheWhole, ())
{
    const std::string whole = "abcdefghijklmnopqrstuvwxyz";
    const auto offsets = *rc::gen::container<std::vector<int>> (rc::gen::inRange (0, 25));
    StreamAssembler assembler;
    std::string passed;
    for (const int wanted : offsets)
    {
        const bool isNext = *rc::gen::arbitrary<bool>();
        const std::size_t offset = isNext ? passed.size() : static_cast<std::size_t> (wanted);
        const std::size_t count = std::min<std::size_t> (
            whole.size() - offset, static_cast<std::size_t> (*rc::gen::inRange (0, 4)));
        if (assembler.accept (offset, count) != PartVerdict::kPass)
            continue;
        passed += whole.substr (offset, count);
        RC_ASSERT (passed == whole.substr (0, passed.size()));
        RC_ASSERT (assembler.nextOffset() == passed.size());
    }
}

}  // namespace
}  // namespace fernlift::dispatch
