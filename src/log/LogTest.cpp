#include <gtest/gtest.h>
#include <unistd.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <array>
#include <set>

#include "log/Format.h"
#include "log/LineOutput.h"
#include "log/Log.h"

namespace fernlift::log
{
namespace
{

using namespace std::string_literals;

Record recordOf (std::span<const Field> fields)
{
    return Record{ "2026-01-02T03:04:05.000006Z", "fernlift-router", "router-1",
                   traitsOf (Event::kListenFailed), fields };
}

std::string captured (const Options& options, Event event)
{
    initialize (options);
    testing::internal::CaptureStderr();
    write (event, { { "address", "127.0.0.1:80" } });
    return testing::internal::GetCapturedStderr();
}

TEST (LogTest, NumbersAndNamesOfEventsAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const EventTraits& traits : allEvents())
    {
        EXPECT_TRUE (numbers.insert (traits.number).second) << traits.number;
        EXPECT_TRUE (names.insert (traits.name).second) << traits.name;
        EXPECT_FALSE (traits.summary.empty()) << traits.name;
        EXPECT_FALSE (traits.action.empty()) << traits.name;
    }
}

TEST (LogTest, TextContainsProgramInstanceNumberNameAndFields)
{
    const std::vector<Field> fields{ { "address", "127.0.0.1:80" }, { "attempt", 3 } };
    EXPECT_EQ (
        formatText (recordOf (fields)),
        "2026-01-02T03:04:05.000006Z error fernlift-router[router-1] 1004 ListenFailed: could "
        "not listen on an address address=127.0.0.1:80 attempt=3");
}

TEST (LogTest, TextEscapesLineBreaksAndSeparatorsInValues)
{
    const std::vector<Field> fields{ { "path", "a\nb other=1\\\"\x01"s }, { "empty", "" } };
    const std::string line = formatText (recordOf (fields));
    EXPECT_EQ (line.find ('\n'), std::string::npos);
    EXPECT_TRUE (line.ends_with (R"( path="a\nb other=1\\\"\x01" empty="")")) << line;
}

TEST (LogTest, JsonContainsAllParts)
{
    const std::vector<Field> fields{ { "path", "a\nb\"" } };
    const std::string line = formatJson (recordOf (fields));
    EXPECT_EQ (line.find ('\n'), std::string::npos);
    const QJsonObject object = QJsonDocument::fromJson (QByteArray::fromStdString (line)).object();
    EXPECT_EQ (object[u"event"].toInt(), 1004);
    EXPECT_EQ (object[u"name"].toString().toStdString(), "ListenFailed");
    EXPECT_EQ (object[u"severity"].toString().toStdString(), "error");
    EXPECT_EQ (object[u"instance"].toString().toStdString(), "router-1");
    EXPECT_EQ (object[u"fields"].toObject()[u"path"].toString().toStdString(), "a\nb\"");
}

TEST (LogTest, WritesOneLineToStandardError)
{
    Options options;
    options.format = Format::kJson;
    options.program = "fernlift-router";
    const std::string text = captured (options, Event::kProcessStarted);
    ASSERT_TRUE (text.ends_with ("\n"));
    const QJsonDocument document = QJsonDocument::fromJson (QByteArray::fromStdString (text));
    EXPECT_EQ (document.object()[u"event"].toInt(), 1001);
    EXPECT_FALSE (document.object()[u"timestamp"].toString().isEmpty());
}

TEST (LogTest, SeverityBelowTheMinimumIsNotWritten)
{
    Options options;
    options.minimumSeverity = Severity::kError;
    EXPECT_EQ (captured (options, Event::kProcessStarted), "");
    EXPECT_NE (captured (options, Event::kListenFailed), "");
}

TEST (LogTest, LimitsLinesPerSecondAndCountsOmittedOnes)
{
    LineBudget budget;
    const EventTraits& ordinary = traitsOf (Event::kProcessStarted);
    const base::TimePoint start{ base::seconds (7) };
    for (std::uint64_t line = 0; line < LineBudget::kOrdinaryLinesPerSecond; ++line)
    {
        EXPECT_TRUE (budget.admit (ordinary, start));
    }
    EXPECT_FALSE (budget.admit (ordinary, start));
    EXPECT_TRUE (budget.admit (traitsOf (Event::kListenFailed), start));
    EXPECT_TRUE (budget.takeOmitted (start).empty());
    const auto omitted = budget.takeOmitted (start + base::seconds (1));
    ASSERT_EQ (omitted.size(), 1U);
    EXPECT_EQ (omitted[0].event, Event::kProcessStarted);
    EXPECT_EQ (omitted[0].count, 1U);
    EXPECT_TRUE (budget.admit (ordinary, start + base::seconds (1)));
}

TEST (LogTest, CountsOmittedLinesOfLastSecondOnce)
{
    LineBudget budget;
    const EventTraits& ordinary = traitsOf (Event::kProcessStarted);
    const base::TimePoint start{ base::seconds (7) };
    for (std::uint64_t line = 0; line < LineBudget::kOrdinaryLinesPerSecond + 2; ++line)
        static_cast<void> (budget.admit (ordinary, start));
    const auto omitted = budget.takeAllOmitted();
    ASSERT_EQ (omitted.size(), 1U);
    EXPECT_EQ (omitted[0].count, 2U);
    EXPECT_TRUE (budget.takeAllOmitted().empty());
}

TEST (LogTest, DropsLinesWithoutBlockingOnAFullPipe)
{
    std::array<int, 2> ends{};
    ASSERT_EQ (::pipe (ends.data()), 0);
    const LineOutput output (ends[1]);
    const std::string line (1000, 'x');
    int written = 0;
    while (written < 1000 && output.write (line))
        ++written;
    EXPECT_GT (written, 10);
    EXPECT_LT (written, 1000);
    ::close (ends[0]);
    ::close (ends[1]);
}

}  // namespace
}  // namespace fernlift::log
