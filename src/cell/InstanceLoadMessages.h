#pragma once

/**
 * Messages by which routers share the load and the speed of registered runners. A router reports to
 * its controller, a controller that does not lead sends the sum of its routers to the leader, and
 * the leader sends the sum over all routers back to them. See docs/design/runner-loads.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::cell
{

/** Nominal value of speeds and slowdowns, which are percentages. */
constexpr std::uint32_t kNominalPercent = 100;
/** Bounds of speeds and slowdowns. Values beyond them do not help to distinguish runners. */
constexpr std::uint32_t kMinPercent = 10;
constexpr std::uint32_t kMaxPercent = 1000;
/** Time after which a reported slowdown is outdated. Other load on the machine of a runner changes
   within about half a second.
*/
constexpr base::Duration kSlowdownLifetime = base::milliseconds (600);

/** Requests that the sender, or the routers that it represents, have at one runner. Absolute
   values, not differences.
*/
struct InstanceUse
{
    std::string instance;
    std::uint32_t inFlight = 0;  ///< Requests without a complete answer.
    std::uint64_t pendingPrefillTokens =
        0;  ///< Prompt tokens of the requests whose answer has not begun.

    bool operator== (const InstanceUse&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& inFlight& pendingPrefillTokens;
    }
};

/** Intervals between events of streams since the last report. They measure the speed of a runner:
   unlike the time to the first event, they do not include time in its queue.
*/
struct InstancePace
{
    std::string instance;
    std::string model;
    std::uint32_t pauses = 0;
    /** Sum of the intervals, each divided by the slowdown that the runner reported last. */
    std::uint64_t microseconds = 0;

    bool operator== (const InstancePace&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& model& pauses& microseconds;
    }
};

/** Current duration of work on the machine of a runner, as the runner reported it: 100 is nominal
    for its service. A runner that is permanently slower than others reports that too.
*/
struct InstanceSlowdown
{
    std::string instance;
    std::uint32_t percent = kNominalPercent;  ///< 250: work takes 2.5 times its nominal duration.
    std::int64_t ageMilliseconds = 0;         ///< Time since the runner reported it.

    bool operator== (const InstanceSlowdown&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& percent& ageMilliseconds;
    }
};

/** Changes since the sender's last report on the same connection. */
struct InstanceLoadReport
{
    std::vector<InstanceUse> uses;
    std::vector<InstancePace> paces;
    std::vector<InstanceSlowdown> slowdowns;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& uses& paces& slowdowns;
    }
};

/** Load and speed of one runner, over all routers. */
struct InstanceLoad
{
    std::string instance;
    std::uint32_t inFlight = 0;
    std::uint64_t pendingPrefillTokens = 0;
    /** Work done per unit of time, temporary slowdowns excluded: 100 is nominal for its service. */
    std::uint32_t speedPercent = kNominalPercent;
    /** Current duration of work relative to the typical duration on this runner. Relative to a
        nominal runner, work takes slowdownPercent / speedPercent times as long.
    */
    std::uint32_t slowdownPercent = kNominalPercent;
    std::int64_t slowdownAgeMilliseconds = 0;

    bool operator== (const InstanceLoad&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& inFlight& pendingPrefillTokens& speedPercent& slowdownPercent&
            slowdownAgeMilliseconds;
    }
};

/** Rows that changed. The first update on a connection contains every row that differs from that of
   an idle runner of nominal speed.
*/
struct InstanceLoadUpdate
{
    bool isWhole = false;  ///< Runners without a row are idle and of nominal speed.
    std::vector<InstanceLoad> loads;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isWhole& loads;
    }
};

}  // namespace fernlift::cell
