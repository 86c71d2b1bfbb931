#pragma once

/// How a cell forms itself: which controllers found it, under which identity a controller starts,
/// and how it asks to become a voter.

#include <cstdint>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "consensus/RaftNode.h"
#include "controller/ControllerSettings.h"
#include "storage/Storage.h"

namespace fernlift::controller
{

/// Identity under which a seed founds the cell. It follows from the address, so that all seeds name
/// the same first members without having met.
[[nodiscard]] base::MemberId foundingId (const base::SocketAddress& seed);

/// This controller as a member of the cell.
[[nodiscard]] consensus::Member selfMember (const ControllerSettings& settings);

/// Peer addresses of the seeds.
[[nodiscard]] std::vector<base::SocketAddress> seedPeers (const ControllerSettings& settings);

/// Fills in id, members and kind of start of a controller of a cell that forms itself. A folder
/// with an identity keeps it. On an empty folder, a seed at the first start of the cell founds it;
/// every other controller draws a new identity with `randomId` and joins, also at an address that
/// had a member before: its votes are forgotten with its disk.
[[nodiscard]] ControllerSettings withIdentity (const ControllerSettings& settings,
                                               const storage::Recovered& recovered,
                                               std::uint64_t randomId);

/// The seeds as contacts to answer until the member set is known.
[[nodiscard]] std::vector<consensus::Member> seedContacts (const ControllerSettings& settings);

}  // namespace fernlift::controller
