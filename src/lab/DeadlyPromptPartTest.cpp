// Requests that share one part of their prompt and nothing else, and that crash each runner that
// begins to answer them. Guards against such requests being taken for new ones each time.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 4;
constexpr std::size_t kRunners = 10;
constexpr std::uint32_t kMaxCrashes = 3;
constexpr std::uint32_t kMaxCrashesAtHighRate = 5;
constexpr milliseconds kTick (10);
constexpr milliseconds kTimeToRestart (3000);
constexpr milliseconds kSoundInterval (30);
/// Sound requests are served as before from this time after the last crash that is allowed.
constexpr milliseconds kTimeToRecover (2000);

struct Call
{
    milliseconds sentAt{};
    std::shared_ptr<int> status;
};

class DeadlyPromptPartTest : public ::testing::Test
{
protected:
    DeadlyPromptPartTest()
    {
        for (std::size_t number = 0; number < kRunners; ++number)
        {
            m_cell.runner (number).workTime = milliseconds (300);
            m_cell.runner (number).timeToCrash = milliseconds (100);
        }
        m_downUntil.resize (kRunners);
    }

    Call begin (const std::string& parts, const std::string& host = "stream.test")
    {
        Call call{ m_now, std::make_shared<int> (-1) };
        // Each body is different.
        const std::string body = "request " + std::to_string (m_requests);
        m_cell.beginCall (m_requests % kRouters, host, body, call.status,
                          parts + ",u" + std::to_string (m_requests) + ":5");
        ++m_requests;
        return call;
    }
    void beginSound (const std::string& host)
    {
        const bool isOtherHead = m_requests % 3 == 0;
        const std::string subject = ",s" + std::to_string (m_requests % 20) + ":20";
        m_sound.push_back (begin ((isOtherHead ? "other:100" : "head:100") + subject, host));
    }
    /// Lets runners that have crashed start again after kTimeToRestart.
    void restartRunners()
    {
        for (std::size_t number = 0; number < kRunners; ++number)
        {
            if (m_cell.runner (number).isAlive())
                m_downUntil[number] = m_now + kTimeToRestart;
            else if (m_now >= m_downUntil[number])
                m_cell.runner (number).restart();
        }
    }
    /// Sends sound requests, and deadly ones at this interval in the meantime; 0: none.
    void play (milliseconds time, milliseconds deadlyInterval, const std::string& deadlyParts = {},
               const std::string& host = "stream.test")
    {
        for (milliseconds passed (0); passed < time; passed += kTick, m_now += kTick)
        {
            if (passed % kSoundInterval == milliseconds (0))
                beginSound (host);
            if (deadlyInterval.count() > 0 && passed % deadlyInterval == milliseconds (0))
                begin (deadlyParts, host);
            restartRunners();
            if (m_cell.crashes() >= kMaxCrashes && m_thirdCrashAt == milliseconds (0))
                m_thirdCrashAt = m_now;
            http::test::runFor (kTick);
        }
        http::test::waitUntil (
            [&] {
                return std::ranges::all_of (m_sound,
                                            [] (const Call& call) { return *call.status >= 0; });
            });
    }
    [[nodiscard]] double servedFrom (milliseconds from) const
    {
        double sent = 0;
        double served = 0;
        for (const Call& call : m_sound)
        {
            if (call.sentAt < from)
                continue;
            sent += 1;
            served += *call.status == 200 ? 1 : 0;
        }
        return sent == 0 ? 0 : served / sent;
    }

    /// Plays deadly requests with these shared parts and checks how many runners crash, and that
    /// sound requests are served afterwards.
    void checkBounds (milliseconds deadlyInterval, const std::string& deadlyParts,
                      std::uint32_t maxCrashes)
    {
        ASSERT_TRUE (m_cell.awaitReady());
        play (milliseconds (6000), deadlyInterval, deadlyParts);
        EXPECT_LE (m_cell.crashes(), maxCrashes);
        EXPECT_GE (servedFrom (m_thirdCrashAt + kTimeToRecover), 0.95);
    }

    ForwardingCell m_cell{ { .controllers = 3, .routers = kRouters, .runners = kRunners } };
    milliseconds m_now{ 1 };
    milliseconds m_thirdCrashAt{};
    std::size_t m_requests = 0;
    std::vector<Call> m_sound;
    std::vector<milliseconds> m_downUntil;
};

TEST_F (DeadlyPromptPartTest, PartThatCrashedThreeRunnersIsNotForwardedAgain)
{
    checkBounds (milliseconds (200), "head:100,deadly:50", kMaxCrashes);
}

TEST_F (DeadlyPromptPartTest, FirstPartThatCrashedThreeRunnersIsNotForwardedAgain)
{
    checkBounds (milliseconds (200), "deadly:50,s1:20", kMaxCrashes);
}

TEST_F (DeadlyPromptPartTest, FewRunnersCrashAtTwentyRequestsASecond)
{
    checkBounds (milliseconds (50), "head:100,deadly:50", kMaxCrashesAtHighRate);
}

TEST_F (DeadlyPromptPartTest, PartsOfRequestsOnUnrelatedCrashesAreServed)
{
    ASSERT_TRUE (m_cell.awaitReady());
    for (std::size_t number = 0; number < 6; ++number)
    {
        play (milliseconds (700), milliseconds (0), {}, "app.test");
        m_cell.runner (number).crash();
    }
    play (milliseconds (700), milliseconds (0), {}, "app.test");
    EXPECT_EQ (servedFrom (milliseconds (0)), 1.0);
}

}  // namespace
}  // namespace fernlift::lab::test
