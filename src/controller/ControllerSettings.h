#pragma once

/// Settings of fernlift-controller: their declaration, checks and conversion to core options.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/Settings.h"
#include "controller/ControllerCore.h"
#include "log/Log.h"

namespace fernlift::controller
{

struct ControllerSettings
{
    std::int64_t id = 0;  ///< 0: drawn at the first start; allowed only with `seeds`.
    std::string cell;
    std::string zone;
    std::string dataDirectory;
    base::SocketAddress peerAddress;
    base::SocketAddress httpAddress;
    base::SocketAddress controlAddress;   ///< Port 0 and no host: there is no control interface.
    base::SocketAddress machinesAddress;  ///< No host: there is no machine list.
    /// Control addresses of the controllers that found the cell and that accept requests to join
    /// it. When set, the cell manages its members without an operator.
    std::vector<base::SocketAddress> seeds;
    std::int64_t seedPeerPort = 0;     ///< Port of `peer_address` at every seed.
    std::vector<std::string> members;  ///< Each item is "ID=PEER_IP:PORT=HTTP_IP:PORT=ZONE".
    bool isBootstrap = false;          ///< First start of the cell, with an empty folder.
    bool isFounding = false;           ///< Starts together with the cell; set by withIdentity().
    bool isJoining = false;            ///< First start of a member that will be added to the cell.
    ControllerOptions core;
    std::int64_t entriesBetweenSnapshots = 4096;
    base::Duration callTimeout =
        base::milliseconds (2000);  ///< Timeout of orders, reports and machine lists.
    base::Duration stopTimeout = base::seconds (5);
    log::Options logging;
};

/// Declares every setting and the checks over them. `settings` must outlive `schema`.
void declareSettings (config::SettingsSchema& schema, ControllerSettings& settings);

/// Parses one item of `members`; fails with kSettingsInvalid.
[[nodiscard]] base::Result<consensus::Member> parseMember (std::string_view text);
/// The members named in the settings, sorted by id; fails with kSettingsInvalid.
[[nodiscard]] base::Result<consensus::MemberSet> initialMembers (
    const ControllerSettings& settings);
/// Whether the cell forms itself from seeds and manages its members without an operator.
[[nodiscard]] bool formsFromSeeds (const ControllerSettings& settings);
/// Options of the core that follow from the settings.
[[nodiscard]] ControllerOptions coreOptions (const ControllerSettings& settings);

}  // namespace fernlift::controller
