#pragma once

/**
 * How long a runner takes until a request's answer begins, from what is known of its load, its
 * speed and its machine. Pure. Which runner is chosen is up to the directory, which adds what else
 * speaks against one.
 */

#include <cstdint>

namespace fernlift::proxy
{

/** What is known of one runner, of the requests of all routers that are known. */
struct RunnerState
{
    double requests = 0;      ///< Running or waiting there.
    double unreadTokens = 0;  ///< Of their prompts.
    std::uint32_t slots = 1;  ///< Requests that it works on at once.
    double speed = 1;         ///< Work done in the same time; 1: as the mean of its service.
    double slowdown = 1;      ///< Of its machine for the moment; 2: work takes twice as long.
    bool isInOtherZone = false;
    bool needsConnection = false;  ///< None is open to it.
};

/** What a request asks of a runner. */
struct RequestWork
{
    bool isForModel = false;       ///< Else it is an application's.
    std::uint64_t tokensToRead{};  ///< Of its prompt, less what the runner has likely kept.
};

/** Milliseconds from now until the answer begins. */
[[nodiscard]] double expectedMilliseconds (const RunnerState& runner, const RequestWork& work);

/** Milliseconds that it takes to read so many tokens of prompts. */
[[nodiscard]] double readingMilliseconds (const RunnerState& runner, double tokens);

/** Milliseconds by which the request delays one like it that comes to the runner just after. */
[[nodiscard]] double addedMilliseconds (const RunnerState& runner, const RequestWork& work);

/** Milliseconds by which its prompt delays streams that run there, all together, beyond the pauses
    between events of `gap` milliseconds that their callers take: prompts are read between events.
*/
[[nodiscard]] double delayOfStreams (const RunnerState& runner, const RequestWork& work,
                                     double gap);

/** How much longer work takes on a machine that was last heard of `age` milliseconds ago. */
[[nodiscard]] double fadedSlowdown (double slowdown, double age);

}  // namespace fernlift::proxy
