#pragma once

/**
 * What this router tells the cell of its requests at runners, and of how fast the runners work.
 *
 * Each router sends a runner a request now and then and learns little of it; all routers together
 * know all of its load. Reports hold what changed, and wait for nothing: a request that has just
 * been sent is told within one interval.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"
#include "cell/InstanceLoadMessages.h"

namespace fernlift::proxy
{

/** Time between reports of one router when `routers` report to the same controller, which then
    reads a bounded number a second.
*/
[[nodiscard]] base::Duration loadReportInterval (std::uint32_t routers);

/** Pure: time is passed in. Threading: none; owned by one router. */
class InstanceLoadReporter
{
public:
    /** A request with a prompt of so many tokens goes to the runner. */
    void onAttemptBegin (const std::string& instance, std::uint64_t promptTokens);
    /** The runner has read the prompt, or never will. */
    void onAnswerBegun (const std::string& instance, std::uint64_t promptTokens);
    void onAttemptEnd (const std::string& instance);
    /** So many events of a stream came within `time` after the one before them. */
    void onPause (const std::string& instance, const std::string& model, base::Duration time,
                  std::uint32_t events, base::TimePoint now);
    /** The runner stated how much longer work takes on its machine: 100 as usual. */
    void onSlowdown (const std::string& instance, std::uint32_t percent, base::TimePoint now);
    /** The controller is another one, or has forgotten: the next report tells all. */
    void onLinkLost();
    /** Whether routers of the cell share loads. When they stop, what was told is withdrawn. */
    void setShared (bool isShared);

    /** The report that is due, `interval` after the last one at the earliest; nothing when nothing
        changed. It must be sent at `now`.
    */
    [[nodiscard]] std::optional<cell::InstanceLoadReport> takeDue (base::TimePoint now,
                                                                   base::Duration interval);

private:
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t unreadTokens = 0;  ///< 0 while nothing is in flight.

        bool operator== (const Use&) const = default;
    };
    struct Slowdown
    {
        std::uint32_t percent = 100;
        base::TimePoint statedAt{};
        bool isTold = false;
    };
    struct Runner
    {
        Use use;
        Use told;  ///< To the present controller.
        std::optional<Slowdown> slowdown;
    };
    struct Pace
    {
        std::uint32_t pauses = 0;
        double microseconds = 0;
    };

    void tell (const std::string& instance, Runner& runner, base::TimePoint now,
               cell::InstanceLoadReport& report) const;

    std::map<std::string, Runner> m_runners;
    std::set<std::string> m_changed;  ///< Runners of which something may be to be told.
    std::map<std::pair<std::string, std::string>, Pace> m_paces;  ///< By runner and model.
    bool m_isShared = false;
    base::TimePoint m_reportedAt{};
};

}  // namespace fernlift::proxy
