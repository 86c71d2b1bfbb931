#pragma once

/**
 * Collects the reports on this router's requests at runners and on the speed of the runners.
 *
 * Each router sends only few requests to a single runner; only the sum over all routers shows its
 * load. A report holds what changed since the last one, so a new request is reported within one
 * interval.
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

/** Interval between the reports of one router when `routers` routers report to the same controller,
    chosen so that the controller reads a bounded number of reports per second.
*/
[[nodiscard]] base::Duration loadReportInterval (std::uint32_t routers);

/** Pure: time is passed in. Threading: none; owned by one router. */
class InstanceLoadReporter
{
public:
    /** Called when a request with a prompt of `promptTokens` tokens is sent to the runner. */
    void onAttemptBegin (const std::string& instance, std::uint64_t promptTokens);
    /** Called when the prefill ended or the attempt failed before that. */
    void onAnswerBegun (const std::string& instance, std::uint64_t promptTokens);
    void onAttemptEnd (const std::string& instance);
    /** Called when `events` events of a stream arrived `time` after the event before them. */
    void onPause (const std::string& instance, const std::string& model, base::Duration time,
                  std::uint32_t events, base::TimePoint now);
    /** Called when the runner stated the slowdown of its machine in percent; 100 is nominal. */
    void onSlowdown (const std::string& instance, std::uint32_t percent, base::TimePoint now);
    /** Called when the controller changed or lost its state; the next report is complete. */
    void onLinkLost();
    /** Sets whether the routers of the cell share loads. When sharing stops, reported loads are
        withdrawn.
    */
    void setShared (bool isShared);

    /** Returns the report that is due, at the earliest `interval` after the last one; nothing
        without changes. The report must be sent at `now`.
    */
    [[nodiscard]] std::optional<cell::InstanceLoadReport> takeDue (base::TimePoint now,
                                                                   base::Duration interval);

private:
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t pendingPrefillTokens = 0;  ///< 0 while nothing is in flight.

        bool operator== (const Use&) const = default;
    };
    struct Slowdown
    {
        std::uint32_t percent = 100;
        base::TimePoint statedAt{};
        bool isReported = false;
    };
    struct Runner
    {
        Use use;
        Use reported;  ///< Values reported to the current controller.
        std::optional<Slowdown> slowdown;
    };
    struct Pace
    {
        std::uint32_t pauses = 0;
        double microseconds = 0;
    };

    void appendChanges (const std::string& instance, Runner& runner, base::TimePoint now,
                        cell::InstanceLoadReport& report) const;

    std::map<std::string, Runner> m_runners;
    std::set<std::string> m_changed;  ///< Runners that may have changes to report.
    std::map<std::pair<std::string, std::string>, Pace> m_paces;  ///< Keyed by runner and model.
    bool m_isShared = false;
    base::TimePoint m_reportedAt{};
};

}  // namespace fernlift::proxy
