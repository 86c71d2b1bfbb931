#include <gtest/gtest.h>

#include "http/RetryAfter.h"

namespace fernlift::http
{
namespace
{

RetryAfter retryAfterOf (const std::string& text)
{
    return readRetryAfter ({ { "Content-Type", "text/plain" }, { "retry-after", text } });
}

RetryAfter delayOf (base::Duration delay) { return RetryAfterDelay{ delay }; }

TEST (RetryAfterTest, ReadsSecondsAndTheirFractions)
{
    EXPECT_EQ (retryAfterOf ("3"), delayOf (base::seconds (3)));
    EXPECT_EQ (retryAfterOf ("0"), delayOf (base::seconds (0)));
    EXPECT_EQ (retryAfterOf ("0.5"), delayOf (base::milliseconds (500)));
    EXPECT_EQ (retryAfterOf ("1.5 "), delayOf (base::milliseconds (1500)));
}

TEST (RetryAfterTest, LimitsLongDelays)
{
    EXPECT_EQ (retryAfterOf ("1e9"), delayOf (kMaxRetryAfter));
    EXPECT_EQ (retryAfterOf ("601"), delayOf (kMaxRetryAfter));
}

TEST (RetryAfterTest, DistinguishesInvalidFieldFromMissingOne)
{
    EXPECT_EQ (readRetryAfter ({ { "Content-Type", "text/plain" } }), RetryAfter (NoRetryAfter{}));
    for (const std::string text : { "", " ", "-1", "-0", "nan", "inf", "1e999", "soon", "1,2", "3s",
                                    "Sun, 06 Nov 1994 08:49:37 GMT" })
    {
        EXPECT_EQ (retryAfterOf (text), RetryAfter (UnreadableRetryAfter{ text })) << text;
    }
    const std::string longText (100, 'x');
    EXPECT_EQ (retryAfterOf (longText),
               RetryAfter (UnreadableRetryAfter{ longText.substr (0, 32) }));
}

TEST (RetryAfterTest, TakesDateRelativeToDateOfAnswer)
{
    const Header sent{ "Date", "Sun, 06 Nov 1994 08:49:37 GMT" };
    EXPECT_EQ (readRetryAfter ({ sent, { "Retry-After", "Sun, 06 Nov 1994 08:49:41 GMT" } }),
               delayOf (base::seconds (4)));
    EXPECT_EQ (readRetryAfter ({ sent, { "Retry-After", "Mon, 07 Nov 1994 08:49:37 GMT" } }),
               delayOf (kMaxRetryAfter));
    const std::string earlier = "Sun, 06 Nov 1994 08:49:36 GMT";
    EXPECT_EQ (readRetryAfter ({ sent, { "Retry-After", earlier } }),
               RetryAfter (UnreadableRetryAfter{ earlier }));
}

TEST (RetryAfterTest, LongestOfSeveralFieldsApplies)
{
    EXPECT_EQ (readRetryAfter (
                   { { "Retry-After", "1" }, { "Retry-After", "2.5" }, { "Retry-After", "nan" } }),
               delayOf (base::milliseconds (2500)));
}

}  // namespace
}  // namespace fernlift::http
