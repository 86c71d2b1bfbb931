#pragma once

/**
 * Requests under which runners ended, as the cell has agreed on them.
 *
 * A runner that ends takes down all the requests that it runs, so that each of them is a suspect.
 * The one that ended it shows by ending the next runner too. A request under which
 * kEndsBeforeQuarantine runners ended one after the other is in quarantine: it is passed on to no
 * runner.
 *
 * Only ends that follow one another count. Runners that end at the same time, as those of a lost
 * rack do, are one end for a request of which copies ran at several of them.
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

/** With two, a request that was at a crashed runner and, when sent again, at another one that
   crashed for reasons of its own would be refused.
*/
constexpr std::uint32_t kEndsBeforeQuarantine = 3;

/** Routers are told of a request from so many ends on. All requests of a runner that ends have one,
    and hardly any of them a second: at 300 routers and 3,000 runners, telling them all of each took
   the controllers' time and the links between regions, and 56 in 100 requests were refused.
*/
constexpr std::uint32_t kEndsBeforeSharing = 2;

/** A runner that ended while a request was there, in time of the cell. */
struct RunnerEnd
{
    RequestIdentity request;
    std::string instance;
    base::UnixMilliseconds sentAt = 0;   ///< When the request went to the runner.
    base::UnixMilliseconds endedAt = 0;  ///< Never before sentAt.

    bool operator== (const RunnerEnd&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& instance& sentAt& endedAt;
    }
};

/** A request under which runners ended. */
struct Suspect
{
    RequestIdentity request;
    /** In the order in which they became known, one of each instance; at most kMostEnds. */
    std::vector<RunnerEnd> ends;
    base::UnixMilliseconds lastEndAt = 0;
    base::LogIndex changedAt = 0;
    std::uint32_t successive = 0;  ///< successiveEnds() of the ends held.

    /** Most ends of which each began after the one before: the order in which they became known
       does not matter.
    */
    [[nodiscard]] std::uint32_t successiveEnds() const;
    [[nodiscard]] bool isInQuarantine() const { return successive >= kEndsBeforeQuarantine; }
    [[nodiscard]] bool isShared() const { return successive >= kEndsBeforeSharing; }
    [[nodiscard]] SuspectRow row() const;
    [[nodiscard]] bool contains (const std::string& instance) const;

    bool operator== (const Suspect&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& ends& lastEndAt& changedAt& successive;
    }
};

/** Deterministic: no clock, no randomness. Threading: none; owned by one CellState. */
class QuarantineTable
{
public:
    /** More suspects than these are not kept: of those with the fewest ends the oldest make way. A
        row takes some 300 bytes, so that the table stays under 1.3 MB at controllers and routers.
    */
    static constexpr std::size_t kMostSuspects = 4096;
    static constexpr std::size_t kMostEnds = 8;
    /** After the last end. Repeats of a request that ends runners came after 0.2 to 2.9 s. */
    static constexpr base::UnixMilliseconds kSuspectLifetime = 600'000;
    /** The same in quarantine: once it is over the request may end three runners more. */
    static constexpr base::UnixMilliseconds kQuarantineLifetime = 3'600'000;

    /** Notes an end; false when it was known. `index` must not be below earlier ones. */
    bool note (base::LogIndex index, const RunnerEnd& end);
    /** Forgets a request; false when it was unknown. */
    bool release (base::LogIndex index, const std::string& digest);
    /** Forgets all. */
    bool releaseAll (base::LogIndex index);
    /** Forgets those whose lifetime is over at `time`. */
    bool expire (base::LogIndex index, base::UnixMilliseconds time);

    [[nodiscard]] const Suspect* find (const std::string& digest) const;
    /** By digest. */
    [[nodiscard]] const std::map<std::string, Suspect>& all() const { return m_suspects; }
    /** Log index of the last change; 0: never changed. */
    [[nodiscard]] base::LogIndex version() const { return m_version; }
    /** What changed of shared suspects since a version; all of them when that is not known. */
    [[nodiscard]] SuspectUpdate updateSince (base::LogIndex version) const;
    /** Whether a lifetime is over at `time`. */
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
    void remove (base::LogIndex index, const std::string& digest);

    std::map<std::string, Suspect> m_suspects;
    base::LogIndex m_version = 0;
    // Not stored: routers of a restarted member get the whole table.
    std::map<std::string, base::LogIndex>
        m_removedAt;  ///< Of shared ones; never more than kMostSuspects.
    /** Removals are known since this version. Of a restored table that is its own version. */
    base::LogIndex m_removalsKnownSince = 0;
};

}  // namespace fernlift::cell
