#pragma once

/**
 * Replicated table of the requests that were running when runners crashed, and of the parts of
 * their prompts that other requests share.
 *
 * A crash of a runner interrupts all requests that it runs, so that each of them is a suspect. The
 * request that caused the crash also crashes the next runner. A request with
 * kCrashesBeforeQuarantine consecutive runner crashes is in quarantine: it is not forwarded to any
 * runner.
 *
 * Only consecutive crashes count. Runners that crash at the same time, such as those of a lost
 * rack, count as one crash for a request of which copies ran on several of them.
 *
 * Many requests may share a part of a prompt. Its time at a runner begins with the first of them,
 * so that a part that a runner had been running since before the previous crash gets no further
 * one: that runner had borne it.
 */

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/QuarantineMessages.h"
#include "cell/RequestIdentity.h"

namespace fernlift::cell
{

/** Consecutive crashes that lead to quarantine. With two, a harmless request would be refused if it
   ran on a crashed runner and, when sent again, on another one that crashed for its own reasons.
*/
constexpr std::uint32_t kCrashesBeforeQuarantine = 3;

/** Consecutive crashes from which a suspect is sent to routers. All requests of a crashed runner
   have one crash, and hardly any of them a second. With 300 routers and 3,000 runners, sending all
   of these suspects to all routers overloaded the controllers and the links between regions, and
   56 % of the requests were refused.
*/
constexpr std::uint32_t kCrashesBeforeSharing = 2;

/** Crash of a runner while it ran a request. Times are times of the cell. */
struct RunnerCrash
{
    RequestIdentity request;
    std::string instance;
    base::UnixMilliseconds sentAt = 0;     ///< Time at which the request was sent to the runner.
    base::UnixMilliseconds crashedAt = 0;  ///< Time of the crash; never before sentAt.

    bool operator== (const RunnerCrash&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& instance& sentAt& crashedAt;
    }
};

/** A request that was running when runners crashed. */
struct Suspect
{
    RequestIdentity request;
    /** Crashes in the order in which they were reported, one per instance; at most kMaxCrashes. */
    std::vector<RunnerCrash> crashes;
    base::UnixMilliseconds lastCrashAt = 0;
    base::LogIndex changedAt = 0;
    std::uint32_t consecutiveCrashCount = 0;  ///< Stored result of consecutiveCrashes().

    /** Largest number of crashes of which each began (the request was sent) after the previous one.
       Independent of the order in which they were reported.
    */
    [[nodiscard]] std::uint32_t consecutiveCrashes() const;
    [[nodiscard]] bool isInQuarantine() const
    {
        return consecutiveCrashCount >= kCrashesBeforeQuarantine;
    }
    [[nodiscard]] bool isShared() const { return consecutiveCrashCount >= kCrashesBeforeSharing; }
    [[nodiscard]] SuspectRow row() const;
    [[nodiscard]] bool contains (const std::string& instance) const;
    /** Whether the crash adds to what is recorded: one of another instance or, of a part of a
        prompt, an earlier begin at this instance.
    */
    [[nodiscard]] bool isChangedBy (const RunnerCrash& crash) const;

    bool operator== (const Suspect&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& crashes& lastCrashAt& changedAt& consecutiveCrashCount;
    }
};

/** Deterministic: uses no clock and no randomness. Not thread-safe; owned by one CellState. */
class QuarantineTable
{
public:
    /** Maximum number of suspects. When the table is full, the oldest of those with the fewest
        crashes is evicted. A row takes about 300 bytes, so that the table stays below 1.3 MB at
        controllers and routers.
    */
    static constexpr std::size_t kMaxSuspects = 4096;
    static constexpr std::size_t kMaxCrashes = 8;
    /** Lifetime in milliseconds after the last crash. Requests that crash runners were repeated
       after 0.2 to 2.9 s.
    */
    static constexpr base::UnixMilliseconds kSuspectLifetime = 600'000;
    /** Lifetime in milliseconds of a suspect in quarantine. After it, the request may crash three
       more runners.
    */
    static constexpr base::UnixMilliseconds kQuarantineLifetime = 3'600'000;

    /** Records a crash; returns false if it changes nothing. `index` must not decrease between
        calls.
    */
    bool note (base::LogIndex index, const RunnerCrash& crash);
    /** Removes a request; returns false if it was unknown. */
    bool release (base::LogIndex index, const std::string& digest);
    /** Removes all requests; returns false if there was none. */
    bool releaseAll (base::LogIndex index);
    /** Removes the suspects whose lifetime has ended at `time`; returns whether there were any. */
    bool expire (base::LogIndex index, base::UnixMilliseconds time);

    [[nodiscard]] const Suspect* find (const std::string& digest) const;
    /** All suspects by digest. */
    [[nodiscard]] const std::map<std::string, Suspect>& all() const { return m_suspects; }
    /** Log index of the last change; 0: never changed. */
    [[nodiscard]] base::LogIndex version() const { return m_version; }
    /** Changes of shared suspects since `version`, or all shared suspects if the changes since then
       are not known.
    */
    [[nodiscard]] SuspectUpdate updateSince (base::LogIndex version) const;
    /** Whether the lifetime of any suspect has ended at `time`. */
    [[nodiscard]] bool hasExpired (base::UnixMilliseconds time) const;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& m_suspects& m_version;
        if constexpr (Archive::is_loading::value)
        {
            m_removedAt.clear();
            m_removalsKnownSince = m_version;
        }
    }

private:
    void makeRoom (base::LogIndex index);
    static void record (Suspect& suspect, const RunnerCrash& crash);
    /** Records for updateSince() whether a suspect that was changed is still shared. */
    void recordSharing (base::LogIndex index, const Suspect& suspect, bool wasShared);
    void remove (base::LogIndex index, const std::string& digest);
    void recordRemoval (base::LogIndex index, const std::string& digest);

    std::map<std::string, Suspect> m_suspects;
    base::LogIndex m_version = 0;
    // Not stored: after a restart of the member its routers receive the whole table.
    std::map<std::string, base::LogIndex>
        m_removedAt;  ///< Removals of shared suspects; at most kMaxSuspects.
    /** Version since which all removals are known; for a restored table, its own version. */
    base::LogIndex m_removalsKnownSince = 0;
};

}  // namespace fernlift::cell
