#pragma once

/**
 * Messages by which routers and controllers tell each other of requests under which runners ended.
 * See docs/design/quarantine.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "cell/RequestIdentity.h"

namespace fernlift::cell
{

/** A runner ended while a request was there, as the router saw it that had sent the request. */
struct RunnerEndReport
{
    RequestIdentity request;
    std::string instance;  ///< Incarnation::name().
    // Before the report was sent: clocks of processes are not compared.
    std::int64_t sentAgoMilliseconds = 0;   ///< When the request went to the runner.
    std::int64_t endedAgoMilliseconds = 0;  ///< When the runner's end was noticed.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& instance& sentAgoMilliseconds& endedAgoMilliseconds;
    }
};

/** From a router; sent again until a SuspectUpdate shows that it was taken. Towards routers: what
   the leader was told and the log takes long to agree on; acquittals are not in it.
*/
struct SuspectReport
{
    std::vector<RunnerEndReport> ends;
    /** Digests of requests that a runner has answered whole: they end no runner. */
    std::vector<std::string> acquitted;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& ends& acquitted;
    }
};

/** What routers know of one request. */
struct SuspectRow
{
    RequestIdentity request;
    std::uint32_t ends = 0;              ///< Runners that ended under it one after the other.
    std::vector<std::string> instances;  ///< Incarnations that ended under it, up to a bound.

    bool operator== (const SuspectRow&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& request& ends& instances;
    }
};

/** Change of the table of suspects; fromVersion 0 replaces it whole. */
struct SuspectUpdate
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;  ///< Rises over all controllers and leaders.
    std::vector<SuspectRow> upserts;
    std::vector<std::string> removals;  ///< Digests.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fromVersion& toVersion& upserts& removals;
    }
};

}  // namespace fernlift::cell
