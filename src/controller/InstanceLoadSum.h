#pragma once

/**
 * Adds up the requests and observations of several reporters for each runner.
 *
 * At a controller that does not lead, the reporters are its routers and the sum is sent to the
 * leader. At the leader, the reporters are its own routers and the other controllers. The part of a
 * reporter is removed when its connection closes.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"
#include "cell/InstanceLoadMessages.h"
#include "controller/ThrottledWork.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class InstanceLoadSum
{
public:
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t pendingPrefillTokens = 0;

        bool operator== (const Use&) const = default;
    };

    /** Replaces the reporter's requests at the runners that the report names. */
    void onReport (std::uint64_t reporter, const cell::InstanceLoadReport& report,
                   base::TimePoint now);
    void onReporterDisconnected (std::uint64_t reporter);
    /** Sets whether messages of the reporter have arrived recently. While none have, its part is
       not counted: the reporter may be frozen or disconnected, and its requests may have ended.
    */
    void setReporterActive (std::uint64_t reporter, bool isActive);
    /** Puts every runner in use into the next report, for a new receiver or one that lost its
     * state.
     */
    void resendAll();

    [[nodiscard]] Use useOf (const std::string& instance) const;
    [[nodiscard]] std::size_t reporters() const { return m_reporters.size(); }

    /** Returns the sums that changed, and the paces and slowdowns received, since the last report.
        Returns nothing when there are none or the next report is not due yet.
    */
    [[nodiscard]] std::optional<cell::InstanceLoadReport> takeDue (base::TimePoint now);

private:
    struct Pace
    {
        std::uint32_t pauses = 0;
        std::uint64_t microseconds = 0;
    };
    struct Slowdown
    {
        std::uint32_t percent = 100;
        base::TimePoint statedAt{};
    };

    struct Reporter
    {
        std::map<std::string, Use> uses;  ///< Only runners in use.
        bool isActive = true;
    };

    /** Replaces one reporter's part of the sum for a runner. */
    void replace (const std::string& instance, const Use& before, const Use& after);

    std::map<std::uint64_t, Reporter> m_reporters;
    std::map<std::string, Use> m_totals;  ///< Sums over active reporters, without idle runners.
    std::set<std::string> m_changed;      ///< Runners whose sum has to be reported.
    /// Paces to be reported, by runner and model.
    std::map<std::pair<std::string, std::string>, Pace> m_paces;
    std::map<std::string, Slowdown> m_slowdowns;  ///< Latest of each runner, to be reported.
    ThrottledWork m_reporting;
};

}  // namespace fernlift::controller
