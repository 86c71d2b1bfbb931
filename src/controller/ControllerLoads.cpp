/**
 * Distribution of the loads of registered runners to all routers: reports are added up on their way
 * to the leader, and changed rows are sent back on the same way. See docs/design/runner-loads.md.
 */

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Minimum interval between load updates.
constexpr base::Duration kLoadInterval = base::milliseconds (50);
/// Additional interval for each row that was sent to each receiver.
constexpr base::Duration kLoadIntervalForRow = std::chrono::microseconds (1);
/// Delay before a new leader sends loads. Within it the other controllers connect and report the
/// requests that routers have at runners; without it most runners would be sent as idle.
constexpr base::Duration kLoadCollectionDelay = base::milliseconds (300);
/// Quarters of the lease after which a router counts as silent. Leases are renewed every third of
/// their length, so that one lost renewal is tolerated.
constexpr int kSilenceQuarters = 3;

}  // namespace

void ControllerCore::Implementation::shareLoads()
{
    excludeSilent (m_leader->loadSum, m_leader->sessions);
    if (auto report = m_leader->loadSum.takeDue (m_now))
    {
        updateSpeeds (*report);
        m_leader->loads.onReport (*report, m_now);
    }
    for (const RunnerSpeeds::Speed& speed : m_leader->speeds.takeChanged (m_now))
        m_leader->loads.setSpeed (speed.instance, speed.percent);
    if (m_now - m_leader->since >= kLoadCollectionDelay)
        sendLoadsTo (m_leader->sessions, m_leader->loads, m_leader->nextLoadsAt);
}

void ControllerCore::Implementation::updateSpeeds (cell::InstanceLoadReport& report)
{
    RunnerSpeeds& speeds = m_leader->speeds;
    for (cell::InstanceSlowdown& slowdown : report.slowdowns)
    {
        if (const cell::ServiceInstance* known = m_state.instances().find (slowdown.instance))
            speeds.onReportedWorkTime ({ slowdown.instance, known->service }, slowdown.percent,
                                       m_now);
        slowdown.percent =
            (slowdown.percent * speeds.speedOf (slowdown.instance) + cell::kNominalPercent / 2)
            / cell::kNominalPercent;
    }
    for (const cell::InstancePace& pace : report.paces)
    {
        if (const cell::ServiceInstance* known = m_state.instances().find (pace.instance))
        {
            speeds.onPauses ({ pace.instance, known->service },
                             { pace.model, pace.pauses, pace.microseconds },
                             m_leader->loadSum.useOf (pace.instance).inFlight);
        }
    }
}

void ControllerCore::Implementation::restoreSpeeds (const InstanceLoadTable& loads)
{
    const auto keep = [this] (const cell::InstanceLoad& load)
    {
        const cell::ServiceInstance* known = m_state.instances().find (load.instance);
        if (known != nullptr && load.speedPercent != cell::kNominalPercent)
            m_leader->speeds.setInheritedSpeed ({ load.instance, known->service },
                                                load.speedPercent);
    };
    loads.visit (m_now, keep);
}

void ControllerCore::Implementation::relayLoads()
{
    excludeSilent (m_relay->loadSum, m_relay->sessions);
    sendLoadsTo (m_relay->sessions, m_relay->loads, m_relay->nextLoadsAt);
    if (! m_relay->session.isConnected())
        return;
    if (auto report = m_relay->loadSum.takeDue (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*report) });
}

void ControllerCore::Implementation::excludeSilent (InstanceLoadSum& sum,
                                                    const RouterSessions& sessions) const
{
    if (sum.reporters() == 0)
        return;
    const base::Duration longest = m_options.routerLease * kSilenceQuarters / 4;
    for (const auto& [connection, session] : sessions.sessions())
        sum.setReporterActive (connection, m_now - session.lastMessageAt < longest);
}

void ControllerCore::Implementation::sendLoadsTo (RouterSessions& sessions,
                                                  const InstanceLoadTable& loads,
                                                  base::TimePoint& nextUpdateAt)
{
    if (m_now < nextUpdateAt)
        return;
    std::map<std::uint64_t, std::vector<RouterConnection>> behind;
    for (auto& [connection, session] : sessions.sessions())
    {
        // A router without loads does not need a table without rows. Another controller may still
        // hold the loads of an earlier leader.
        const bool needsNothing =
            session.loadVersion == 0 && loads.size() == 0 && ! session.isRelay;
        if (session.loadVersion == loads.version() || needsNothing)
            continue;
        behind[session.loadVersion].push_back (connection);
        session.loadVersion = loads.version();
    }
    std::size_t rows = 0;
    for (auto& [version, connections] : behind)
    {
        cell::InstanceLoadUpdate update = loads.updateSince (version, m_now);
        // The changed rows may all have been removed.
        if (! update.isWhole && update.loads.empty())
            continue;
        rows += update.loads.size() * connections.size();
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections), std::move (update) });
    }
    if (! behind.empty())
    {
        nextUpdateAt = m_now
                       + std::max<base::Duration> (
                           kLoadInterval, static_cast<std::int64_t> (rows) * kLoadIntervalForRow);
    }
}

void ControllerCore::Implementation::removeLoadsOfGoneInstances()
{
    // A runner that restarts under its id may be another machine: loads and speed of the earlier
    // incarnation do not apply to it.
    std::map<std::string, base::UnixMilliseconds>& starts = m_leader->loadStarts;
    const auto isKept = [&] (const std::string& instance)
    {
        const cell::ServiceInstance* known = m_state.instances().find (instance);
        if (known == nullptr)
            return false;
        const auto seen = starts.find (instance);
        return seen == starts.end() || seen->second == known->startedAt;
    };
    m_leader->loads.keepOnly (isKept);
    m_leader->speeds.keepOnly (isKept);
    // Runs ten times a second for thousands of runners: the copy is rebuilt only when it differs.
    const auto& instances = m_state.instances().all();
    const auto isSame = [] (const auto& start, const auto& item)
    { return start.first == item.first && start.second == item.second.startedAt; };
    if (std::ranges::equal (starts, instances, isSame))
        return;
    starts.clear();
    for (const auto& [id, instance] : instances)
        starts.emplace (id, instance.startedAt);
}

}  // namespace fernlift::controller
