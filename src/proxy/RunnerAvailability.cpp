#include "proxy/RunnerAvailability.h"

#include <algorithm>
#include <variant>

#include "base/Overloaded.h"
#include "log/Log.h"

namespace fernlift::proxy
{
namespace
{

/// A runner that has not ended after this time states it again or was wrong; no stream lasts as
/// long.
constexpr base::Duration kLeavingLifetime = std::chrono::minutes (10);
constexpr base::Duration kUnreadableLogInterval = base::seconds (10);

}  // namespace

template <typename Visit>
void RunnerAvailability::visitStates (const cell::Incarnation& runner, Visit visit) const
{
    for (auto item = m_states.lower_bound ({ runner.id, 0 });
         item != m_states.end() && item->first.first == runner.id; ++item)
    {
        const base::UnixMilliseconds startedAt = item->first.second;
        if (startedAt == runner.startedAt || startedAt == 0 || runner.startedAt == 0)
            visit (item->second);
    }
}

RunnerAvailability::State& RunnerAvailability::stateOf (const cell::Incarnation& runner)
{
    return m_states[{ runner.id, runner.startedAt }];
}

void RunnerAvailability::expire (base::TimePoint now)
{
    std::erase_if (m_states,
                   [now] (const auto& item)
                   {
                       const State& state = item.second;
                       return now >= state.backoffUntil && now >= state.leavingUntil
                              && now >= state.unreadableUntil;
                   });
}

void RunnerAvailability::onRetryAfter (const cell::Incarnation& runner,
                                       const http::RetryAfter& stated, base::TimePoint now)
{
    const auto onDelay = [&] (const http::RetryAfterDelay& retryAfter)
    {
        if (retryAfter.delay == base::Duration::zero())
            return;
        ++m_counters.backoffAnswers;
        State& state = stateOf (runner);
        const bool isNew = now >= state.backoffUntil;
        state.backoffUntil = std::max (state.backoffUntil, now + retryAfter.delay);
        if (isNew)
        {
            log::write (log::Event::kRunnerBackoffStated,
                        { { "runner", runner.name() },
                          { "retry_after_ms", base::toMilliseconds (retryAfter.delay) } });
        }
    };
    const auto onUnreadable = [&] (const http::UnreadableRetryAfter& retryAfter)
    {
        State& state = stateOf (runner);
        if (now < state.unreadableUntil)
            return;
        state.unreadableUntil = now + kUnreadableLogInterval;
        log::write (log::Event::kRunnerRetryAfterUnreadable,
                    { { "runner", runner.name() }, { "text", retryAfter.text } });
    };
    expire (now);
    std::visit (base::Overloaded{ [] (const http::NoRetryAfter&) {}, onDelay, onUnreadable },
                stated);
}

void RunnerAvailability::onLeaving (const cell::Incarnation& runner, base::TimePoint now)
{
    expire (now);
    State& state = stateOf (runner);
    if (now >= state.leavingUntil)
        log::write (log::Event::kRunnerLeavingStated, { { "runner", runner.name() } });
    state.leavingUntil = now + kLeavingLifetime;
}

void RunnerAvailability::onAttemptBegin (const cell::Incarnation& runner, base::TimePoint now)
{
    if (waitFor (runner, now) > base::Duration::zero())
        ++m_counters.attemptsDuringBackoff;
}

bool RunnerAvailability::isLeaving (const cell::Incarnation& runner, base::TimePoint now) const
{
    bool isStated = false;
    visitStates (runner,
                 [&] (const State& state) { isStated = isStated || now < state.leavingUntil; });
    return isStated;
}

base::Duration RunnerAvailability::waitFor (const cell::Incarnation& runner,
                                            base::TimePoint now) const
{
    base::Duration longest{};
    visitStates (runner, [&] (const State& state)
                 { longest = std::max (longest, state.backoffUntil - now); });
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

}  // namespace fernlift::proxy
