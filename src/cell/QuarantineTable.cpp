#include "cell/QuarantineTable.h"

#include <algorithm>
#include <tuple>

namespace fernlift::cell
{
namespace
{

base::UnixMilliseconds expiryOf (const Suspect& suspect)
{
    return suspect.lastCrashAt
           + (suspect.isInQuarantine() ? QuarantineTable::kQuarantineLifetime
                                       : QuarantineTable::kSuspectLifetime);
}

/// Whether the crash at this position does not add to the consecutive crashes.
bool isRedundantCrash (const Suspect& suspect, std::size_t position)
{
    Suspect without = suspect;
    without.crashes.erase (without.crashes.begin() + static_cast<std::ptrdiff_t> (position));
    return without.consecutiveCrashes() == suspect.consecutiveCrashes();
}

/// Removes one crash that does not count. Does nothing if all count, since the request is in
/// quarantine then.
void dropRedundantCrash (Suspect& suspect)
{
    for (std::size_t position = 0; position < suspect.crashes.size(); ++position)
    {
        if (! isRedundantCrash (suspect, position))
            continue;
        suspect.crashes.erase (suspect.crashes.begin() + static_cast<std::ptrdiff_t> (position));
        return;
    }
}

}  // namespace

std::uint32_t Suspect::consecutiveCrashes() const
{
    // Interval scheduling: repeatedly choosing the interval that ends first gives the largest set
    // of intervals that do not overlap.
    std::vector<RunnerCrash> byEnd = crashes;
    std::ranges::sort (byEnd, {}, &RunnerCrash::crashedAt);
    std::uint32_t count = 0;
    base::UnixMilliseconds freeFrom = 0;
    for (const RunnerCrash& crash : byEnd)
    {
        if (count > 0 && crash.sentAt < freeFrom)
            continue;
        ++count;
        freeFrom = crash.crashedAt;
    }
    return count;
}

SuspectRow Suspect::row() const
{
    SuspectRow row{ request, consecutiveCrashCount, {} };
    for (const RunnerCrash& crash : crashes)
        row.instances.push_back (crash.instance);
    return row;
}

bool Suspect::contains (const std::string& instance) const
{
    return std::ranges::find (crashes, instance, &RunnerCrash::instance) != crashes.end();
}

bool Suspect::isChangedBy (const RunnerCrash& crash) const
{
    const auto known = std::ranges::find (crashes, crash.instance, &RunnerCrash::instance);
    if (known == crashes.end())
        return true;
    return request.isPromptPart() && crash.sentAt < known->sentAt;
}

void QuarantineTable::record (Suspect& suspect, const RunnerCrash& crash)
{
    const auto known = std::ranges::find (suspect.crashes, crash.instance, &RunnerCrash::instance);
    if (known != suspect.crashes.end())
    {
        known->sentAt = crash.sentAt;
        return;
    }
    if (suspect.crashes.size() >= kMaxCrashes)
        dropRedundantCrash (suspect);
    if (suspect.crashes.size() < kMaxCrashes)
        suspect.crashes.push_back (crash);
}

bool QuarantineTable::note (base::LogIndex index, const RunnerCrash& crash)
{
    auto found = m_suspects.find (crash.request.digest);
    if (found != m_suspects.end() && ! found->second.isChangedBy (crash))
        return false;
    if (found == m_suspects.end())
    {
        makeRoom (index);
        found =
            m_suspects.emplace (crash.request.digest, Suspect{ crash.request, {}, 0, 0, 0 }).first;
        m_removedAt.erase (crash.request.digest);
    }
    Suspect& suspect = found->second;
    const bool wasShared = suspect.isShared();
    record (suspect, crash);
    suspect.consecutiveCrashCount = suspect.consecutiveCrashes();
    suspect.lastCrashAt = std::max (suspect.lastCrashAt, crash.crashedAt);
    suspect.changedAt = index;
    m_version = index;
    recordSharing (index, suspect, wasShared);
    return true;
}

void QuarantineTable::recordSharing (base::LogIndex index, const Suspect& suspect, bool wasShared)
{
    if (suspect.isShared())
        m_removedAt.erase (suspect.request.digest);
    else if (wasShared)
        recordRemoval (index, suspect.request.digest);
}

void QuarantineTable::makeRoom (base::LogIndex index)
{
    if (m_suspects.size() < kMaxSuspects)
        return;
    const auto least = std::ranges::min_element (
        m_suspects, {},
        [] (const auto& item)
        { return std::make_tuple (item.second.consecutiveCrashCount, item.second.lastCrashAt); });
    remove (index, std::string (least->first));
}

void QuarantineTable::remove (base::LogIndex index, const std::string& digest)
{
    const bool wasShared = m_suspects.at (digest).isShared();
    m_suspects.erase (digest);
    m_version = index;
    if (wasShared)
        recordRemoval (index, digest);
}

void QuarantineTable::recordRemoval (base::LogIndex index, const std::string& digest)
{
    if (m_removedAt.size() >= kMaxSuspects)
    {
        m_removedAt.clear();
        m_removalsKnownSince = index;
    }
    m_removedAt[digest] = index;
}

bool QuarantineTable::release (base::LogIndex index, const std::string& digest)
{
    if (! m_suspects.contains (digest))
        return false;
    remove (index, digest);
    return true;
}

bool QuarantineTable::releaseAll (base::LogIndex index)
{
    if (m_suspects.empty())
        return false;
    m_suspects.clear();
    m_removedAt.clear();
    m_removalsKnownSince = index;
    m_version = index;
    return true;
}

bool QuarantineTable::expire (base::LogIndex index, base::UnixMilliseconds time)
{
    std::vector<std::string> over;
    for (const auto& [digest, suspect] : m_suspects)
    {
        if (time >= expiryOf (suspect))
            over.push_back (digest);
    }
    for (const std::string& digest : over)
        remove (index, digest);
    return ! over.empty();
}

const Suspect* QuarantineTable::find (const std::string& digest) const
{
    const auto found = m_suspects.find (digest);
    return found == m_suspects.end() ? nullptr : &found->second;
}

SuspectUpdate QuarantineTable::updateSince (base::LogIndex version) const
{
    SuspectUpdate update;
    const bool isChange = version != 0 && version >= m_removalsKnownSince;
    update.fromVersion = isChange ? version : 0;
    update.toVersion = m_version;
    for (const auto& [digest, suspect] : m_suspects)
    {
        if (suspect.isShared() && suspect.changedAt > update.fromVersion)
            update.upserts.push_back (suspect.row());
    }
    for (const auto& [digest, removedAt] : m_removedAt)
    {
        if (isChange && removedAt > version)
            update.removals.push_back (digest);
    }
    return update;
}

bool QuarantineTable::hasExpired (base::UnixMilliseconds time) const
{
    return std::ranges::any_of (m_suspects,
                                [&] (const auto& item) { return time >= expiryOf (item.second); });
}

}  // namespace fernlift::cell
