#include <gtest/gtest.h>

#include "proxy/StreamRecorder.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (1000) };
const cell::StreamNotice kStream{ "key", "v1", base::seconds (10) };

TEST (StreamRecorderTest, NothingIsSentToAControllerThatKeepsNoStreams)
{
    StreamRecorder recorder;
    recorder.record (kStream);
    EXPECT_FALSE (recorder.lookUp ("key", kStart));
    EXPECT_FALSE (recorder.takeRecords (kStart));
    EXPECT_FALSE (recorder.takeLookup());
    recorder.onSupported();
    EXPECT_TRUE (recorder.takeRecords (kStart)) << "recorded before the controller answered";
}

TEST (StreamRecorderTest, StreamIsAskedForOnceAndAwaitedUntilTheReply)
{
    StreamRecorder recorder;
    cell::StreamVersions known;
    recorder.onSupported();
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    EXPECT_TRUE (recorder.lookUp ("other", kStart));
    const auto lookup = recorder.takeLookup();
    ASSERT_TRUE (lookup);
    EXPECT_EQ (lookup->keys, (std::vector<std::string>{ "key", "other" }));
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    EXPECT_FALSE (recorder.takeLookup());
    recorder.onReply ({ lookup->sequence, { kStream } }, known, kStart);
    EXPECT_EQ (known.find ("key", kStart), "v1");
    EXPECT_FALSE (recorder.lookUp ("other", kStart)) << "the controllers do not know it";
    EXPECT_EQ (recorder.found(), 1U);
}

TEST (StreamRecorderTest, ReplyToAnotherLookupEndsNoWait)
{
    StreamRecorder recorder;
    cell::StreamVersions known;
    recorder.onSupported();
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    const auto lookup = recorder.takeLookup();
    ASSERT_TRUE (lookup);
    recorder.onReply ({ lookup->sequence + 1, {} }, known, kStart);
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
}

TEST (StreamRecorderTest, LookupIsRepeatedAtTheNextController)
{
    StreamRecorder recorder;
    recorder.onSupported();
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    EXPECT_TRUE (recorder.takeLookup());
    recorder.onLinkLost();
    EXPECT_FALSE (recorder.lookUp ("key", kStart)) << "no controller is connected";
    recorder.onSupported();
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    EXPECT_TRUE (recorder.takeLookup());
}

TEST (StreamRecorderTest, UnansweredLookupIsRepeatedAfterItsTime)
{
    StreamRecorder recorder;
    recorder.onSupported();
    EXPECT_TRUE (recorder.lookUp ("key", kStart));
    EXPECT_TRUE (recorder.takeLookup());
    const base::TimePoint later = kStart + base::seconds (2);
    EXPECT_TRUE (recorder.lookUp ("key", later));
    EXPECT_TRUE (recorder.takeLookup());
}

}  // namespace
}  // namespace fernlift::proxy
