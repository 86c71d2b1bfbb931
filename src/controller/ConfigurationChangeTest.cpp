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

/// Text that a difference contains in addition to the pieces of the base.
std::string newText (const cell::ConfigurationUpdate& update)
{
    std::string text;
    for (const cell::TextPiece& piece : update.pieces)
        text += piece.text;
    return text;
}

TEST (ConfigurationChangeTest, SendsOnlyChangedTextToHolderOfBase)
{
    ConfigurationChange change;
    change.setInForce (identity (1), "head\nvalue = 1\ntail\n");
    change.setInForce (identity (2), "head\nvalue = 27\ntail\n");
    const auto update = change.updateFrom (1);
    EXPECT_EQ (update.version, 2U);
    EXPECT_EQ (update.baseVersion, 1U);
    EXPECT_EQ (newText (update), "27");
}

TEST (ConfigurationChangeTest, SendsWholeTextWithoutKnownBase)
{
    ConfigurationChange change;
    change.setInForce (identity (1), "one");
    EXPECT_EQ (change.updateFrom (0).text, "one");
    change.setInForce (identity (2), "two");
    EXPECT_EQ (change.updateFrom (0).text, "two");
    EXPECT_TRUE (change.isKept (1, "digest-1"));
    EXPECT_FALSE (change.isKept (1, "another digest"));
    EXPECT_EQ (change.updateFrom (2).text, "two")
        << "a router that requests the version in force has lost it";
}

TEST (ConfigurationChangeTest, SendsDifferenceToRecentVersionsOnly)
{
    ConfigurationChange change;
    for (std::uint64_t version = 1; version <= 8; ++version)
        change.setInForce (identity (version), "head " + std::to_string (version) + " tail");
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

TEST (ConfigurationChangeTest, RepeatedConfigurationKeepsDifference)
{
    ConfigurationChange change;
    change.setInForce (identity (1), "one");
    change.setInForce (identity (2), "two");
    change.setInForce (identity (2), "two");
    EXPECT_EQ (change.updateFrom (1).baseVersion, 1U);
}

RC_GTEST_PROP (ConfigurationChangeTest, DifferenceYieldsNewText, ())
{
    const auto text = rc::gen::container<std::string> (rc::gen::elementOf (std::string ("ab")));
    const std::string before = *text;
    const std::string after = *text;
    ConfigurationChange change;
    change.setInForce (identity (1), before);
    change.setInForce (identity (2), after);
    const auto update = change.updateFrom (1);
    RC_ASSERT (cell::joinPieces (before, update.pieces) == after);
}

}  // namespace
}  // namespace fernlift::controller
