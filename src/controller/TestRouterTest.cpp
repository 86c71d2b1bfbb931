// Implementation of TestRouter and of the routers' part of TestCell, declared in TestCell.h.
// Compiled into the test binary only.

#include <algorithm>

#include "controller/ControlTraffic.h"
#include "controller/TestCell.h"

namespace fernlift::controller::test
{
namespace
{

constexpr base::Duration kNetworkDelay = base::milliseconds (1);

}  // namespace

bool TestRouter::hasReplica (const std::string& target) const
{
    return std::any_of (table.begin(), table.end(),
                        [&] (const auto& entry) { return entry.first.second == target; });
}

void TestCell::setDemand (std::size_t number, const std::string& target, std::uint32_t waiting,
                          std::uint32_t running, int urgency)
{
    cell::Demand demand;
    demand.target = target;
    demand.waiting = waiting;
    demand.running = running;
    demand.mostUrgent = urgency;
    TestRouter& router = *m_routers[number];
    router.demands[target] = demand;
    toController (router, cell::DemandReport{ { demand } });
}

void TestCell::claim (std::size_t router, std::uint64_t sequence, std::vector<cell::Claim> claims)
{
    toController (*m_routers[router], cell::ClaimRequest{ sequence, std::move (claims) });
}

void TestCell::sendFromRouter (std::size_t router, const cell::RouterToController& message)
{
    toController (*m_routers[router], message);
}

void TestCell::reconnect (std::size_t router, base::MemberId member)
{
    connect (*m_routers[router], member);
}

void TestCell::tickRouter (TestRouter& router)
{
    if (router.isCut)
        return;
    if (! router.connectedTo)
    {
        for (auto& [member, node] : m_nodes)
        {
            if (node.core && ! node.isCut)
            {
                connect (router, member);
                break;
            }
        }
        return;
    }
    if (m_now < router.nextLeaseAt)
        return;
    router.nextLeaseAt = m_now + base::milliseconds (600);
    cell::LeaseRequest request;
    request.sequence = ++router.leaseSequence;
    request.configurationVersion = router.configurationVersion;
    request.configurationDigest = router.configurationDigest;
    request.replicaTableVersion = router.tableVersion;
    request.instanceTerm = router.instanceTerm;
    request.instanceVersion = router.instanceVersion;
    router.leaseSentAt[request.sequence] = m_now;
    toController (router, request);
    cell::DemandReport report;
    for (const auto& [target, demand] : router.demands)
        report.demands.push_back (demand);
    if (! report.demands.empty())
        toController (router, report);
}

void TestCell::connect (TestRouter& router, base::MemberId member)
{
    if (router.connectedTo)
    {
        const RouterConnection old = router.connection;
        runOn (*router.connectedTo,
               [&] (ControllerCore& core) { core.onRouterDisconnected (old); });
    }
    router.connectedTo = member;
    router.connection = m_nextConnection++;
    router.tableVersion = 0;
    router.table.clear();
    router.nextLeaseAt = m_now;
    cell::RouterHello hello;
    hello.router = router.id;
    hello.cell = m_options.controller.cell;
    hello.configurationVersion = router.configurationVersion;
    hello.configurationDigest = router.configurationDigest;
    hello.acceptsLastKnownState = router.acceptsLastKnownState;
    hello.instanceTerm = router.instanceTerm;
    hello.instanceVersion = router.instanceVersion;
    hello.features = router.features;
    router.received.clear();
    toController (router, hello);
}

void TestCell::toController (TestRouter& router, cell::RouterToController message)
{
    if (! router.connectedTo)
        return;
    const base::MemberId member = *router.connectedTo;
    if (! node (member).core)
    {
        router.connectedTo.reset();
        return;
    }
    const RouterConnection connection = router.connection;
    schedule (kNetworkDelay,
              [this, &router, member, connection, message = std::move (message)]
              {
                  if (router.isCut || node (member).isCut || router.connection != connection)
                      return;
                  runOn (member, [&] (ControllerCore& core)
                         { core.onRouterMessage (connection, message); });
              });
}

base::MemberId TestCell::memberAt (const std::string& address) const
{
    for (const auto& [member, node] : m_nodes)
    {
        if (address == "c" + std::to_string (member) + ":1")
            return member;
    }
    return 0;
}

void TestCell::onMessage (TestRouter& router, const cell::ControllerToRouter& message)
{
    router.received.emplace_back (kindOf (message));
    if (const auto* reply = std::get_if<cell::NotLeaderReply> (&message))
    {
        const base::MemberId member = memberAt (reply->leaderAddress);
        const base::MemberId next =
            member != 0 ? member : *router.connectedTo % m_options.controllers + 1;
        schedule (base::milliseconds (20), [this, &router, next] { connect (router, next); });
    }
    else if (const auto* update = std::get_if<cell::ConfigurationUpdate> (&message))
    {
        if (update->version < router.configurationVersion)
        {
            ++router.regressions;
            return;
        }
        router.configurationVersion = update->version;
        router.configurationDigest = update->digest;
        router.nextLeaseAt = m_now;  // The next lease request reports the version at once.
    }
    else if (const auto* grant = std::get_if<cell::LeaseGrant> (&message))
    {
        router.cellRouters = grant->routers;
        const bool isForMine = grant->configurationVersion == router.configurationVersion
                               && grant->configurationDigest == router.configurationDigest;
        if (! isForMine)
            return;
        const base::TimePoint sentAt = router.leaseSentAt[grant->sequence];
        router.leaseUntil =
            std::max (router.leaseUntil, sentAt + base::milliseconds (grant->durationMilliseconds));
    }
    else if (const auto* table = std::get_if<cell::ReplicaUpdate> (&message))
    {
        onUpdate (router, *table);
    }
    else if (const auto* claims = std::get_if<cell::ClaimReply> (&message))
    {
        router.claimReplies.push_back (*claims);
    }
    else if (const auto* suspects = std::get_if<cell::SuspectUpdate> (&message))
    {
        router.onSuspects (*suspects);
        if (suspects->fromVersion == 0)
            router.suspects.clear();
        for (const cell::SuspectRow& row : suspects->upserts)
            router.suspects[row.request.digest] = row;
        for (const std::string& digest : suspects->removals)
            router.suspects.erase (digest);
    }
    else if (const auto* hint = std::get_if<cell::SuspectReport> (&message))
    {
        router.suspectHints.insert (router.suspectHints.end(), hint->crashes.begin(),
                                    hint->crashes.end());
    }
    else if (const auto* rates = std::get_if<cell::InstanceRateUpdate> (&message))
    {
        router.rates = *rates;
    }
    else if (const auto* permits = std::get_if<cell::InstancePermitGrant> (&message))
    {
        router.permits.insert (router.permits.end(), permits->grant.allowances.begin(),
                               permits->grant.allowances.end());
    }
    else if (const auto* reserve = std::get_if<cell::RetryReserveGrants> (&message))
    {
        router.reserveGrants.push_back (*reserve);
    }
    else if (const auto* records = std::get_if<cell::StreamRecords> (&message))
    {
        router.streamRecords.push_back (*records);
    }
    else if (const auto* streams = std::get_if<cell::StreamLookupReply> (&message))
    {
        router.streamReplies.push_back (*streams);
    }
    else if (const auto* brittle = std::get_if<cell::BrittleServices> (&message))
    {
        router.brittle = *brittle;
    }
    else if (const auto* slots = std::get_if<cell::SlotGrants> (&message))
    {
        router.slotGrants.insert (router.slotGrants.end(), slots->grants.begin(),
                                  slots->grants.end());
    }
    else if (const auto* loads = std::get_if<cell::InstanceLoadUpdate> (&message))
    {
        router.onLoads (*loads);
        if (loads->isWhole)
            router.loads.clear();
        for (const cell::InstanceLoad& load : loads->loads)
            router.loads[load.instance] = load;
        std::erase_if (router.loads,
                       [] (const auto& item)
                       {
                           const cell::InstanceLoad& load = item.second;
                           return load.inFlight == 0 && load.pendingPrefillTokens == 0
                                  && load.speedPercent == 100 && load.slowdownPercent == 100;
                       });
    }
    else if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
    {
        const bool isWhole = instances->fromVersion == 0;
        const bool fits = instances->term == router.instanceTerm
                          && instances->fromVersion == router.instanceVersion;
        // As in InstanceDirectory: a table of an earlier leader is not applied.
        const bool isEarlier = instances->term < router.instanceTerm;
        if (isEarlier || (! isWhole && ! fits))
        {
            connect (router, *router.connectedTo);  // A gap: a new connection gets the whole table.
            return;
        }
        if (isWhole)
            router.instances.clear();
        for (const std::string& id : instances->removals)
            router.instances.erase (id);
        for (const cell::RoutableInstance& row : instances->upserts)
        {
            router.instances[row.instance.id] = row;
        }
        router.instanceTerm = instances->term;
        router.instanceVersion = instances->toVersion;
        if (instances->mustConfirm)
            router.nextLeaseAt = m_now;
    }
}

void TestCell::onUpdate (TestRouter& router, const cell::ReplicaUpdate& update)
{
    if (update.fromVersion == 0)
        router.table.clear();
    if (update.fromVersion != 0 && update.fromVersion != router.tableVersion)
        return;
    router.tableVersion = update.toVersion;
    for (const cell::RoutableReplica& replica : update.removals)
    {
        router.table.erase ({ replica.replica, replica.target });
    }
    for (const cell::RoutableReplica& replica : update.upserts)
    {
        router.table[{ replica.replica, replica.target }] = replica;
    }
    for (const cell::TargetEstimate& estimate : update.estimates)
    {
        router.estimates[estimate.target] = estimate;
    }
}

}  // namespace fernlift::controller::test
