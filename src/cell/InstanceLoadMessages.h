#pragma once

/**
 * Messages by which routers share what they know of the load and the speed of registered runners:
 * a router reports to its controller, a controller that does not lead adds its routers up for the
 * leader, and the sum goes back to all routers. See docs/design/runner-loads.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::cell
{

/** Speeds and slowdowns are told in percent of the usual. */
constexpr std::uint32_t kUsualPercent = 100;
/** Speeds and slowdowns beyond these are no help to tell runners apart. */
constexpr std::uint32_t kLeastPercent = 10;
constexpr std::uint32_t kMostPercent = 1000;
/** A machine's slowdown says nothing any more after this time: what shares the machine with a
   runner comes and goes within half a second or so.
*/
constexpr base::Duration kSlowdownLife = base::milliseconds (600);

/** What the sender, or the routers that it speaks for, have at one runner; absolute. */
struct InstanceUse
{
    std::string instance;
    std::uint32_t inFlight = 0;      ///< Requests that are not answered whole.
    std::uint64_t unreadTokens = 0;  ///< Of their prompts whose answer has not begun.

    bool operator== (const InstanceUse&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& inFlight& unreadTokens;
    }
};

/** Pauses between events of streams, since the last report. They tell how fast a runner works:
   unlike the time to the first event they hold no wait in its queue.
*/
struct InstancePace
{
    std::string instance;
    std::string model;
    std::uint32_t pauses = 0;
    /** Sum of the pauses, each divided by the slowdown that the runner stated last. */
    std::uint64_t microseconds = 0;

    bool operator== (const InstancePace&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& model& pauses& microseconds;
    }
};

/** How long work takes on the machine of a runner for the moment, as the runner stated: 100 is the
    usual of its service. A runner that is always slower than others states so too.
*/
struct InstanceSlowdown
{
    std::string instance;
    std::uint32_t percent = kUsualPercent;  ///< 250: two and a half times as long as usual.
    std::int64_t ageMilliseconds = 0;       ///< Since the runner stated it.

    bool operator== (const InstanceSlowdown&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& percent& ageMilliseconds;
    }
};

/** What changed since the sender's last report on the same connection. */
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

/** What all routers together know of one runner. */
struct InstanceLoad
{
    std::string instance;
    std::uint32_t inFlight = 0;
    std::uint64_t unreadTokens = 0;
    /** Work done in the same time apart from slow moments: 100 is the usual of its service. */
    std::uint32_t speedPercent = kUsualPercent;
    /** How much longer work takes for the moment than is usual on this runner. Work that is usual
        everywhere takes slowdownPercent / speedPercent times as long here.
    */
    std::uint32_t slowdownPercent = kUsualPercent;
    std::int64_t slowdownAgeMilliseconds = 0;

    bool operator== (const InstanceLoad&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& inFlight& unreadTokens& speedPercent& slowdownPercent&
            slowdownAgeMilliseconds;
    }
};

/** Rows that changed; the first on a connection holds all that differ from an idle runner. */
struct InstanceLoadUpdate
{
    bool isWhole = false;  ///< Runners that it does not name are idle and of usual speed.
    std::vector<InstanceLoad> loads;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isWhole& loads;
    }
};

}  // namespace fernlift::cell
