#include <gtest/gtest.h>

#include "cell/StreamBatch.h"

namespace fernlift::cell
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (1000) };

StreamNotice streamNumber (std::size_t number)
{
    return { std::to_string (number), "v1", base::seconds (10) };
}

TEST (StreamBatchTest, SendsTheOldestStreamsFirstAndNoMoreThanAMessageHolds)
{
    StreamBatch batch;
    EXPECT_FALSE (batch.take (kStart));
    for (std::size_t number = 0; number <= kMaxStreamsPerMessage; ++number)
        batch.add (streamNumber (number));
    const auto first = batch.take (kStart);
    ASSERT_TRUE (first);
    EXPECT_EQ (first->streams.size(), kMaxStreamsPerMessage);
    EXPECT_EQ (first->streams.front(), streamNumber (0));
    EXPECT_FALSE (batch.take (kStart)) << "the interval is not over";
    const auto second = batch.take (kStart + StreamBatch::kInterval);
    ASSERT_TRUE (second);
    EXPECT_EQ (second->streams, std::vector{ streamNumber (kMaxStreamsPerMessage) });
}

TEST (StreamBatchTest, DropsTheOldestStreamsBeyondItsLimit)
{
    StreamBatch batch;
    for (std::size_t number = 0; number <= StreamBatch::kMaxPending; ++number)
        batch.add (streamNumber (number));
    EXPECT_EQ (batch.dropped(), 1U);
    EXPECT_EQ (batch.take (kStart)->streams.front(), streamNumber (1));
}

}  // namespace
}  // namespace fernlift::cell
