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
/// Within this time a crashed runner is registered again under another id, or its missing
/// heartbeats were detected.
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

Standing SuspectRequests::standingOf (const cell::RequestIdentity& request) const
{
    Standing standing;
    base::TimePoint countsFrom{};
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        standing.ends = row->second.reported.ends;
        standing.instances = row->second.reported.instances;
        countsFrom = row->second.receivedAt;
    }
    for (const OwnCrash& end : m_ownCrashes)
    {
        if (end.request.digest != request.digest)
            continue;
        const bool isPending = ! end.isFromOtherRouter && end.proof != Proof::kUnconfirmed;
        if (isPending)
            standing.undecidedSince = std::max (standing.undecidedSince, { end.endedAt });
        if (end.proof != Proof::kConfirmed)
            continue;
        standing.instances.push_back (end.instance);
        if (standing.ends > 0 && end.sentAt < countsFrom)
            continue;
        ++standing.ends;
        countsFrom = end.endedAt;
    }
    const auto trial = m_goneIsolationRunners.find (request.digest);
    const bool isPending = trial != m_goneIsolationRunners.end()
                           && std::ranges::find (standing.instances, trial->second.instance)
                                  == standing.instances.end();
    if (isPending)
        standing.trialGoneSince = trial->second.since;
    return standing;
}

void SuspectRequests::evictOldest()
{
    if (m_ownCrashes.size() < kMaxOwnCrashes)
        return;
    m_ownCrashes.erase (m_ownCrashes.begin());
    ++m_evicted;
}

void SuspectRequests::onBrokenOff (const cell::RequestIdentity& request,
                                   const std::string& instance, base::TimePoint sentAt,
                                   base::TimePoint now)
{
    evictOldest();
    m_ownCrashes.push_back ({ request, instance, sentAt, now, Proof::kProbing, {}, false });
    rebuildIndex();
}

void SuspectRequests::onTrialUnreachable (const cell::RequestIdentity& request,
                                          std::string instance, base::TimePoint now)
{
    if (standingOf (request).ends + 1 >= cell::kEndsBeforeQuarantine)
        m_goneIsolationRunners.try_emplace (request.digest,
                                            GoneIsolationRunner{ std::move (instance), now });
}

void SuspectRequests::onTold (const cell::SuspectReport& report, base::TimePoint now)
{
    for (const cell::RunnerEndReport& reported : report.ends)
    {
        const bool isRecorded =
            std::ranges::any_of (m_ownCrashes,
                                 [&] (const OwnCrash& end) {
                                     return end.instance == reported.instance
                                            && end.request.digest == reported.request.digest;
                                 });
        if (isRecorded)
            continue;
        evictOldest();
        m_ownCrashes.push_back ({ reported.request,
                                  reported.instance,
                                  now - base::milliseconds (reported.sentAgoMilliseconds),
                                  now - base::milliseconds (reported.endedAgoMilliseconds),
                                  Proof::kConfirmed,
                                  {},
                                  true });
    }
    dropResolved();
    rebuildIndex();
}

bool SuspectRequests::onFate (const std::string& instance, RunnerFate fate)
{
    bool hasConfirmed = false;
    for (OwnCrash& end : m_ownCrashes)
    {
        if (end.instance != instance || end.proof != Proof::kProbing)
            continue;
        end.proof = fate == RunnerFate::kGone ? Proof::kConfirmed : Proof::kUnconfirmed;
        hasConfirmed = hasConfirmed || fate == RunnerFate::kGone;
    }
    if (fate == RunnerFate::kAlive)
    {
        std::erase_if (m_ownCrashes, [&] (const OwnCrash& end)
                       { return end.instance == instance && end.proof != Proof::kConfirmed; });
    }
    rebuildIndex();
    return hasConfirmed;
}

void SuspectRequests::onReplaced (const std::string& instance)
{
    for (OwnCrash& end : m_ownCrashes)
    {
        if (end.instance == instance)
            end.proof = Proof::kConfirmed;
    }
}

void SuspectRequests::onWholeAnswer (const cell::RequestIdentity& request)
{
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& end) { return end.request.digest == request.digest; });
    m_goneIsolationRunners.erase (request.digest);
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        m_clearances.try_emplace (request.digest);
        // The row was not shared, so the cell sends no update when it drops the row.
        if (row->second.reported.ends < cell::kEndsBeforeSharing)
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
    // Crashes that were reported go too: the cell has dropped the request since.
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& end)
                   {
                       const bool wasReported =
                           end.isFromOtherRouter || end.reportedAt != base::TimePoint{};
                       return end.request.digest == digest && wasReported;
                   });
}

void SuspectRequests::dropResolved()
{
    std::erase_if (m_ownCrashes,
                   [this] (const OwnCrash& end)
                   {
                       const auto row = m_rows.find (end.request.digest);
                       if (row == m_rows.end())
                           return false;
                       const cell::SuspectRow& reported = row->second.reported;
                       return reported.ends >= cell::kEndsBeforeQuarantine
                              || std::ranges::find (reported.instances, end.instance)
                                     != reported.instances.end();
                   });
}

std::optional<cell::SuspectReport> SuspectRequests::takeReport (base::TimePoint now)
{
    cell::SuspectReport report;
    for (OwnCrash& end : m_ownCrashes)
    {
        if (end.isFromOtherRouter || end.proof != Proof::kConfirmed
            || ! isDue (end.reportedAt, now))
            continue;
        end.reportedAt = now;
        report.ends.push_back ({ end.request, end.instance, base::toMilliseconds (now - end.sentAt),
                                 base::toMilliseconds (now - end.endedAt) });
    }
    for (auto& [digest, clearance] : m_clearances)
    {
        if (clearance.since == base::TimePoint{})
            clearance.since = now;
        if (! isDue (clearance.reportedAt, now))
            continue;
        clearance.reportedAt = now;
        report.acquitted.push_back (digest);
    }
    if (report.ends.empty() && report.acquitted.empty())
        return std::nullopt;
    return report;
}

void SuspectRequests::onLinkLost()
{
    for (OwnCrash& end : m_ownCrashes)
        end.reportedAt = {};
    for (auto& [digest, clearance] : m_clearances)
        clearance.reportedAt = {};
}

void SuspectRequests::expire (base::TimePoint now)
{
    const std::size_t before = m_ownCrashes.size();
    std::erase_if (m_ownCrashes,
                   [&] (const OwnCrash& end)
                   {
                       const base::Duration limit =
                           end.proof == Proof::kConfirmed ? kReportLifetime : kProofLifetime;
                       return now - end.endedAt >= limit;
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
                       const bool isShared = item.second.reported.ends >= cell::kEndsBeforeSharing;
                       return ! isShared && now - item.second.receivedAt >= kUnsharedLifetime;
                   });
    if (m_ownCrashes.size() != before || m_rows.size() != rowsBefore)
        rebuildIndex();
}

void SuspectRequests::rebuildIndex()
{
    m_outlines.clear();
    for (const auto& [digest, row] : m_rows)
        m_outlines.insert (row.reported.request.outline);
    for (const OwnCrash& end : m_ownCrashes)
        m_outlines.insert (end.request.outline);
}

}  // namespace fernlift::quarantine
