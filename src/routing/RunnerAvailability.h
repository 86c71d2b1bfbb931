#pragma once

/**
 * Availability that runners state in their answers to this router: that they accept no requests
 * from it for some time (a 503 with Retry-After), or that they are leaving.
 *
 * A statement applies to this router and to one incarnation of the runner. It is kept apart from
 * the table of runners, so that it outlives the row and the connection to a controller.
 *
 * After a backoff the runner gets a few requests first and then more with each success (slow
 * start), because all requests that waited for the runner are due at the same moment.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/Time.h"
#include "cell/ServiceInstances.h"

namespace fernlift::routing
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
    /** Called for an answer by which the runner declined a request and asked for none within
        `delay`. The later end of two backoffs applies, because answers may overtake one another.
        Returns whether the runner accepted requests before.
    */
    bool onBackoff (const cell::Incarnation& runner, base::Duration delay, base::TimePoint now);
    /** Called for an answer that declined a request with an invalid Retry-After field. */
    void onUnreadableBackoff (const cell::Incarnation& runner, const std::string& text,
                              base::TimePoint now);
    /** Called for an answer that states that the runner is leaving. Returns whether it did not
        state so before.
    */
    bool onLeaving (const cell::Incarnation& runner, base::TimePoint now);
    void onAttemptBegin (const cell::Incarnation& runner, base::TimePoint now);
    /** Called when the runner began to answer a request sent at `sentAt` without a failure. */
    void onSuccess (const cell::Incarnation& runner, base::TimePoint sentAt, base::TimePoint now);

    /** Forgets runners whose statements have all lapsed. Called at intervals. */
    void expire (base::TimePoint now);

    /** Whether there is no statement at all, so that every runner accepts requests. */
    [[nodiscard]] bool isEmpty() const { return m_states.empty(); }
    [[nodiscard]] bool isLeaving (const cell::Incarnation& runner, base::TimePoint now) const;
    /** Whether the time of a Retry-After field has not passed yet. */
    [[nodiscard]] bool isBackingOff (const cell::Incarnation& runner, base::TimePoint now) const;
    /** Time until the runner accepts another request, with regard to the slow start; zero: now. */
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
        std::uint32_t attemptsLeft = 0;   ///< Attempts that may begin before the next success.
        base::TimePoint lastAttemptAt{};  ///< Last attempt since the end of the backoff.
        base::TimePoint recoveredAt{};    ///< First success since the end of the backoff.
        base::TimePoint leavingUntil{};
        base::TimePoint unreadableUntil{};  ///< Until then no further invalid field is logged.
    };
    using Key = std::pair<std::string, base::UnixMilliseconds>;  ///< Id and start.

    [[nodiscard]] State& stateOf (const cell::Incarnation& runner);
    /** End of the slow start after a backoff. */
    [[nodiscard]] static base::TimePoint slowStartEnd (const State& state);
    [[nodiscard]] static bool isInSlowStart (const State& state, base::TimePoint now);
    [[nodiscard]] static base::Duration waitFor (const State& state, base::TimePoint now);

    std::map<Key, State> m_states;
    AvailabilityCounters m_counters;
};

}  // namespace fernlift::routing
