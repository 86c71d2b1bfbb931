#pragma once

/// Start of a controller from the content of its data folder.

#include "consensus/RaftNode.h"
#include "controller/ControllerSettings.h"
#include "storage/Storage.h"

namespace fernlift::controller
{

/// Kind of start of a member.
enum class StartKind : std::uint8_t
{
    kRestart,    ///< The folder holds the state of this member.
    kBootstrap,  ///< Empty folder, first start of the cell.
    kJoin,       ///< Empty folder, the member waits to be added to the cell.
};

/// Returns the kind of start that folder and settings allow. Fails with kSettingsInvalid when the
/// folder belongs to another id, is empty and neither bootstrap nor join is set, or is not empty
/// and bootstrap is set. A member whose disk was lost must not restart under its old id, since the
/// record of its votes was lost.
[[nodiscard]] base::Result<StartKind> decideStart (const storage::Recovered& recovered,
                                                   const ControllerSettings& settings);

/// Recovers the folder. Writes the identity if the folder has none and, for kBootstrap, the initial
/// members as the first log entry, which is the same at every initial member.
[[nodiscard]] base::Result<consensus::RecoveredState> startMember (
    storage::Storage& storage, const ControllerSettings& settings);

/// Starts from a folder that has been recovered already.
[[nodiscard]] base::Result<consensus::RecoveredState> startMember (
    storage::Storage& storage, const ControllerSettings& settings, storage::Recovered recovered);

}  // namespace fernlift::controller
