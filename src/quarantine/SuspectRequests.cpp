#include "quarantine/SuspectRequests.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace fernlift::quarantine
{
namespace
{

/// What was told and does not show in the table by then is told again: a commit takes some 20 ms,
/// the election of a leader up to 0.6 s.
constexpr base::Duration kRetellAfter = base::milliseconds (500);
/// Within this a runner that has ended is back under another id, or its silence was noticed.
constexpr base::Duration kProofLifetime = base::seconds (10);
/// What no controller took by then is given up: other routers are long past it.
constexpr base::Duration kTellingLifetime = base::seconds (60);
constexpr base::Duration kAcquittalLifetime = base::seconds (1);

/// The cell keeps suspects as long, and tells of no change of those that are not shared.
constexpr base::Duration kUnsharedLifetime =
    base::milliseconds (cell::QuarantineTable::kSuspectLifetime);

bool isDue (base::TimePoint toldAt, base::TimePoint now)
{
    return toldAt == base::TimePoint{} || now - toldAt >= kRetellAfter;
}

}  // namespace

Standing SuspectRequests::standingOf (const cell::RequestIdentity& request) const
{
    Standing standing;
    base::TimePoint freeFrom{};
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        standing.ends = row->second.told.ends;
        standing.instances = row->second.told.instances;
        freeFrom = row->second.receivedAt;
    }
    for (const OwnEnd& end : m_own)
    {
        if (end.request.digest != request.digest)
            continue;
        const bool isOpen = ! end.isForeign && end.proof != Proof::kOpen;
        if (isOpen)
            standing.undecidedSince = std::max (standing.undecidedSince, { end.endedAt });
        if (end.proof != Proof::kProved)
            continue;
        standing.instances.push_back (end.instance);
        if (standing.ends > 0 && end.sentAt < freeFrom)
            continue;
        ++standing.ends;
        freeFrom = end.endedAt;
    }
    const auto trial = m_goneTrials.find (request.digest);
    const bool isOpen = trial != m_goneTrials.end()
                        && std::ranges::find (standing.instances, trial->second.instance)
                               == standing.instances.end();
    if (isOpen)
        standing.trialGoneSince = trial->second.since;
    return standing;
}

void SuspectRequests::makeRoom()
{
    if (m_own.size() < kMostOwn)
        return;
    m_own.erase (m_own.begin());
    ++m_forgotten;
}

void SuspectRequests::onBrokenOff (const cell::RequestIdentity& request,
                                   const std::string& instance, base::TimePoint sentAt,
                                   base::TimePoint now)
{
    makeRoom();
    m_own.push_back ({ request, instance, sentAt, now, Proof::kLooking, {}, false });
    indexOutlines();
}

void SuspectRequests::onTrialUnreachable (const cell::RequestIdentity& request,
                                          std::string instance, base::TimePoint now)
{
    if (standingOf (request).ends + 1 >= cell::kEndsBeforeQuarantine)
        m_goneTrials.try_emplace (request.digest, GoneTrial{ std::move (instance), now });
}

void SuspectRequests::onTold (const cell::SuspectReport& report, base::TimePoint now)
{
    for (const cell::RunnerEndReport& told : report.ends)
    {
        const bool isKnown = std::ranges::any_of (
            m_own, [&] (const OwnEnd& end)
            { return end.instance == told.instance && end.request.digest == told.request.digest; });
        if (isKnown)
            continue;
        makeRoom();
        m_own.push_back ({ told.request,
                           told.instance,
                           now - base::milliseconds (told.sentAgoMilliseconds),
                           now - base::milliseconds (told.endedAgoMilliseconds),
                           Proof::kProved,
                           {},
                           true });
    }
    dropSettled();
    indexOutlines();
}

bool SuspectRequests::onFate (const std::string& instance, RunnerFate fate)
{
    bool hasProved = false;
    for (OwnEnd& end : m_own)
    {
        if (end.instance != instance || end.proof != Proof::kLooking)
            continue;
        end.proof = fate == RunnerFate::kGone ? Proof::kProved : Proof::kOpen;
        hasProved = hasProved || fate == RunnerFate::kGone;
    }
    if (fate == RunnerFate::kAlive)
    {
        std::erase_if (m_own, [&] (const OwnEnd& end)
                       { return end.instance == instance && end.proof != Proof::kProved; });
    }
    indexOutlines();
    return hasProved;
}

void SuspectRequests::onReplaced (const std::string& instance)
{
    for (OwnEnd& end : m_own)
    {
        if (end.instance == instance)
            end.proof = Proof::kProved;
    }
}

void SuspectRequests::onWholeAnswer (const cell::RequestIdentity& request)
{
    std::erase_if (m_own, [&] (const OwnEnd& end) { return end.request.digest == request.digest; });
    m_goneTrials.erase (request.digest);
    const auto row = m_rows.find (request.digest);
    if (row != m_rows.end())
    {
        m_acquittals.try_emplace (request.digest);
        // Nobody else was told of it, and nobody is told that it is forgotten.
        if (row->second.told.ends < cell::kEndsBeforeSharing)
            m_rows.erase (row);
    }
    indexOutlines();
}

void SuspectRequests::apply (const cell::SuspectUpdate& update, base::TimePoint now)
{
    // Another controller may be behind the one that this router was connected to before. Rows are
    // absolute, so that changes since an earlier version than the one held fit too.
    if (update.toVersion < m_version)
        return;
    if (update.fromVersion == 0)
        keepOnly (update.upserts);
    for (const cell::SuspectRow& row : update.upserts)
        put (row, now);
    for (const std::string& digest : update.removals)
        remove (digest);
    m_version = update.toVersion;
    dropSettled();
    indexOutlines();
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
    if (held.told == row)
        return;
    held = { row, now };
}

void SuspectRequests::remove (const std::string& digest)
{
    m_rows.erase (digest);
    m_acquittals.erase (digest);
    m_goneTrials.erase (digest);
    // They were told, and the cell has forgotten the request since.
    std::erase_if (m_own,
                   [&] (const OwnEnd& end)
                   {
                       const bool wasTold = end.isForeign || end.toldAt != base::TimePoint{};
                       return end.request.digest == digest && wasTold;
                   });
}

void SuspectRequests::dropSettled()
{
    std::erase_if (m_own,
                   [this] (const OwnEnd& end)
                   {
                       const auto row = m_rows.find (end.request.digest);
                       if (row == m_rows.end())
                           return false;
                       const cell::SuspectRow& told = row->second.told;
                       return told.ends >= cell::kEndsBeforeQuarantine
                              || std::ranges::find (told.instances, end.instance)
                                     != told.instances.end();
                   });
}

std::optional<cell::SuspectReport> SuspectRequests::takeReport (base::TimePoint now)
{
    cell::SuspectReport report;
    for (OwnEnd& end : m_own)
    {
        if (end.isForeign || end.proof != Proof::kProved || ! isDue (end.toldAt, now))
            continue;
        end.toldAt = now;
        report.ends.push_back ({ end.request, end.instance, base::toMilliseconds (now - end.sentAt),
                                 base::toMilliseconds (now - end.endedAt) });
    }
    for (auto& [digest, acquittal] : m_acquittals)
    {
        if (acquittal.since == base::TimePoint{})
            acquittal.since = now;
        if (! isDue (acquittal.toldAt, now))
            continue;
        acquittal.toldAt = now;
        report.acquitted.push_back (digest);
    }
    if (report.ends.empty() && report.acquitted.empty())
        return std::nullopt;
    return report;
}

void SuspectRequests::onLinkLost()
{
    for (OwnEnd& end : m_own)
        end.toldAt = {};
    for (auto& [digest, acquittal] : m_acquittals)
        acquittal.toldAt = {};
}

void SuspectRequests::expire (base::TimePoint now)
{
    const std::size_t before = m_own.size();
    std::erase_if (m_own,
                   [&] (const OwnEnd& end)
                   {
                       const base::Duration limit =
                           end.proof == Proof::kProved ? kTellingLifetime : kProofLifetime;
                       return now - end.endedAt >= limit;
                   });
    std::erase_if (m_acquittals,
                   [&] (const auto& item)
                   {
                       const Acquittal& acquittal = item.second;
                       return acquittal.since != base::TimePoint{}
                              && now - acquittal.since >= kAcquittalLifetime;
                   });
    std::erase_if (m_goneTrials,
                   [&] (const auto& item) { return now - item.second.since >= kProofLifetime; });
    const std::size_t rowsBefore = m_rows.size();
    std::erase_if (m_rows,
                   [&] (const auto& item)
                   {
                       const bool isShared = item.second.told.ends >= cell::kEndsBeforeSharing;
                       return ! isShared && now - item.second.receivedAt >= kUnsharedLifetime;
                   });
    if (m_own.size() != before || m_rows.size() != rowsBefore)
        indexOutlines();
}

void SuspectRequests::indexOutlines()
{
    m_outlines.clear();
    for (const auto& [digest, row] : m_rows)
        m_outlines.insert (row.told.request.outline);
    for (const OwnEnd& end : m_own)
        m_outlines.insert (end.request.outline);
}

}  // namespace fernlift::quarantine
