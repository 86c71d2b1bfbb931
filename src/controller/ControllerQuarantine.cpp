/**
 * Quarantine of requests at which runners crashed. The leader puts the crashes that routers report
 * into the log, and every member sends its routers the suspects that it has applied, so that a
 * crash is known at all routers within some tens of milliseconds and survives a change of the
 * leader. See docs/design/quarantine.md.
 */

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Interval of suspect updates, so that crashes that arrive together, such as those for all
/// requests of one runner, are sent together.
constexpr base::Duration kSuspectInterval = base::milliseconds (10);
/// Time after which routers are notified of a crash that is not committed yet. A commit takes about
/// 20 ms, but up to 0.85 s with a busy disk; a request can crash two more runners in that time.
constexpr base::Duration kAnnouncementDelay = base::milliseconds (30);
/// A crash that was not applied within this time will not be applied: the router reports it again
/// or has dropped it.
constexpr base::Duration kUnappliedCrashLifetime = base::seconds (5);
/// Interval of the search for expired suspects, whose lifetime is minutes.
constexpr base::Duration kExpiryInterval = base::seconds (10);

}  // namespace

void ControllerCore::Implementation::recordReporter (RouterSession& session,
                                                     const cell::SuspectReport& report)
{
    for (const cell::RunnerCrashReport& crash : report.crashes)
        session.reportedSuspects[crash.request.digest] = m_now;
    m_suspectsSend.request();
}

void ControllerCore::Implementation::onSuspectReport (const cell::SuspectReport& report)
{
    const cell::QuarantineTable& table = m_state.quarantine();
    for (const cell::RunnerCrashReport& crash : report.crashes)
    {
        const base::UnixMilliseconds now = cellTime();
        const cell::RunnerCrash reported{ crash.request, crash.instance,
                                          now - crash.sentAgoMilliseconds,
                                          now - crash.crashedAgoMilliseconds };
        const cell::Suspect* known = table.find (crash.request.digest);
        const bool isNew = known == nullptr || known->isChangedBy (reported);
        // A runner that ended while it was leaving did not crash.
        if (! isNew || isLeaving (crash.instance))
            continue;
        m_leader->unappliedCrashes.push_back ({ crash, m_now, false });
        m_leader->suspects.crashes.push_back (reported);
    }
    for (const std::string& digest : report.cleared)
    {
        if (table.find (digest) != nullptr)
            m_leader->suspects.cleared.push_back (digest);
    }
}

bool ControllerCore::Implementation::isLeaving (const std::string& instance) const
{
    const cell::Incarnation incarnation = cell::Incarnation::fromName (instance);
    const cell::ServiceInstance* known = m_state.instances().find (incarnation.id);
    const bool isKnown =
        known != nullptr && ! cell::isEarlierIncarnation (incarnation.startedAt, known->startedAt);
    return isKnown ? known->isDraining
                   : m_state.instances().isDeregistered (incarnation.id, incarnation.startedAt);
}

void ControllerCore::Implementation::proposeSuspectsIfDue()
{
    cell::RecordSuspects& pending = m_leader->suspects;
    const bool mustExpire =
        m_now >= m_leader->nextSuspectExpiryAt && m_state.quarantine().hasExpired (cellTime());
    if (m_now >= m_leader->nextSuspectExpiryAt)
        m_leader->nextSuspectExpiryAt = m_now + kExpiryInterval;
    if (pending.crashes.empty() && pending.cleared.empty() && ! mustExpire)
        return;
    cell::RecordSuspects command = std::exchange (pending, {});
    command.proposedAt = cellTime();
    propose (command, ForNothing{});
}

void ControllerCore::Implementation::announceLateCrashes()
{
    std::erase_if (m_leader->unappliedCrashes, [this] (const UnappliedCrash& crash)
                   { return m_now - crash.receivedAt >= kUnappliedCrashLifetime; });
    const bool isAnyLate = std::ranges::any_of (
        m_leader->unappliedCrashes, [this] (const UnappliedCrash& crash)
        { return ! crash.isAnnounced && m_now - crash.receivedAt >= kAnnouncementDelay; });
    if (! isAnyLate)
        return;
    std::map<std::string, std::set<std::string>>
        instances;  // Crashed instances by digest of the request.
    for (const UnappliedCrash& crash : m_leader->unappliedCrashes)
        instances[crash.report.request.digest].insert (crash.report.instance);
    cell::SuspectReport hint;
    for (UnappliedCrash& crash : m_leader->unappliedCrashes)
    {
        const std::string& digest = crash.report.request.digest;
        const bool isRepeated =
            instances[digest].size() > 1 || m_state.quarantine().find (digest) != nullptr;
        const base::Duration age = m_now - crash.receivedAt;
        if (crash.isAnnounced || ! isRepeated)
            continue;
        crash.isAnnounced = true;
        cell::RunnerCrashReport report = crash.report;
        report.sentAgoMilliseconds += base::toMilliseconds (age);
        report.crashedAgoMilliseconds += base::toMilliseconds (age);
        hint.crashes.push_back (std::move (report));
    }
    if (! hint.crashes.empty())
        sendToAllOf (m_leader->sessions, std::move (hint));
}

void ControllerCore::Implementation::sendToAllOf (const RouterSessions& sessions,
                                                  cell::ControllerToRouter message)
{
    std::vector<RouterConnection> connections;
    for (const auto& [connection, session] : sessions.sessions())
        connections.push_back (connection);
    m_effects.emplace_back (BroadcastToRouters{ std::move (connections), std::move (message) });
}

void ControllerCore::Implementation::onSuspectsApplied (const cell::RecordSuspects& command)
{
    std::erase_if (m_leader->unappliedCrashes,
                   [&] (const UnappliedCrash& crash)
                   {
                       const cell::Suspect* suspect =
                           m_state.quarantine().find (crash.report.request.digest);
                       return suspect != nullptr && suspect->contains (crash.report.instance);
                   });
    for (const cell::RunnerCrash& crash : command.crashes)
    {
        const cell::Suspect* suspect = m_state.quarantine().find (crash.request.digest);
        const bool isNewlyQuarantined = suspect != nullptr && suspect->isInQuarantine()
                                        && suspect->crashes.back().instance == crash.instance;
        if (isNewlyQuarantined)
            m_effects.emplace_back (RequestQuarantined{ *suspect });
    }
}

void ControllerCore::Implementation::sendSuspectsTo (RouterSessions& sessions)
{
    // Called after each input: without changes it must not iterate over the routers.
    const base::LogIndex version = m_state.quarantine().version();
    if (std::exchange (m_suspectsVersion, version) != version)
        m_suspectsSend.request();
    if (! m_suspectsSend.takeDue (m_now, kSuspectInterval))
        return;
    std::map<base::LogIndex, std::vector<RouterConnection>> behind;
    for (auto& [connection, session] : sessions.sessions())
    {
        // Another controller gets the suspects from the log.
        if (session.isRelay)
            continue;
        sendReportedSuspects (connection, session);
        if (! session.reportedSuspects.empty())
            m_suspectsSend.request();
        if (session.suspectVersion >= version)
            continue;
        behind[session.suspectVersion].push_back (connection);
        session.suspectVersion = version;
    }
    for (auto& [held, connections] : behind)
    {
        cell::SuspectUpdate update = m_state.quarantine().updateSince (held);
        if (update.upserts.empty() && update.removals.empty())
            continue;
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections), std::move (update) });
    }
}

void ControllerCore::Implementation::sendReportedSuspects (RouterConnection connection,
                                                           RouterSession& session)
{
    if (session.reportedSuspects.empty())
        return;
    cell::SuspectUpdate update;
    std::erase_if (session.reportedSuspects,
                   [&] (const auto& reported)
                   {
                       const auto& [digest, reportedAt] = reported;
                       const cell::Suspect* suspect = m_state.quarantine().find (digest);
                       if (suspect == nullptr)
                           return m_now - reportedAt >= kUnappliedCrashLifetime;
                       update.upserts.push_back (suspect->row());
                       return true;
                   });
    if (update.upserts.empty())
        return;
    // The update has single rows, not the whole table, also for a router without a table.
    update.fromVersion = std::max<base::LogIndex> (session.suspectVersion, 1);
    update.toVersion = m_state.quarantine().version();
    sendToRouter (connection, std::move (update));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminQuarantine& /*request*/)
{
    if (! holdsLease())
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    answer (ticket, quarantineAnswer (m_state.quarantine()));
}

void ControllerCore::Implementation::finish (const ForRelease& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    answer (purpose.ticket, doneAnswer());
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminRelease& request)
{
    const cell::QuarantineTable& table = m_state.quarantine();
    if (! m_leader)
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    if (! request.digest.empty() && table.find (request.digest) == nullptr)
    {
        answer (ticket, errorAnswer ({ base::ErrorKind::kNotFound,
                                       "no suspect '" + request.digest + "' is known" }));
        return;
    }
    cell::ReleaseSuspects command;
    if (! request.digest.empty())
        command.digests.push_back (request.digest);
    command.proposedAt = cellTime();
    if (! propose (command, ForRelease{ ticket }))
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
}

}  // namespace fernlift::controller
