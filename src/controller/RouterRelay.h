#pragma once

/**
 * State of a member that does not lead and serves routers and runners on behalf of the leader.
 *
 * The leader has one session with this member instead of one with each of its routers. This member
 * is granted a lease like a router, grants its routers leases that end no later than its own, and
 * reports to the leader the earliest versions that any of them may still use. The leader may
 * therefore acknowledge changes under the same conditions as if it served the routers itself; see
 * docs/design/control-tree.md.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Random.h"
#include "cell/ControllerSession.h"
#include "controller/EngineDemandSum.h"
#include "controller/HeartbeatBatch.h"
#include "controller/InstanceLoadSum.h"
#include "controller/InstanceLoadTable.h"
#include "controller/QuotaRelay.h"
#include "controller/RateRelay.h"
#include "controller/RelayInstanceTable.h"
#include "controller/RetryReserveRelay.h"
#include "controller/RouterPeerTable.h"
#include "controller/RouterSessions.h"
#include "controller/SlotRelay.h"
#include "controller/StreamLookupRelay.h"
#include "controller/ThrottledWork.h"

namespace fernlift::controller
{

/** Exists from the end of one leadership of this member to the next. ControllerRelay.cpp has the
    operations on it.
*/
struct RouterRelay
{
    RouterRelay (std::string relayId, std::uint64_t randomSeed, base::Duration routerLease,
                 const quota::QuotaTolerance& quotaTolerance, base::TimePoint now)
        : id (std::move (relayId)),
          random (randomSeed),
          session (now, cell::ControllerSession::kShortLeaderWaitAfterLoss),
          leaderlessSince (now),
          sessions (routerLease),
          quotas (quotaTolerance)
    {
    }

    /** Identifies this relay to the leader. Never reused after this object is destroyed: leases
       that the relay granted remain valid, and the leader continues to count them under this id.
    */
    std::string id;
    base::Random random;
    base::MemberId leader = 0;          ///< Leader that the session is with; 0: none.
    cell::ControllerSession session;    ///< Session with the leader.
    base::TimePoint leaderlessSince{};  ///< Start of the time without a connected session.
    RouterSessions sessions;            ///< Sessions of routers.
    /** Lease requests that arrived before this member held a lease itself. */
    std::map<SessionId, cell::LeaseRequest> pendingLeaseRequests;
    RelayInstanceTable instances;
    bool needsWholeTable = false;   ///< An update did not follow on the held version.
    InstanceLoadSum loadSum;        ///< Sum over its routers, for the leader.
    InstanceLoadTable loads;        ///< Loads over all routers, from the leader.
    base::TimePoint nextLoadsAt{};  ///< Earliest time of the next loads for routers.
    RateRelay rates;                ///< Runners that limit their request rate.
    RateUpdateState rateUpdateState;
    EngineDemandSum demands;
    HeartbeatBatch heartbeats;
    /** Number of routers of the cell; none until the leader of the current connection has stated
        it.
    */
    std::optional<std::uint32_t> cellRouters;
    RetryReserveRelay retryReserve;
    SlotRelay slots;  ///< Slots of runners in brittle services.
    BrittleUpdateState brittleUpdateState;
    StreamLookupRelay streamLookups;
    QuotaRelay quotas;
    QuotaBasis quotaBasis;                   ///< Inputs of the limits in `quotas`.
    bool hasRunners = false;                 ///< Some runners send their heartbeats here.
    ThrottledWork instanceTable;             ///< Sends instance changes to routers.
    ThrottledWork wholeTable;                ///< Sends whole instance tables to routers.
    ThrottledWork configurationSend;         ///< Sends the configuration to routers.
    RouterPeerTable peers;                   ///< Its routers.
    std::uint64_t reportedPeersVersion = 0;  ///< Version of `peers` last reported to the leader.
    /** All routers, as last sent by the leader; none until the leader of the current connection has
        sent a list.
    */
    std::optional<cell::RouterPeers> leaderPeers;
    std::uint64_t leaderPeersVersion = 0;
    std::uint64_t announcedVersion = 0;  ///< Configuration version last announced to routers.
    std::uint64_t reportedVersion = 0;   ///< Configuration version last reported to the leader.
    std::uint64_t reportedInstanceVersion = 0;  ///< Instance table version last reported to it.
};

}  // namespace fernlift::controller
