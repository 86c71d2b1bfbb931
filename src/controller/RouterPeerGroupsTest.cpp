#include <gtest/gtest.h>

#include <set>

#include "controller/RouterPeerGroups.h"

namespace fernlift::controller
{
namespace
{

cell::RouterPeers routers (std::size_t count, std::size_t first = 0)
{
    cell::RouterPeers all;
    for (std::size_t number = first; number < count; ++number)
        all.peers.push_back ({ "router-" + std::to_string (number), "z1", "10.0.0.1:70", 1 });
    return all;
}

TEST (RouterPeerGroupsTest, SmallCellIsOneGroup)
{
    RouterPeerGroups groups;
    EXPECT_EQ (groups.version(), 0U);
    groups.set (routers (64));
    EXPECT_EQ (groups.groups(), 1U);
    EXPECT_EQ (groups.members (0), routers (64));
}

TEST (RouterPeerGroupsTest, EveryRouterIsInOneGroupOfBoundedSize)
{
    RouterPeerGroups groups;
    groups.set (routers (985));
    std::size_t sum = 0;
    for (std::size_t group = 0; group < groups.groups(); ++group)
    {
        const auto& members = groups.members (group).peers;
        sum += members.size();
        EXPECT_GE (members.size(), 30U);
        EXPECT_LE (members.size(), 2 * RouterPeerGroups::kMaxMeanSize);
        for (const cell::RouterPeer& peer : members)
            EXPECT_EQ (groups.groupOf (peer.router), group);
    }
    EXPECT_EQ (sum, 985U);
}

TEST (RouterPeerGroupsTest, RouterThatLeavesChangesOneGroup)
{
    RouterPeerGroups groups;
    groups.set (routers (300));
    std::vector<std::uint64_t> before;
    for (std::size_t group = 0; group < groups.groups(); ++group)
        before.push_back (groups.versionOf (group));
    groups.set (routers (300, 1));
    std::size_t changed = 0;
    for (std::size_t group = 0; group < groups.groups(); ++group)
        changed += groups.versionOf (group) != before[group] ? 1 : 0;
    EXPECT_EQ (changed, 1U);
    EXPECT_GT (groups.versionOf (groups.groupOf ("router-0")), before.back());
}

}  // namespace
}  // namespace fernlift::controller
