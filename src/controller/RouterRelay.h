#pragma once

/**
 * What a member that does not lead keeps to serve routers and runners on behalf of the leader.
 *
 * The leader sees one session in place of those of many routers. This member takes a lease from it
 * like a router, grants its routers leases that end no later than its own, and states to it the
 * least that any of them may serve by. So what the leader may acknowledge, and when, is the same as
 * if it served the routers itself; see docs/design/control-tree.md.
 */

#include <cstdint>
#include <map>
#include <string>

#include "base/Random.h"
#include "cell/ControllerSession.h"
#include "controller/EngineDemandSum.h"
#include "controller/HeartbeatBatch.h"
#include "controller/InstanceLoadSum.h"
#include "controller/InstanceLoadTable.h"
#include "controller/InstanceMirror.h"
#include "controller/PacedWork.h"
#include "controller/QuotaRelay.h"
#include "controller/RateRelay.h"
#include "controller/RouterSessions.h"

namespace fernlift::controller
{

/** Lasts from one leadership of this member to the next. Its duties are in ControllerRelay.cpp. */
struct RouterRelay
{
    RouterRelay (std::string relayId, std::uint64_t randomSeed, base::Duration routerLease,
                 const quota::QuotaTolerance& quotaTolerance, base::TimePoint now)
        : id (std::move (relayId)),
          random (randomSeed),
          session (now, cell::ControllerSession::kQuickAfterLoss),
          leaderlessSince (now),
          sessions (routerLease),
          quotas (quotaTolerance)
    {
    }

    /** Never used again once this object is gone: leases that it granted go on, and the leader goes
        on to count them under this name.
    */
    std::string id;
    base::Random random;
    base::MemberId leader = 0;          ///< To which the session goes; 0: none.
    cell::ControllerSession session;    ///< With the leader.
    base::TimePoint leaderlessSince{};  ///< While the session is not connected.
    RouterSessions sessions;            ///< Of routers.
    /** Requests that came before there was a lease to pass on. */
    std::map<SessionId, cell::LeaseRequest> unanswered;
    InstanceMirror instances;
    bool needsWholeTable = false;   ///< A change came that does not fit.
    InstanceLoadSum loadSum;        ///< Of its routers, for the leader.
    InstanceLoadTable loads;        ///< Of all routers, from the leader.
    base::TimePoint nextLoadsAt{};  ///< Routers hear of loads no earlier.
    RateRelay rates;                ///< Of runners that state one.
    RateNews rateNews;
    EngineDemandSum demands;
    HeartbeatBatch heartbeats;
    QuotaRelay quotas;
    QuotaBasis quotaBasis;                    ///< Of what `quotas` counts.
    bool hasRunners = false;                  ///< Some send their heartbeats here.
    PacedWork instanceTable;                  ///< Routers may have to hear of instances.
    PacedWork wholeTable;                     ///< Some have to be sent all of them.
    PacedWork configurationSend;              ///< Routers may have to be sent the configuration.
    std::uint64_t announcedVersion = 0;       ///< Configuration that routers were to be sent last.
    std::uint64_t statedVersion = 0;          ///< Configuration last stated to the leader.
    std::uint64_t statedInstanceVersion = 0;  ///< The same for the table of instances.
};

}  // namespace fernlift::controller
