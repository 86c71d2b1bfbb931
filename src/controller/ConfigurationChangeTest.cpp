#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "controller/ConfigurationChange.h"

namespace fernlift::controller
{
namespace
{

cell::ConfigurationIdentity identity (std::uint64_t version)
{
    return { version, "digest-" + std::to_string (version), 0, 0 };
}

/// What a change brings beside what is kept.
std::string newText (const cell::ConfigurationUpdate& update)
{
    std::string text;
    for (const cell::TextPiece& piece : update.pieces)
        text += piece.text;
    return text;
}

TEST (ConfigurationChangeTest, OnlyTheMiddleGoesToAHolderOfTheBase)
{
    ConfigurationChange change;
    change.note (identity (1), "head\nvalue = 1\ntail\n");
    change.note (identity (2), "head\nvalue = 27\ntail\n");
    const auto update = change.updateFrom (1);
    EXPECT_EQ (update.version, 2U);
    EXPECT_EQ (update.baseVersion, 1U);
    EXPECT_EQ (newText (update), "27");
}

TEST (ConfigurationChangeTest, OthersGetTheWholeText)
{
    ConfigurationChange change;
    change.note (identity (1), "one");
    EXPECT_EQ (change.updateFrom (0).text, "one");
    change.note (identity (2), "two");
    EXPECT_EQ (change.updateFrom (0).text, "two");
    EXPECT_TRUE (change.isKept (1, "digest-1"));
    EXPECT_FALSE (change.isKept (1, "another digest"));
    EXPECT_EQ (change.updateFrom (2).text, "two") << "it asks since it has lost it";
}

TEST (ConfigurationChangeTest, HoldersOfOneOfTheLastFewGetAChangeAndOlderOnesTheWholeText)
{
    ConfigurationChange change;
    for (std::uint64_t version = 1; version <= 8; ++version)
        change.note (identity (version), "head " + std::to_string (version) + " tail");
    for (std::uint64_t version = 3; version <= 7; ++version)
    {
        EXPECT_TRUE (change.isKept (version, "digest-" + std::to_string (version)));
        const auto update = change.updateFrom (version);
        EXPECT_EQ (update.baseVersion, version);
        EXPECT_EQ (newText (update), "8");
    }
    EXPECT_FALSE (change.isKept (2, "digest-2"));
    EXPECT_EQ (change.updateFrom (2).text, "head 8 tail");
}

TEST (ConfigurationChangeTest, TheSameConfigurationTwiceKeepsTheChange)
{
    ConfigurationChange change;
    change.note (identity (1), "one");
    change.note (identity (2), "two");
    change.note (identity (2), "two");
    EXPECT_EQ (change.updateFrom (1).baseVersion, 1U);
}

RC_GTEST_PROP (ConfigurationChangeTest, TheChangeGivesTheNewText, ())
{
    const auto text = rc::gen::container<std::string> (rc::gen::elementOf (std::string ("ab")));
    const std::string before = *text;
    const std::string after = *text;
    ConfigurationChange change;
    change.note (identity (1), before);
    change.note (identity (2), after);
    const auto update = change.updateFrom (1);
    RC_ASSERT (cell::joinPieces (before, update.pieces) == after);
}

}  // namespace
}  // namespace fernlift::controller
