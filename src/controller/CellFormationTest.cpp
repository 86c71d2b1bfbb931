#include <gtest/gtest.h>

#include <set>

#include "controller/CellFormation.h"

namespace fernlift::controller
{
namespace
{

constexpr std::uint64_t kRandomId = 12345;

ControllerSettings settingsOf (const std::string& host)
{
    ControllerSettings settings;
    settings.peerAddress = { host, 7000 };
    settings.controlAddress = { host, 8000 };
    settings.seeds = { { "10.0.0.1", 8000 }, { "10.0.0.2", 8000 }, { "10.0.0.3", 8000 } };
    settings.seedPeerPort = 7000;
    settings.isBootstrap = true;
    return settings;
}

storage::Recovered folderOf (std::uint64_t memberId, bool hasState)
{
    storage::Recovered recovered;
    recovered.memberId = memberId;
    if (hasState)
        recovered.hardState = "state";
    return recovered;
}

TEST (CellFormationTest, AllSeedsAgreeOnFirstMembers)
{
    const auto first = withIdentity (settingsOf ("10.0.0.1"), {}, 1);
    const auto second = withIdentity (settingsOf ("10.0.0.2"), {}, 2);
    EXPECT_TRUE (first.isBootstrap);
    EXPECT_EQ (first.members, second.members);
    EXPECT_NE (first.id, second.id);
    EXPECT_TRUE (initialMembers (first));
}

TEST (CellFormationTest, ControllerThatIsNotASeedJoinsAsFounder)
{
    const auto other = withIdentity (settingsOf ("10.0.0.9"), {}, kRandomId);
    EXPECT_FALSE (other.isBootstrap);
    EXPECT_TRUE (other.isJoining);
    EXPECT_TRUE (other.isFounding);
}

TEST (CellFormationTest, SeedWithLostDiskJoinsUnderNewIdentity)
{
    ControllerSettings settings = settingsOf ("10.0.0.1");
    settings.isBootstrap = false;
    const auto wiped = withIdentity (settings, {}, kRandomId);
    EXPECT_TRUE (wiped.isJoining);
    EXPECT_FALSE (wiped.isFounding);
    EXPECT_NE (static_cast<base::MemberId> (wiped.id), foundingId (settings.seeds[0]));
}

TEST (CellFormationTest, RestartKeepsIdentityWithoutBootstrap)
{
    const auto restarted = withIdentity (settingsOf ("10.0.0.1"), folderOf (77, true), kRandomId);
    EXPECT_EQ (restarted.id, 77);
    EXPECT_FALSE (restarted.isBootstrap);
    EXPECT_FALSE (restarted.isJoining);
}

TEST (CellFormationTest, InterruptedFirstStartIsRepeated)
{
    const ControllerSettings settings = settingsOf ("10.0.0.1");
    const auto again =
        withIdentity (settings, folderOf (foundingId (settings.seeds[0]), false), kRandomId);
    EXPECT_TRUE (again.isBootstrap);
}

TEST (CellFormationTest, DrawnIdentitiesAreAboveThoseOfSeeds)
{
    ControllerSettings settings = settingsOf ("255.255.255.255");
    settings.isBootstrap = false;
    const auto highest = foundingId ({ "255.255.255.255", 65535 });
    for (const std::uint64_t random : { std::uint64_t{ 0 }, ~std::uint64_t{ 0 }, kRandomId })
    {
        EXPECT_GT (static_cast<base::MemberId> (withIdentity (settings, {}, random).id), highest);
    }
}

TEST (CellFormationTest, ContactsAreTheOtherSeeds)
{
    EXPECT_EQ (seedContacts (settingsOf ("10.0.0.1")).size(), 2U);
    EXPECT_EQ (seedContacts (settingsOf ("10.0.0.9")).size(), 3U);
}

}  // namespace
}  // namespace fernlift::controller
