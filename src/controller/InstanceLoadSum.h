#pragma once

/**
 * What several reporters have at runners and know of them, added up.
 *
 * At a controller that does not lead the reporters are its routers, and the sum goes to the leader;
 * at the leader they are its own routers and the other controllers. The part of a reporter goes
 * with its connection.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"
#include "cell/InstanceLoadMessages.h"
#include "controller/PacedWork.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class InstanceLoadSum
{
public:
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t unreadTokens = 0;

        bool operator== (const Use&) const = default;
    };

    /** Replaces what the reporter has at the runners that it names. */
    void onReport (std::uint64_t reporter, const cell::InstanceLoadReport& report,
                   base::TimePoint now);
    void onReporterGone (std::uint64_t reporter);
    /** Whether the reporter has been heard of lately. While it has not, its part does not count: it
        may be frozen or cut off, and its requests over.
    */
    void setHeard (std::uint64_t reporter, bool isHeard);
    /** The receiver is another one, or has forgotten: the next report names every runner in use. */
    void tellAll();

    [[nodiscard]] Use useOf (const std::string& instance) const;
    [[nodiscard]] std::size_t reporters() const { return m_reporters.size(); }

    /** Sums that changed, and what reporters told of paces and slowdowns, since the last report;
        nothing when that is nothing, or not due yet.
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
        std::map<std::string, Use> uses;  ///< Without idle runners.
        bool isHeard = true;
    };

    /** A part of the sum changes. */
    void replace (const std::string& instance, const Use& before, const Use& after);

    std::map<std::uint64_t, Reporter> m_reporters;
    std::map<std::string, Use> m_totals;  ///< Of those that are heard; without idle runners.
    std::set<std::string> m_changed;      ///< Runners whose sum is to be told.
    std::map<std::pair<std::string, std::string>, Pace> m_paces;  ///< By runner and model; to tell.
    std::map<std::string, Slowdown> m_slowdowns;                  ///< The freshest; to be told.
    PacedWork m_reporting;
};

}  // namespace fernlift::controller
