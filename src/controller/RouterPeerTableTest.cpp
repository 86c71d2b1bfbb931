#include <gtest/gtest.h>

#include "controller/RouterPeerTable.h"

namespace fernlift::controller
{
namespace
{

cell::RouterPeer rowOf (const std::string& router, std::uint64_t key = 1)
{
    return { router, "z1", "10.0.0.1:70", key };
}

TEST (RouterPeerTableTest, ListsRoutersOfAllSessions)
{
    RouterPeerTable table;
    table.set (1, { rowOf ("b") });
    table.set (2, { rowOf ("a"), rowOf ("c") });
    EXPECT_EQ (table.all().peers,
               (std::vector<cell::RouterPeer>{ rowOf ("a"), rowOf ("b"), rowOf ("c") }));
    table.remove (2);
    EXPECT_EQ (table.all().peers, (std::vector<cell::RouterPeer>{ rowOf ("b") }));
}

TEST (RouterPeerTableTest, RouterThatMovedHasItsLastAddress)
{
    RouterPeerTable table;
    table.set (1, { rowOf ("a", 1) });
    table.set (2, { rowOf ("a", 2) });
    EXPECT_EQ (table.all().peers, (std::vector<cell::RouterPeer>{ rowOf ("a", 2) }));
    table.set (1, { rowOf ("a", 3) });
    EXPECT_EQ (table.all().peers, (std::vector<cell::RouterPeer>{ rowOf ("a", 3) }));
}

TEST (RouterPeerTableTest, VersionRisesOnlyWithChanges)
{
    RouterPeerTable table;
    EXPECT_GT (table.version(), 0U);
    table.set (1, { rowOf ("a") });
    const std::uint64_t version = table.version();
    table.set (1, { rowOf ("a") });
    table.remove (2);
    EXPECT_EQ (table.version(), version);
    table.remove (1);
    EXPECT_GT (table.version(), version);
}

}  // namespace
}  // namespace fernlift::controller
