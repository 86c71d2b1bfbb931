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
/// Time for which routers go on to send requests to a runner that has failed. Those that it lost
/// meanwhile were lost by one crash.
constexpr base::Duration kUnnoticedSilence = base::milliseconds (700);
/// Above the time limit of any usual request, whose attempt may end so much later than its runner
/// was replaced.
constexpr base::Duration kReplacedRunnerLifetime = base::seconds (60);
/// A crash that no controller accepted within this time is dropped: by then it is of no use to the
/// other routers.
constexpr base::Duration kReportLifetime = base::seconds (60);
/// The same for a part of a prompt. Requests that share it have been answered meanwhile, which
/// routers without a suspicion do not record.
constexpr base::Duration kPartReportLifetime = base::seconds (3);
/// A part of a prompt with a whole answer within this time is harmless. A part that has become
/// harmful is quarantined so much later at most.
constexpr base::Duration kAnswerMemory = base::seconds (2);
constexpr base::Duration kClearanceLifetime = base::seconds (1);
/// A part in quarantine gets no other whole answer, so that the word of one has to outlast an
/// election.
constexpr base::Duration kPartClearanceLifetime = base::seconds (10);

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
        const bool isPending = ! crash.isFromOtherRouter && crash.proof != Proof::kUnconfirmed
                               && crash.proof != Proof::kMissingAnswer;
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
    rebuildIndex();
}

void SuspectRequests::onAnswerInterrupted (const cell::RequestIdentity& request,
                                           const std::string& instance, base::TimePoint sentAt,
                                           base::TimePoint now)
{
    if (request.isPromptPart() && mergeCrash (request, instance, sentAt))
        return;
    evictOldest();
    m_ownCrashes.push_back ({ request, instance, sentAt, now, now, Proof::kProbing, {}, false });
    m_fingerprints.insert (request.fingerprint);
}

void SuspectRequests::onAnswerMissing (const cell::RequestIdentity& request,
                                       const MissingAnswer& missing, base::TimePoint now)
{
    const bool isRecorded = std::ranges::any_of (
        m_ownCrashes, [&] (const OwnCrash& crash)
        { return crash.instance == missing.instance && crash.request.digest == request.digest; });
    if (isRecorded)
        return;
    evictOldestMissingAnswer();
    evictOldest();
    OwnCrash crash;
    crash.request = request;
    crash.instance = missing.instance;
    crash.sentAt = missing.sentAt;
    crash.crashedAt = std::min (now, missing.heardAt + kUnnoticedSilence);
    crash.recordedAt = now;
    const bool isReplaced = m_replacedRunners.contains (missing.instance);
    crash.proof = isReplaced ? Proof::kConfirmed : Proof::kMissingAnswer;
    m_ownCrashes.push_back (std::move (crash));
    m_fingerprints.insert (request.fingerprint);
    m_missingAnswers += isReplaced ? 0 : 1;
}

void SuspectRequests::evictOldestMissingAnswer()
{
    if (m_missingAnswers < kMaxMissingAnswers)
        return;
    m_ownCrashes.erase (std::ranges::find (m_ownCrashes, Proof::kMissingAnswer, &OwnCrash::proof));
    ++m_evicted;
    rebuildIndex();
}

void SuspectRequests::onBytes (const std::string& instance)
{
    const std::size_t erased = std::erase_if (
        m_ownCrashes, [&] (const OwnCrash& crash)
        { return crash.instance == instance && crash.proof == Proof::kMissingAnswer; });
    if (erased > 0)
        rebuildIndex();
}

bool SuspectRequests::mergeCrash (const cell::RequestIdentity& request, const std::string& instance,
                                  base::TimePoint sentAt)
{
    const auto known = std::ranges::find_if (m_ownCrashes,
                                             [&] (const OwnCrash& crash)
                                             {
                                                 return crash.instance == instance
                                                        && ! crash.isFromOtherRouter
                                                        && crash.request.digest == request.digest;
                                             });
    if (known == m_ownCrashes.end())
        return false;
    if (sentAt < known->sentAt)
    {
        known->sentAt = sentAt;
        known->reportedAt = {};
    }
    return true;
}

base::TimePoint SuspectRequests::changedAt (const std::string& digest) const
{
    base::TimePoint time{};
    const auto row = m_rows.find (digest);
    if (row != m_rows.end())
        time = row->second.receivedAt;
    for (const OwnCrash& crash : m_ownCrashes)
    {
        if (crash.request.digest == digest)
            time = std::max (time, crash.crashedAt);
    }
    return time;
}

std::set<std::string> SuspectRequests::crashesOfOthers (
    std::span<const cell::RequestIdentity> parts) const
{
    std::set<std::string> instances;
    for (const auto& [digest, row] : m_rows)
    {
        const bool isOther =
            std::ranges::find (parts, digest, &cell::RequestIdentity::digest) == parts.end();
        if (! isOther || row.reported.crashes < cell::kCrashesBeforeQuarantine)
            continue;
        instances.insert (row.reported.instances.begin(), row.reported.instances.end());
    }
    return instances;
}

PromptPartStatus SuspectRequests::statusOfParts (std::span<const cell::RequestIdentity> parts) const
{
    PromptPartStatus status;
    std::optional<std::set<std::string>> crashesOfOthers;
    for (const cell::RequestIdentity& part : parts)
    {
        if (! mayContain (part.fingerprint))
            continue;
        const SuspectStatus suspect = suspectStatusOf (part);
        if (! suspect.isInQuarantine())
            continue;
        if (! crashesOfOthers)
            crashesOfOthers = this->crashesOfOthers (parts);
        const bool isExplained =
            std::ranges::all_of (suspect.instances, [&] (const std::string& instance)
                                 { return crashesOfOthers->contains (instance); });
        if (! isExplained)
            return { part.digest, suspect.crashes, changedAt (part.digest) };
    }
    return status;
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
        std::erase_if (m_ownCrashes,
                       [&] (const OwnCrash& crash)
                       {
                           return crash.instance == instance && crash.proof != Proof::kConfirmed
                                  && crash.proof != Proof::kMissingAnswer;
                       });
    }
    rebuildIndex();
    return hasConfirmed;
}

void SuspectRequests::onReplaced (const std::string& instance, base::TimePoint now)
{
    for (OwnCrash& crash : m_ownCrashes)
    {
        if (crash.instance != instance)
            continue;
        if (crash.proof == Proof::kMissingAnswer)
            --m_missingAnswers;
        crash.proof = Proof::kConfirmed;
    }
    if (m_replacedRunners.size() < kMaxReplacedRunners)
        m_replacedRunners.insert_or_assign (instance, now);
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
        // If the row was not shared, the cell sends no update when it drops the row.
        const bool isShared = row->second.reported.crashes >= cell::kCrashesBeforeSharing;
        if (! isShared || request.isPromptPart())
            m_rows.erase (row);
    }
    rebuildIndex();
}

void SuspectRequests::onPartAnswered (std::uint64_t fingerprint, base::TimePoint now)
{
    if (m_answeredParts.size() >= kMaxAnsweredParts)
        std::erase_if (m_answeredParts,
                       [&] (const auto& item) { return now - item.second >= kAnswerMemory; });
    if (m_answeredParts.size() < kMaxAnsweredParts)
        m_answeredParts.insert_or_assign (fingerprint, now);
}

bool SuspectRequests::wasAnsweredLately (const cell::RequestIdentity& part,
                                         base::TimePoint now) const
{
    const auto answered = m_answeredParts.find (part.fingerprint);
    return part.isPromptPart() && answered != m_answeredParts.end()
           && now - answered->second < kAnswerMemory;
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
    for (const cell::SuspectRow& row : update.upserts)
    {
        if (wasAnsweredLately (row.request, now))
            onCompleteAnswer (row.request);
    }
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

base::Duration SuspectRequests::lifetimeOf (const OwnCrash& crash)
{
    if (crash.proof != Proof::kConfirmed)
        return kProofLifetime;
    return crash.request.isPromptPart() ? kPartReportLifetime : kReportLifetime;
}

void SuspectRequests::expire (base::TimePoint now)
{
    const std::size_t before = m_ownCrashes.size();
    std::erase_if (m_ownCrashes, [&] (const OwnCrash& crash)
                   { return now - crash.recordedAt >= lifetimeOf (crash); });
    std::erase_if (m_clearances,
                   [&] (const auto& item)
                   {
                       const auto& [digest, clearance] = item;
                       const base::Duration lifetime = digest.starts_with (cell::kPromptPartPrefix)
                                                           ? kPartClearanceLifetime
                                                           : kClearanceLifetime;
                       return clearance.since != base::TimePoint{}
                              && now - clearance.since >= lifetime;
                   });
    std::erase_if (m_goneIsolationRunners,
                   [&] (const auto& item) { return now - item.second.since >= kProofLifetime; });
    std::erase_if (m_replacedRunners,
                   [&] (const auto& item) { return now - item.second >= kReplacedRunnerLifetime; });
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
    m_missingAnswers = 0;
    for (const OwnCrash& crash : m_ownCrashes)
    {
        m_fingerprints.insert (crash.request.fingerprint);
        m_missingAnswers += crash.proof == Proof::kMissingAnswer ? 1 : 0;
    }
}

}  // namespace fernlift::quarantine
