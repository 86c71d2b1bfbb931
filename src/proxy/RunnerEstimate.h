#pragma once

/**
 * Estimates how long a runner takes until the answer to a request begins, from its load, its speed
 * and the slowdown of its machine. Pure. InstanceDirectory adds further penalties and chooses the
 * runner.
 */

#include <cstdint>

namespace fernlift::proxy
{

/** Load and speed of one runner, over the requests of all routers whose load is known. */
struct RunnerState
{
    double requests = 0;              ///< Requests running or waiting at the runner.
    double pendingPrefillTokens = 0;  ///< Prompt tokens of these requests still to be processed.
    std::uint32_t slots = 1;          ///< Requests that the runner executes at once.
    double speed = 1;  ///< Work per unit of time relative to the mean of the service, which is 1.
    double slowdown = 1;  ///< Current slowdown of the machine; 2: work takes twice as long.
    bool isInOtherZone = false;
    bool needsConnection = false;  ///< Whether no connection to the runner is open.
};

/** Work that a request causes at a runner. */
struct RequestWork
{
    bool isForModel = false;        ///< Whether the request is for a model, not for an application.
    std::uint64_t prefillTokens{};  ///< Prompt tokens, without the prefix that the runner has
                                    ///< probably cached.
};

/** Milliseconds from now until the answer begins. */
[[nodiscard]] double expectedMilliseconds (const RunnerState& runner, const RequestWork& work);

/** Milliseconds that the prefill of so many prompt tokens takes. */
[[nodiscard]] double prefillMilliseconds (const RunnerState& runner, double tokens);

/** Milliseconds by which the request delays a similar request that arrives at the runner next. */
[[nodiscard]] double addedMilliseconds (const RunnerState& runner, const RequestWork& work);

/** Milliseconds by which the prefill of the request delays the running streams of the runner,
    summed over the streams, beyond the acceptable gap of `gap` milliseconds between events. Engines
    run prefill between the events of streams.
*/
[[nodiscard]] double streamDelayMilliseconds (const RunnerState& runner, const RequestWork& work,
                                              double gap);

/** Slowdown of a machine that was last stated `age` milliseconds ago; approaches 1 with age. */
[[nodiscard]] double decayedSlowdown (double slowdown, double age);

}  // namespace fernlift::proxy
