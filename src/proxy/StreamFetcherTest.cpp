// Tests of the streams that a router fetches from others after its start.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/ProxyTestSupport.h"
#include "proxy/StreamPage.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr std::size_t kTwoPagesAndMore = 2 * kStreamsPerPage + 1;

std::vector<StreamNotice> parsed (const std::string& text)
{
    return base::handleErrors ([&] { return parseStreamPage (text); },
                               [] (const base::Error&) { return std::vector<StreamNotice>(); });
}

TEST (StreamPageTest, IsReadAsWritten)
{
    const std::vector<StreamNotice> streams{ { "0f", "v1", base::milliseconds (1500) },
                                             { "10", "2 \n%", base::seconds (60) } };
    EXPECT_EQ (parsed (formatStreamPage (streams)), streams);
    EXPECT_TRUE (formatStreamPage ({}).empty());
}

TEST (StreamPageTest, InvalidLineMakesPageInvalid)
{
    const std::string valid = formatStreamPage (std::vector<StreamNotice>{ { "0f", "v1", {} } });
    for (const char* const line : { "\n", "0f\n", "0f x v1\n", "0f -1 v1\n", " 5 v1\n" })
        EXPECT_TRUE (parsed (valid + line).empty()) << line;
}

class StreamFetcherTest : public ::testing::Test
{
protected:
    StreamFetcherTest()
    {
        m_first.servePeers ("a");
        m_second.servePeers ("b");
        m_joining.servePeers ("c");
    }
    void record (ProxyFixture& router, const std::string& key)
    {
        router.context.streams.record (key, "v1", router.clock.now() + base::seconds (30));
    }
    bool fetches (std::size_t streams)
    {
        m_joining.fetchStreams();
        return waitUntil (
            [&]
            {
                m_joining.pollStreamFetcher();
                return m_joining.context.streams.size() >= streams;
            });
    }

    ProxyFixture m_first;
    ProxyFixture m_second;
    ProxyFixture m_joining;
};

TEST_F (StreamFetcherTest, TakesAllPagesOfOtherRouters)
{
    for (std::size_t number = 0; number < kTwoPagesAndMore; ++number)
        record (m_first, "first-" + std::to_string (number));
    record (m_second, "second");
    m_joining.setPeers ({ m_first.peerRow(), m_second.peerRow() });
    ASSERT_TRUE (fetches (kTwoPagesAndMore + 1));
    EXPECT_EQ (m_joining.context.streams.find ("second", m_joining.clock.now()), "v1");
}

// Guards against streams that were announced before the others had learned of the joining router.
TEST_F (StreamFetcherTest, AsksAgainLater)
{
    m_joining.setPeers ({ m_first.peerRow() });
    EXPECT_FALSE (m_joining.context.streams.size() > 0);
    m_joining.fetchStreams();
    runFor (base::milliseconds (50));
    record (m_first, "late");
    m_joining.clock.suspendedFor += base::seconds (2);
    m_joining.pollStreamFetcher();
    EXPECT_TRUE (waitUntil ([&] { return m_joining.context.streams.size() == 1; }));
}

TEST_F (StreamFetcherTest, AsksAnotherRouterInPlaceOfOneThatDoesNotAnswer)
{
    record (m_second, "stream");
    RouterOfEarlierBuild earlier;
    m_joining.setPeers ({ { "a", "z1", earlier.address(), 7 },
                          { "a2", "z1", closedAddress(), 7 },
                          m_second.peerRow() });
    EXPECT_TRUE (fetches (1));
}

}  // namespace
}  // namespace fernlift::proxy::test
