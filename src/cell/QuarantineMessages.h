#pragma once

/**
 * Messages by which routers and controllers exchange the requests that were running when a runner
 * crashed. See docs/design/quarantine.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "cell/RequestIdentity.h"

namespace fernlift::cell
{

/** A runner crashed while it ran a request, as observed by the router that had sent the request. */
struct RunnerCrashReport
{
    RequestIdentity request;
    std::string instance;  ///< Incarnation::name().
    // Times are relative to the sending of the report, because clocks of processes differ.
    std::int64_t sentAgoMilliseconds = 0;     ///< Time since the request was sent to the runner.
    std::int64_t crashedAgoMilliseconds = 0;  ///< Time since the crash was detected.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& instance& sentAgoMilliseconds& crashedAgoMilliseconds;
    }
};

/** From a router: crashes and clearances, sent again until a SuspectUpdate contains them. To a
   router: crashes that were reported to the leader but are slow to commit, without clearances.
*/
struct SuspectReport
{
    std::vector<RunnerCrashReport> crashes;
    /** Digests of requests that a runner has answered completely, so that they are cleared. */
    std::vector<std::string> cleared;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& crashes& cleared;
    }
};

/** Suspect as it is sent to routers. */
struct SuspectRow
{
    RequestIdentity request;
    std::uint32_t crashes = 0;           ///< Consecutive runner crashes.
    std::vector<std::string> instances;  ///< Incarnations that crashed, up to a bound.

    bool operator== (const SuspectRow&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& crashes& instances;
    }
};

/** Change of the table of suspects; fromVersion 0 replaces the whole table. */
struct SuspectUpdate
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;  ///< Increases over all controllers and leaders.
    std::vector<SuspectRow> upserts;
    std::vector<std::string> removals;  ///< Digests of the removed suspects.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fromVersion& toVersion& upserts& removals;
    }
};

}  // namespace fernlift::cell
