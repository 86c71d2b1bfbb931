#pragma once

/**
 * Availability that runners state in their answers to this router: that they accept no requests
 * from it for some time (a 503 with Retry-After), or that they are leaving.
 *
 * A statement applies to this router and to one incarnation of the runner. It is kept apart from
 * the table of runners, so that it outlives the row and the connection to a controller.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/Time.h"
#include "cell/ServiceInstances.h"
#include "http/RetryAfter.h"

namespace fernlift::proxy
{

/** Counts since the start of the process. */
struct AvailabilityCounters
{
    std::uint64_t backoffAnswers = 0;         ///< Answers that asked for a backoff.
    std::uint64_t attemptsDuringBackoff = 0;  ///< Attempts begun before the backoff had ended.
};

/** Pure except for log lines: time is passed in. Threading: none; owned by one router. */
class RunnerAvailability
{
public:
    /** Called for an answer by which the runner declined a request for lack of capacity. The later
        end of two backoffs applies, because answers may overtake one another.
    */
    void onRetryAfter (const cell::Incarnation& runner, const http::RetryAfter& stated,
                       base::TimePoint now);
    /** Called for an answer that states that the runner is leaving. */
    void onLeaving (const cell::Incarnation& runner, base::TimePoint now);
    void onAttemptBegin (const cell::Incarnation& runner, base::TimePoint now);

    [[nodiscard]] bool isLeaving (const cell::Incarnation& runner, base::TimePoint now) const;
    /** Time until the runner accepts another request; zero: now. */
    [[nodiscard]] base::Duration waitFor (const cell::Incarnation& runner,
                                          base::TimePoint now) const;

    /** Number of runners that accept no request before some time. */
    [[nodiscard]] std::size_t backingOff (base::TimePoint now) const;
    /** Number of runners that stated that they are leaving. */
    [[nodiscard]] std::size_t leaving (base::TimePoint now) const;
    [[nodiscard]] const AvailabilityCounters& counters() const { return m_counters; }

private:
    struct State
    {
        base::TimePoint backoffUntil{};
        base::TimePoint leavingUntil{};
        base::TimePoint unreadableUntil{};  ///< Until then no further invalid field is logged.
    };
    using Key = std::pair<std::string, base::UnixMilliseconds>;  ///< Id and start.

    /** Calls `visit` for each state that may belong to the incarnation: one whose start is not
        reported may be any incarnation of the same id.
    */
    template <typename Visit>
    void visitStates (const cell::Incarnation& runner, Visit visit) const;
    [[nodiscard]] State& stateOf (const cell::Incarnation& runner);
    /** Removes states whose statements have all lapsed. */
    void expire (base::TimePoint now);

    std::map<Key, State> m_states;
    AvailabilityCounters m_counters;
};

}  // namespace fernlift::proxy
