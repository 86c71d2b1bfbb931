#include "quarantine/SuspectRequests.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace fernlift::quarantine
{
namespace
{

/// A report that the table does not contain after this interval is sent again: a commit takes some
/// 20 ms, the election of a leader up to 0.6 s.
constexpr base::Duration kResendInterval = base::milliseconds (500);
/// Time after which an interrupted answer without proof of a crash is dropped. By then a crashed
/// runner has registered again under another id, or its missing heartbeats have been detected.
constexpr base::Duration kProofLifetime = base::seconds (10);
/// A crash that no controller accepted within this time is dropped: by then it is of no use to the
/// other routers.
constexpr base::Duration kReportLifetime = base::seconds (60);
constexpr base::Duration kClearanceLifetime = base::seconds (1);

/// Lifetime of suspects that are not shared with the other routers. The cell keeps them as long,
/// and sends no update when it drops them.
constexpr base::Duration kUnsharedLifetime =
    base::milliseconds (cell::QuarantineTable::kSuspectLifetime);

bool isDue (base::TimePoint reportedAt, base::TimePoint now)
{
    return reportedAt == base::TimePoint{} || now - reportedAt >= kResendInterval;
}

}  // namespace

SuspectStatus SuspectRequests::suspectStatusOf (const cell::RequestIdentity& request) const
{
    SuspectStatus suspectStatus;
    base::TimePoint countsFrom{};
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        suspectStatus.crashes = row->second.reported.crashes;
        suspectStatus.instances = row->second.reported.instances;
        countsFrom = row->second.receivedAt;
    }
    for (const OwnCrash& crash : m_ownCrashes)
    {
        if (crash.request.digest != request.digest)
            continue;
        const bool isPending = ! crash.isFromOtherRouter && crash.proof != Proof::kUnconfirmed;
        if (isPending)
            suspectStatus.undecidedSince =
                std::max (suspectStatus.undecidedSince, { crash.crashedAt });
        if (crash.proof != Proof::kConfirmed)
            continue;
        suspectStatus.instances.push_back (crash.instance);
        if (suspectStatus.crashes > 0 && crash.sentAt < countsFrom)
            continue;
        ++suspectStatus.crashes;
        countsFrom = crash.crashedAt;
    }
    const auto isolationRunner = m_goneIsolationRunners.find (request.digest);
    const bool isPending =
        isolationRunner != m_goneIsolationRunners.end()
        && std::ranges::find (suspectStatus.instances, isolationRunner->second.instance)
               == suspectStatus.instances.end();
    if (isPending)
        suspectStatus.isolationRunnerGoneSince = isolationRunner->second.since;
    return suspectStatus;
}

void SuspectRequests::evictOldest()
{
    if (m_ownCrashes.size() < kMaxOwnCrashes)
        return;
    m_ownCrashes.erase (m_ownCrashes.begin());
    ++m_evicted;
}

void SuspectRequests::onAnswerInterrupted (const cell::RequestIdentity& request,
                                           const std::string& instance, base::TimePoint sentAt,
                                           base::TimePoint now)
{
    evictOldest();
    m_ownCrashes.push_back ({ request, instance, sentAt, now, Proof::kProbing, {}, false });
    rebuildIndex();
}

void SuspectRequests::onIsolationRunnerUnreachable (const cell::RequestIdentity& request,
                                                    std::string instance, base::TimePoint now)
{
    if (suspectStatusOf (request).crashes + 1 >= cell::kCrashesBeforeQuarantine)
        m_goneIsolationRunners.try_emplace (request.digest,
                                            GoneIsolationRunner{ std::move (instance), now });
}

void SuspectRequests::onForwardedReport (const cell::SuspectReport& report, base::TimePoint now)
{
    for (const cell::RunnerCrashReport& reported : report.crashes)
    {
        const bool isRecorded =
            std::ranges::any_of (m_ownCrashes,
                                 [&] (const OwnCrash& crash) {
                                     return crash.instance == reported.instance
                                            && crash.request.digest == reported.request.digest;
                                 });
        if (isRecorded)
            continue;
        evictOldest();
        m_ownCrashes.push_back ({ reported.request,
                                  reported.instance,
                                  now - base::milliseconds (reported.sentAgoMilliseconds),
                                  now - base::milliseconds (reported.crashedAgoMilliseconds),
                                  Proof::kConfirmed,
                                  {},
                                  true });
    }
    dropResolved();
    rebuildIndex();
}

bool SuspectRequests::onProbeResult (const std::string& instance, RunnerProbeResult probeResult)
{
    bool hasConfirmed = false;
    for (OwnCrash& crash : m_ownCrashes)
    {
        if (crash.instance != instance || crash.proof != Proof::kProbing)
            continue;
        crash.proof =
            probeResult == RunnerProbeResult::kGone ? Proof::kConfirmed : Proof::kUnconfirmed;
        hasConfirmed = hasConfirmed || probeResult == RunnerProbeResult::kGone;
    }
    if (probeResult == RunnerProbeResult::kAlive)
    {
        std::erase_if (m_ownCrashes, [&] (const OwnCrash& crash)
                       { return crash.instance == instance && crash.proof != Proof::kConfirmed; });
    }
    rebuildIndex();
    return hasConfirmed;
}

void SuspectRequests::onReplaced (const std::string& instance)
{
    for (OwnCrash& crash : m_ownCrashes)
    {
        if (crash.instance == instance)
            crash.proof = Proof::kConfirmed;
    }
}

void SuspectRequests::onCompleteAnswer (const cell::RequestIdentity& request)
{
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& crash) { return crash.request.digest == request.digest; });
    m_goneIsolationRunners.erase (request.digest);
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        m_clearances.try_emplace (request.digest);
        // The row was not shared, so the cell sends no update when it drops the row.
        if (row->second.reported.crashes < cell::kCrashesBeforeSharing)
            m_rows.erase (row);
    }
    rebuildIndex();
}

void SuspectRequests::apply (const cell::SuspectUpdate& update, base::TimePoint now)
{
    // Another controller may be behind the one that this router was connected to before. Rows hold
    // absolute values, so an update that starts at a version before the one held applies too.
    if (update.toVersion < m_version)
        return;
    if (update.fromVersion == 0)
        keepOnly (update.upserts);
    for (const cell::SuspectRow& row : update.upserts)
        put (row, now);
    for (const std::string& digest : update.removals)
        remove (digest);
    m_version = update.toVersion;
    dropResolved();
    rebuildIndex();
}

void SuspectRequests::keepOnly (const std::vector<cell::SuspectRow>& rows)
{
    std::set<std::string_view> kept;
    for (const cell::SuspectRow& row : rows)
        kept.insert (row.request.digest);
    std::erase_if (m_rows, [&] (const auto& item) { return ! kept.contains (item.first); });
}

void SuspectRequests::put (const cell::SuspectRow& row, base::TimePoint now)
{
    Row& held = m_rows[row.request.digest];
    if (held.reported == row)
        return;
    held = { row, now };
}

void SuspectRequests::remove (const std::string& digest)
{
    m_rows.erase (digest);
    m_clearances.erase (digest);
    m_goneIsolationRunners.erase (digest);
    // Crashes that were reported are dropped as well, since the cell has removed the request.
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& crash)
                   {
                       const bool wasReported =
                           crash.isFromOtherRouter || crash.reportedAt != base::TimePoint{};
                       return crash.request.digest == digest && wasReported;
                   });
}

void SuspectRequests::dropResolved()
{
    std::erase_if (m_ownCrashes,
                   [this] (const OwnCrash& crash)
                   {
                       const auto row = m_rows.find (crash.request.digest);
                       if (row == m_rows.end())
                           return false;
                       const cell::SuspectRow& reported = row->second.reported;
                       return reported.crashes >= cell::kCrashesBeforeQuarantine
                              || std::ranges::find (reported.instances, crash.instance)
                                     != reported.instances.end();
                   });
}

std::optional<cell::SuspectReport> SuspectRequests::takeReport (base::TimePoint now)
{
    cell::SuspectReport report;
    for (OwnCrash& crash : m_ownCrashes)
    {
        if (crash.isFromOtherRouter || crash.proof != Proof::kConfirmed
            || ! isDue (crash.reportedAt, now))
            continue;
        crash.reportedAt = now;
        report.crashes.push_back ({ crash.request, crash.instance,
                                    base::toMilliseconds (now - crash.sentAt),
                                    base::toMilliseconds (now - crash.crashedAt) });
    }
    for (auto& [digest, clearance] : m_clearances)
    {
        if (clearance.since == base::TimePoint{})
            clearance.since = now;
        if (! isDue (clearance.reportedAt, now))
            continue;
        clearance.reportedAt = now;
        report.cleared.push_back (digest);
    }
    if (report.crashes.empty() && report.cleared.empty())
        return std::nullopt;
    return report;
}

void SuspectRequests::onLinkLost()
{
    for (OwnCrash& crash : m_ownCrashes)
        crash.reportedAt = {};
    for (auto& [digest, clearance] : m_clearances)
        clearance.reportedAt = {};
}

void SuspectRequests::expire (base::TimePoint now)
{
    const std::size_t before = m_ownCrashes.size();
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& crash)
                   {
                       const base::Duration limit =
                           crash.proof == Proof::kConfirmed ? kReportLifetime : kProofLifetime;
                       return now - crash.crashedAt >= limit;
                   });
    std::erase_if (m_clearances,
                   [&] (const auto& item)
                   {
                       const Clearance& clearance = item.second;
                       return clearance.since != base::TimePoint{}
                              && now - clearance.since >= kClearanceLifetime;
                   });
    std::erase_if (m_goneIsolationRunners,
                   [&] (const auto& item) { return now - item.second.since >= kProofLifetime; });
    const std::size_t rowsBefore = m_rows.size();
    std::erase_if (m_rows,
                   [&] (const auto& item)
                   {
                       const bool isShared =
                           item.second.reported.crashes >= cell::kCrashesBeforeSharing;
                       return ! isShared && now - item.second.receivedAt >= kUnsharedLifetime;
                   });
    if (m_ownCrashes.size() != before || m_rows.size() != rowsBefore)
        rebuildIndex();
}

void SuspectRequests::rebuildIndex()
{
    m_fingerprints.clear();
    for (const auto& [digest, row] : m_rows)
        m_fingerprints.insert (row.reported.request.fingerprint);
    for (const OwnCrash& crash : m_ownCrashes)
        m_fingerprints.insert (crash.request.fingerprint);
}

}  // namespace fernlift::quarantine
