#pragma once

/// Formation of a cell from seeds: which controllers found it, and with which identity and members
/// a controller starts.

#include <cstdint>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "consensus/RaftNode.h"
#include "controller/ControllerSettings.h"
#include "storage/Storage.h"

namespace fernlift::controller
{

/// Identity of a seed that founds the cell. It is derived from the address, so that all seeds agree
/// on the first members without communication.
[[nodiscard]] base::MemberId foundingId (const base::SocketAddress& seed);

/// This controller as a member of the cell.
[[nodiscard]] consensus::Member selfMember (const ControllerSettings& settings);

/// Peer addresses of the seeds.
[[nodiscard]] std::vector<base::SocketAddress> seedPeers (const ControllerSettings& settings);

/// Fills in id, members and kind of start of a controller whose cell forms itself from seeds. A
/// folder with an identity keeps it. With an empty folder, a seed founds the cell at the first
/// start of the cell; every other controller draws a new identity with `randomId` and joins. It
/// does so even at the address of an earlier member, since the record of that member's votes was
/// lost with its disk.
[[nodiscard]] ControllerSettings withIdentity (const ControllerSettings& settings,
                                               const storage::Recovered& recovered,
                                               std::uint64_t randomId);

/// The other seeds, as contacts to answer until the member set is known.
[[nodiscard]] std::vector<consensus::Member> seedContacts (const ControllerSettings& settings);

}  // namespace fernlift::controller
