/**
 * Tests that snapshots and log commands stored by earlier versions are decoded correctly. The bytes
 * were written by the last version without start times of instances.
 */

#include <gtest/gtest.h>

#include "cell/CellState.h"
#include "cell/CommandCodec.h"

namespace fernlift::cell
{
namespace
{

/// Snapshot in which i-1 is registered and draining, and i-2 has deregistered.
constexpr std::string_view kSnapshotOfFormat3 =
    "6665726e6c6966742063656c6c20330a000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000000000000000000000000000000000000000000100000000"
    "0000000000000000000000000300000000000000692d3100000000000300000000000000692d3103"
    "000000000000006c6c6d0b0000000000000031302e302e302e313a383001000000000000007a0400"
    "000001010000000000010000000000000000000000000000000001000000000000006d0100000000"
    "00000000000000000100000000000000000000000100000000000000610000000000010000000000"
    "000000000000000000000001000000000000000300000000000000692d3200000000000000000000"
    "000000000000000000000000000000000000000000000000000000000000000000000a0000000000"
    "00000400000000000000000000000000000000000000000000000000000000000000000000000000";
constexpr std::string_view kAddInstance =
    "0a000000000000000000000300000000000000692d3103000000000000006c6c6d0b000000000000"
    "0031302e302e302e313a383001000000000000007a04000000000100000000000100000000000000"
    "00000000000000000001000000000000006d01000000000000000000000000010000000000000000"
    "0000000100000000000000610700000000000000";
constexpr std::string_view kDrainInstance = "0b00000000000300000000000000692d310900000000000000";
constexpr std::string_view kRemoveInstance = "0c00000000000300000000000000692d32010a00000000000000";
constexpr std::string_view kRecordHeldModels =
    "0d0000000000000000000001000000000000000000000000000000000300000000000000692d3100"
    "00000000010000000000000000000000000000000001000000000000006d01000000000000000000"
    "0000000100000000000000000000000100000000000000610b00000000000000";

std::string bytesOf (std::string_view digits)
{
    constexpr int kBase = 16;
    std::string bytes;
    for (std::size_t at = 0; at + 1 < digits.size(); at += 2)
        bytes +=
            static_cast<char> (std::stoi (std::string (digits.substr (at, 2)), nullptr, kBase));
    return bytes;
}

template <class Kind>
Kind decode (std::string_view digits)
{
    return base::handleErrors (
        [&]() -> base::Result<Kind>
        {
            BOOST_LEAF_AUTO (command, decodeCommand (bytesOf (digits)));
            return std::get<Kind> (command);
        },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return Kind{};
        });
}

bool restores (CellState& state, std::string_view bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (state.restore (bytes));
            return true;
        },
        [] (const base::Error&) { return false; });
}

TEST (EarlierLayoutsTest, ReadsSnapshotsWithoutStartTimes)
{
    CellState state;
    ASSERT_TRUE (restores (state, bytesOf (kSnapshotOfFormat3)));
    const ServiceInstance* instance = state.instances().find ("i-1");
    ASSERT_NE (instance, nullptr);
    EXPECT_EQ (instance->startedAt, 0);
    EXPECT_TRUE (instance->isDraining);
    EXPECT_EQ (instance->models, (std::vector<HeldModel>{ { "m", 1, { "a" } } }));
    EXPECT_TRUE (state.instances().isDeregistered ("i-2"));
    // The state can be stored in the current format and read again.
    CellState again;
    ASSERT_TRUE (restores (again, state.encode()));
    EXPECT_EQ (again.instances(), state.instances());
}

TEST (EarlierLayoutsTest, ReadsCommandsWithoutStartTimes)
{
    const auto add = decode<AddInstance> (kAddInstance);
    EXPECT_EQ (add.instance.address, "10.0.0.1:80");
    EXPECT_EQ (add.instance.startedAt, 0);
    EXPECT_EQ (add.proposedAt, 7);
    EXPECT_EQ (decode<DrainInstance> (kDrainInstance).proposedAt, 9);
    const auto remove = decode<RemoveInstance> (kRemoveInstance);
    EXPECT_TRUE (remove.isDeregistered);
    EXPECT_EQ (remove.startedAt, 0);
    const auto heldModels = decode<RecordHeldModels> (kRecordHeldModels);
    ASSERT_EQ (heldModels.heldModels.size(), 1U);
    EXPECT_EQ (heldModels.heldModels[0].instance, "i-1");
    EXPECT_EQ (heldModels.heldModels[0].startedAt, 0);
}

}  // namespace
}  // namespace fernlift::cell
