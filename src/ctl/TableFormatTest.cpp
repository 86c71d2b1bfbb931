#include <gtest/gtest.h>

#include <QJsonDocument>

#include "ctl/TableFormat.h"

namespace fernlift::ctl
{
namespace
{

std::string render (const char* json)
{
    return renderObject (QJsonDocument::fromJson (QByteArray (json)).object());
}

TEST (TableFormatTest, SingleValuesAreAligned)
{
    EXPECT_EQ (render (R"({"leader":"127.0.0.1:1","is_ready":true,"share":0.5,"n":3,"no":[]})"),
               "is_ready:  yes\n"
               "leader:    127.0.0.1:1\n"
               "n:         3\n"
               "no:        none\n"
               "share:     0.5\n");
}

TEST (TableFormatTest, ArrayOfObjectsIsATableWithTheIdFirst)
{
    EXPECT_EQ (render (R"({"runners":[{"free":1,"id":"r1"},{"id":"runner-2","state":"leaving"}]})"),
               "\nrunners:\n"
               "id        free  state\n"
               "r1        1     -\n"
               "runner-2  -     leaving\n");
}

TEST (TableFormatTest, ObjectsAndMultiLineTextsAreSections)
{
    EXPECT_EQ (render (R"({"a":{"b":1},"text":"x\ny"})"), "\na:\nb:  1\n\ntext:\nx\ny\n");
}

TEST (TableFormatTest, TimesAreShownInUtc)
{
    EXPECT_EQ (render (R"({"applied_at":1767323045006})"),
               "applied_at:  2026-01-02T03:04:05.006Z\n");
}

TEST (TableFormatTest, LargeWholeNumbersAreExact)
{
    EXPECT_EQ (render (R"({"id":9007199254740993})"), "id:  9007199254740993\n");
}

}  // namespace
}  // namespace fernlift::ctl
