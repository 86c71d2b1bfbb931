#include <gtest/gtest.h>

#include "consensus/ConsensusCodec.h"
#include "controller/MemberStart.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

/// Storage that keeps the content of the data folder in memory.
class MemoryStorage final : public storage::Storage
{
public:
    base::Result<storage::Recovered> recover() override { return contents; }
    base::Result<void> initialize (std::uint64_t memberId) override
    {
        contents.memberId = memberId;
        return {};
    }
    base::Result<void> write (const std::vector<storage::WriteBatch>& batches) override
    {
        for (const storage::WriteBatch& batch : batches)
        {
            if (batch.hasHardState)
                contents.hardState = batch.hardState;
            contents.entries.insert (contents.entries.end(), batch.entries.begin(),
                                     batch.entries.end());
        }
        return {};
    }

    storage::Recovered contents;
};

ControllerSettings settingsOf (std::int64_t id)
{
    ControllerSettings settings;
    settings.id = id;
    settings.dataDirectory = "data";
    settings.peerAddress = { "127.0.0.1", static_cast<std::uint16_t> (7000 + id) };
    settings.members = { "2=127.0.0.1:7002=127.0.0.1:8002=z2",
                         "1=127.0.0.1:7001=127.0.0.1:8001=z1" };
    return settings;
}

/// Calls startMember; when it fails, returns nothing and sets `message` to that of the error.
std::optional<consensus::RecoveredState> start (MemoryStorage& storage,
                                                const ControllerSettings& settings,
                                                std::string* message = nullptr)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<consensus::RecoveredState>>
        {
            BOOST_LEAF_AUTO (state, startMember (storage, settings));
            return std::optional (std::move (state));
        },
        [&] (const base::Error& error)
        {
            EXPECT_EQ (error.kind, base::ErrorKind::kSettingsInvalid);
            if (message != nullptr)
                *message = error.message;
            return std::optional<consensus::RecoveredState>();
        });
}

TEST (MemberStart, RejectsEmptyFolderWithoutBootstrapOrJoin)
{
    MemoryStorage storage;
    std::string message;
    EXPECT_FALSE (start (storage, settingsOf (1), &message));
    EXPECT_NE (message.find ("join under a new id"), std::string::npos) << message;
    EXPECT_EQ (storage.contents.memberId, 0U);
}

TEST (MemberStart, BootstrapWritesSameFirstEntryOnEveryMember)
{
    MemoryStorage first;
    MemoryStorage second;
    ControllerSettings settings = settingsOf (1);
    settings.isBootstrap = true;
    ASSERT_TRUE (start (first, settings));
    settings = settingsOf (2);
    settings.isBootstrap = true;
    std::swap (settings.members[0], settings.members[1]);
    ASSERT_TRUE (start (second, settings));
    EXPECT_EQ (first.contents.entries, second.contents.entries);
    const auto entry = wire::decodeValue<consensus::Entry> (first.contents.entries.at (0).data);
    const auto members = wire::decodeValue<consensus::MemberSet> (entry->data);
    ASSERT_EQ (members->members.size(), 2U);
    EXPECT_EQ (members->members[0].id, 1U);
    EXPECT_TRUE (members->members[1].isVoter);
}

TEST (MemberStart, RestartReadsOnlyTheFolder)
{
    MemoryStorage storage;
    ControllerSettings settings = settingsOf (1);
    settings.isBootstrap = true;
    ASSERT_TRUE (start (storage, settings));
    settings.isBootstrap = false;
    settings.members.clear();
    const auto state = start (storage, settings);
    ASSERT_TRUE (state);
    EXPECT_EQ (state->entries.size(), 1U);
    EXPECT_EQ (state->hardState.term, 1U);
}

TEST (MemberStart, RejectsBootstrapOnFolderWithState)
{
    MemoryStorage storage;
    ControllerSettings settings = settingsOf (1);
    settings.isBootstrap = true;
    ASSERT_TRUE (start (storage, settings));
    EXPECT_FALSE (start (storage, settings));
}

TEST (MemberStart, RepeatsInterruptedBootstrap)
{
    MemoryStorage storage;
    storage.contents.memberId = 1;
    ControllerSettings settings = settingsOf (1);
    settings.isBootstrap = true;
    EXPECT_TRUE (start (storage, settings));
}

TEST (MemberStart, RejectsFolderOfAnotherMember)
{
    MemoryStorage storage;
    storage.contents.memberId = 2;
    ControllerSettings settings = settingsOf (1);
    settings.isJoining = true;
    std::string message;
    EXPECT_FALSE (start (storage, settings, &message));
    EXPECT_NE (message.find ("belongs to member 2"), std::string::npos) << message;
}

TEST (MemberStart, JoinsWithoutMembers)
{
    MemoryStorage storage;
    ControllerSettings settings = settingsOf (4);
    settings.members.clear();
    settings.isJoining = true;
    const auto state = start (storage, settings);
    ASSERT_TRUE (state);
    EXPECT_TRUE (state->entries.empty());
    EXPECT_TRUE (state->initialMembers.members.empty());
    EXPECT_EQ (storage.contents.memberId, 4U);
}

TEST (MemberStart, RejectsMembersThatContradictOtherSettings)
{
    for (const char* text :
         { "1=127.0.0.1:9999=127.0.0.1:8001=z1", "3=127.0.0.1:7001=127.0.0.1:8001=z1", "1=x=y=z1",
           "0=127.0.0.1:7001=127.0.0.1:8001=z1", "1=127.0.0.1:7001=127.0.0.1:8001" })
    {
        MemoryStorage storage;
        ControllerSettings settings = settingsOf (1);
        settings.isBootstrap = true;
        settings.members = { text };
        EXPECT_FALSE (start (storage, settings)) << text;
    }
}

}  // namespace
}  // namespace fernlift::controller
