#include "routing/RunnerAvailability.h"

#include <algorithm>

#include "log/Log.h"

namespace fernlift::routing
{
namespace
{

/// A runner that has not ended after this time states it again or was wrong; no stream lasts as
/// long.
constexpr base::Duration kLeavingLifetime = std::chrono::minutes (10);
constexpr base::Duration kUnreadableLogInterval = base::seconds (10);
/// Attempts that may begin after a backoff, and further ones after each success.
constexpr std::uint32_t kSlowStartAttempts = 2;
/// Time from the first success to the end of the slow start.
constexpr base::Duration kSlowStartTime = base::seconds (1);
/// The slow start ends after this time even without a success.
constexpr base::Duration kMaxSlowStartTime = base::seconds (10);
/// An attempt may end without evidence about the runner; another one may begin after this time.
constexpr base::Duration kSlowStartInterval = base::milliseconds (500);

/// Calls `visit` for each state that may belong to the incarnation. Without a reported start it may
/// be any incarnation of the same id.
template <typename States, typename Visit>
void visitStates (States& states, const cell::Incarnation& runner, Visit visit)
{
    for (auto item = states.lower_bound ({ runner.id, 0 });
         item != states.end() && item->first.first == runner.id; ++item)
    {
        const base::UnixMilliseconds startedAt = item->first.second;
        if (startedAt == runner.startedAt || startedAt == 0 || runner.startedAt == 0)
            visit (item->second);
    }
}

}  // namespace

base::TimePoint RunnerAvailability::slowStartEnd (const State& state)
{
    return state.recoveredAt == base::TimePoint{} ? state.backoffUntil + kMaxSlowStartTime
                                                  : state.recoveredAt + kSlowStartTime;
}

bool RunnerAvailability::isInSlowStart (const State& state, base::TimePoint now)
{
    return state.backoffUntil != base::TimePoint{} && now >= state.backoffUntil
           && now < slowStartEnd (state);
}

base::Duration RunnerAvailability::waitFor (const State& state, base::TimePoint now)
{
    if (now < state.backoffUntil)
        return state.backoffUntil - now;
    if (! isInSlowStart (state, now) || state.attemptsLeft > 0)
        return base::Duration::zero();
    return std::max (state.lastAttemptAt + kSlowStartInterval - now, base::Duration::zero());
}

RunnerAvailability::State& RunnerAvailability::stateOf (const cell::Incarnation& runner)
{
    return m_states[{ runner.id, runner.startedAt }];
}

void RunnerAvailability::expire (base::TimePoint now)
{
    std::erase_if (
        m_states,
        [now] (const auto& item)
        {
            const State& state = item.second;
            const bool isBackoffOver = now >= state.backoffUntil && ! isInSlowStart (state, now);
            return isBackoffOver && now >= state.leavingUntil && now >= state.unreadableUntil;
        });
}

bool RunnerAvailability::onBackoff (const cell::Incarnation& runner, base::Duration delay,
                                    base::TimePoint now)
{
    if (delay == base::Duration::zero())
        return false;
    ++m_counters.backoffAnswers;
    State& state = stateOf (runner);
    const bool isNew = now >= state.backoffUntil;
    state.backoffUntil = std::max (state.backoffUntil, now + delay);
    if (! isNew)
        return false;
    state.attemptsLeft = kSlowStartAttempts;
    state.lastAttemptAt = {};
    state.recoveredAt = {};
    log::write (
        log::Event::kRunnerBackoffStated,
        { { "runner", runner.name() }, { "retry_after_ms", base::toMilliseconds (delay) } });
    return true;
}

void RunnerAvailability::onUnreadableBackoff (const cell::Incarnation& runner,
                                              const std::string& text, base::TimePoint now)
{
    State& state = stateOf (runner);
    if (now < state.unreadableUntil)
        return;
    state.unreadableUntil = now + kUnreadableLogInterval;
    log::write (log::Event::kRunnerRetryAfterUnreadable,
                { { "runner", runner.name() }, { "text", text } });
}

bool RunnerAvailability::onLeaving (const cell::Incarnation& runner, base::TimePoint now)
{
    State& state = stateOf (runner);
    const bool isNew = now >= state.leavingUntil;
    if (isNew)
        log::write (log::Event::kRunnerLeavingStated, { { "runner", runner.name() } });
    state.leavingUntil = now + kLeavingLifetime;
    return isNew;
}

void RunnerAvailability::onAttemptBegin (const cell::Incarnation& runner, base::TimePoint now)
{
    if (isEmpty())
        return;
    if (isBackingOff (runner, now))
        ++m_counters.attemptsDuringBackoff;
    const auto countAttempt = [&] (State& state)
    {
        if (! isInSlowStart (state, now))
            return;
        if (state.lastAttemptAt == base::TimePoint{})
            log::write (log::Event::kRunnerBackoffEnded, { { "runner", runner.name() } });
        state.lastAttemptAt = now;
        state.attemptsLeft -= std::min (state.attemptsLeft, 1U);
    };
    visitStates (m_states, runner, countAttempt);
}

void RunnerAvailability::onSuccess (const cell::Incarnation& runner, base::TimePoint sentAt,
                                    base::TimePoint now)
{
    const auto countSuccess = [&] (State& state)
    {
        const bool isSentAfterBackoff = sentAt >= state.backoffUntil;
        if (! isInSlowStart (state, now) || ! isSentAfterBackoff)
            return;
        state.attemptsLeft += kSlowStartAttempts;
        if (state.recoveredAt == base::TimePoint{})
            state.recoveredAt = now;
    };
    visitStates (m_states, runner, countSuccess);
}

bool RunnerAvailability::isLeaving (const cell::Incarnation& runner, base::TimePoint now) const
{
    bool isStated = false;
    visitStates (m_states, runner,
                 [&] (const State& state) { isStated = isStated || now < state.leavingUntil; });
    return isStated;
}

bool RunnerAvailability::isBackingOff (const cell::Incarnation& runner, base::TimePoint now) const
{
    bool isStated = false;
    visitStates (m_states, runner,
                 [&] (const State& state) { isStated = isStated || now < state.backoffUntil; });
    return isStated;
}

base::Duration RunnerAvailability::waitFor (const cell::Incarnation& runner,
                                            base::TimePoint now) const
{
    base::Duration longest{};
    visitStates (m_states, runner,
                 [&] (const State& state) { longest = std::max (longest, waitFor (state, now)); });
    return longest;
}

std::size_t RunnerAvailability::backingOff (base::TimePoint now) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_states, [now] (const auto& item) { return now < item.second.backoffUntil; }));
}

std::size_t RunnerAvailability::leaving (base::TimePoint now) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_states, [now] (const auto& item) { return now < item.second.leavingUntil; }));
}

}  // namespace fernlift::routing
