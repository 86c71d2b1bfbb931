#include <gtest/gtest.h>

#include <vector>

#include "controller/VersionIndex.h"

namespace fernlift::controller
{
namespace
{

std::vector<std::string> since (const VersionIndex& index, std::uint64_t version)
{
    std::vector<std::string> ids;
    index.visitSince (version, [&] (const std::string& id) { ids.push_back (id); });
    return ids;
}

TEST (VersionIndexTest, VisitsIdsInTheOrderOfTheirLastChange)
{
    VersionIndex index;
    index.record ("a", 1);
    index.record ("b", 2);
    index.record ("c", 2);
    index.record ("a", 3);
    EXPECT_EQ (since (index, 0), (std::vector<std::string>{ "b", "c", "a" }));
    EXPECT_EQ (since (index, 2), std::vector<std::string>{ "a" });
    EXPECT_TRUE (since (index, 3).empty());
}

TEST (VersionIndexTest, DoesNotVisitForgottenIds)
{
    VersionIndex index;
    index.record ("a", 1);
    index.record ("b", 2);
    index.forget ("a");
    index.forget ("unknown");
    EXPECT_EQ (since (index, 0), std::vector<std::string>{ "b" });
    index.clear();
    EXPECT_TRUE (since (index, 0).empty());
}

TEST (VersionIndexTest, VisitsChangesInRanges)
{
    VersionIndex index;
    index.record ("a", 2);
    index.record ("b", 4);
    index.record ("c", 7);
    EXPECT_EQ (index.versionOfChange (0, 2), 4U);
    EXPECT_EQ (index.versionOfChange (2, 2), 7U);
    EXPECT_FALSE (index.versionOfChange (4, 2));
    std::vector<std::string> ids;
    index.visitBetween (2, 4, [&] (const std::string& id) { ids.push_back (id); });
    EXPECT_EQ (ids, std::vector<std::string>{ "b" });
}

}  // namespace
}  // namespace fernlift::controller
