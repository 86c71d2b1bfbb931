#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "lab/FaultPipe.h"

namespace fernlift::lab
{
namespace
{

constexpr base::TimePoint kStart{};

TEST (FaultPipe, PassesBytesAtOnceWithoutFaults)
{
    FaultPipe pipe;
    pipe.push (kStart, "abc");
    pipe.push (kStart, "def");
    const FaultPipe::Released released = pipe.take (kStart);
    EXPECT_EQ (released.bytes, "abcdef");
    EXPECT_FALSE (released.mustReset);
    EXPECT_TRUE (pipe.isEmpty());
}

TEST (FaultPipe, HoldsBytesWhileCutAndPassesThemAfterwards)
{
    FaultPipe pipe;
    pipe.setFaults ({ .isCut = true });
    pipe.push (kStart, "abc");
    EXPECT_EQ (pipe.take (kStart + base::seconds (3600)).bytes, "");
    EXPECT_EQ (pipe.nextRelease (kStart), std::nullopt);
    pipe.setFaults ({});
    EXPECT_EQ (pipe.take (kStart).bytes, "abc");
}

TEST (FaultPipe, CutsSilentlyAfterSomeBytes)
{
    FaultPipe pipe;
    pipe.setFaults ({ .cutAfterBytes = 4 });
    pipe.push (kStart, "abc");
    EXPECT_EQ (pipe.take (kStart).bytes, "abc");
    EXPECT_FALSE (pipe.isCut());
    pipe.push (kStart, "def");
    EXPECT_EQ (pipe.take (kStart).bytes, "d");
    EXPECT_TRUE (pipe.isCut());
    const FaultPipe::Released released = pipe.take (kStart + base::seconds (3600));
    EXPECT_EQ (released.bytes, "");
    EXPECT_FALSE (released.mustReset);
    EXPECT_EQ (pipe.nextRelease (kStart), std::nullopt);
    pipe.setFaults ({});
    EXPECT_EQ (pipe.take (kStart).bytes, "ef");
}

TEST (FaultPipe, DelaysEachByte)
{
    FaultPipe pipe;
    pipe.setFaults ({ .delay = base::milliseconds (100) });
    pipe.push (kStart, "a");
    pipe.push (kStart + base::milliseconds (50), "b");
    EXPECT_EQ (pipe.take (kStart + base::milliseconds (99)).bytes, "");
    EXPECT_EQ (pipe.nextRelease (kStart), kStart + base::milliseconds (100));
    EXPECT_EQ (pipe.take (kStart + base::milliseconds (100)).bytes, "a");
    EXPECT_EQ (pipe.take (kStart + base::milliseconds (150)).bytes, "b");
}

TEST (FaultPipe, ResetsAtTheExactByte)
{
    FaultPipe pipe;
    pipe.setFaults ({ .resetAfterBytes = 4 });
    pipe.push (kStart, "abc");
    FaultPipe::Released released = pipe.take (kStart);
    EXPECT_EQ (released.bytes, "abc");
    EXPECT_FALSE (released.mustReset);
    pipe.push (kStart, "def");
    released = pipe.take (kStart);
    EXPECT_EQ (released.bytes, "d");
    EXPECT_TRUE (released.mustReset);
}

RC_GTEST_PROP (FaultPipe, NeverExceedsTheRateAndKeepsTheOrder, ())
{
    const auto rate = *rc::gen::inRange<std::uint64_t> (1, 100000);
    const auto text = *rc::gen::nonEmpty<std::string>();
    FaultPipe pipe;
    pipe.setFaults ({ .bytesPerSecond = rate });
    pipe.push (kStart, text);
    std::string received;
    base::TimePoint now = kStart;
    for (std::size_t step = 0; received.size() < text.size(); ++step)
    {
        RC_ASSERT (step <= text.size());
        const auto next = pipe.nextRelease (now);
        RC_ASSERT (next.has_value());
        now = *next;
        const std::string bytes = pipe.take (now).bytes;
        RC_ASSERT (! bytes.empty());
        received += bytes;
        const double seconds = std::chrono::duration<double> (now - kStart).count();
        RC_ASSERT (static_cast<double> (received.size()) <= seconds * static_cast<double> (rate));
    }
    RC_ASSERT (received == text);
}

}  // namespace
}  // namespace fernlift::lab
