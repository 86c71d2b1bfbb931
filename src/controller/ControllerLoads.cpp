/**
 * How loads of registered runners go from routers to all routers: reports are added up on their way
 * to the leader, and rows that changed come back the same way. See docs/design/runner-loads.md.
 */

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Changes go out together, no more often than this.
constexpr base::Duration kLoadInterval = base::milliseconds (50);
/// The same for each row that goes to each receiver.
constexpr base::Duration kLoadIntervalForRow = std::chrono::microseconds (1);
/// The other controllers reach a new leader within this time, and tell it what routers have at
/// runners. Without the pause routers would be told that most runners are idle.
constexpr base::Duration kLoadsLearnedAfter = base::milliseconds (300);
/// Of a lease, which is renewed every third of it: one that was lost on its way is no silence.
constexpr int kSilenceQuarters = 3;

}  // namespace

void ControllerCore::Implementation::shareLoads()
{
    leaveOutSilent (m_leader->loadSum, m_leader->sessions);
    if (auto report = m_leader->loadSum.takeDue (m_now))
        m_leader->loads.onReport (*report, m_now);
    if (m_now - m_leader->since >= kLoadsLearnedAfter)
        sendLoadsTo (m_leader->sessions, m_leader->loads, m_leader->nextLoadsAt);
}

void ControllerCore::Implementation::relayLoads()
{
    leaveOutSilent (m_relay->loadSum, m_relay->sessions);
    sendLoadsTo (m_relay->sessions, m_relay->loads, m_relay->nextLoadsAt);
    if (! m_relay->session.isConnected())
        return;
    if (auto report = m_relay->loadSum.takeDue (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*report) });
}

void ControllerCore::Implementation::leaveOutSilent (InstanceLoadSum& sum,
                                                     const RouterSessions& sessions) const
{
    const base::Duration longest = m_options.routerLease * kSilenceQuarters / 4;
    for (const auto& [connection, session] : sessions.sessions())
        sum.setHeard (connection, m_now - session.heardAt < longest);
}

void ControllerCore::Implementation::sendLoadsTo (RouterSessions& sessions,
                                                  const InstanceLoadTable& loads,
                                                  base::TimePoint& nextAt)
{
    if (m_now < nextAt)
        return;
    std::map<std::uint64_t, std::vector<RouterConnection>> behind;
    for (auto& [connection, session] : sessions.sessions())
    {
        // A router without loads does not wait for a table without rows. Another controller may
        // still hold what an earlier leader told it.
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
        // All that changed may be gone.
        if (! update.isWhole && update.loads.empty())
            continue;
        rows += update.loads.size() * connections.size();
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections), std::move (update) });
    }
    if (! behind.empty())
    {
        nextAt = m_now
                 + std::max<base::Duration> (
                     kLoadInterval, static_cast<std::int64_t> (rows) * kLoadIntervalForRow);
    }
}

void ControllerCore::Implementation::forgetLoadsOfGone()
{
    m_leader->loads.keepOnly ([this] (const std::string& instance)
                              { return m_leader->instances.rows().contains (instance); });
}

}  // namespace fernlift::controller
