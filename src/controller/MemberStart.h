#pragma once

/// Decides how a controller starts from what its data folder holds.

#include "consensus/RaftNode.h"
#include "controller/ControllerSettings.h"
#include "storage/Storage.h"

namespace fernlift::controller
{

/// How a member begins.
enum class StartKind : std::uint8_t
{
    kRestart,    ///< The folder holds this member's state.
    kBootstrap,  ///< Empty folder, first start of the cell.
    kJoin,       ///< Empty folder, waits to be added to the cell.
};

/// The kind of start that folder and settings allow. Fails with kSettingsInvalid when the folder
/// belongs to another id, is empty and neither bootstrap nor join is set, or is not empty and
/// bootstrap is set. A member whose disk was lost must not come back under its old id: its votes
/// are forgotten.
[[nodiscard]] base::Result<StartKind> decideStart (const storage::Recovered& recovered,
                                                   const ControllerSettings& settings);

/// Recovers the folder and, at a first start, writes the identity and the initial members. The
/// initial members are the first log entry, equal on all of them.
[[nodiscard]] base::Result<consensus::RecoveredState> startMember (
    storage::Storage& storage, const ControllerSettings& settings);

/// The same for a folder that was recovered before.
[[nodiscard]] base::Result<consensus::RecoveredState> startMember (
    storage::Storage& storage, const ControllerSettings& settings, storage::Recovered recovered);

}  // namespace fernlift::controller
