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

TEST (VersionIndexTest, IdsComeInTheOrderOfTheirLastChange)
{
    VersionIndex index;
    index.note ("a", 1);
    index.note ("b", 2);
    index.note ("c", 2);
    index.note ("a", 3);
    EXPECT_EQ (since (index, 0), (std::vector<std::string>{ "b", "c", "a" }));
    EXPECT_EQ (since (index, 2), std::vector<std::string>{ "a" });
    EXPECT_TRUE (since (index, 3).empty());
}

TEST (VersionIndexTest, WhatIsForgottenDoesNotCome)
{
    VersionIndex index;
    index.note ("a", 1);
    index.note ("b", 2);
    index.forget ("a");
    index.forget ("unknown");
    EXPECT_EQ (since (index, 0), std::vector<std::string>{ "b" });
    index.clear();
    EXPECT_TRUE (since (index, 0).empty());
}

}  // namespace
}  // namespace fernlift::controller
