#pragma once

/// One request inside a router, from its arrival to its final answer.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/Attempt.h"
#include "dispatch/StreamAssembler.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

enum class RequestState : std::uint8_t
{
    kQueued,      ///< Waits for room at a replica.
    kBackingOff,  ///< Waits for the time of its next attempt.
    kClaiming,    ///< Waits for the claim of its key; holds room at a replica.
    kDispatched,  ///< Has an attempt under way.
};

struct RouterRequest
{
    RequestTicket ticket = 0;
    RequestHead head;
    int urgency = 0;
    bool isRepeatable = true;
    base::TimePoint arrivedAt{};
    base::TimePoint deadline{};  ///< For the first byte.
    base::TimePoint wholeBy{};   ///< For the whole answer.
    RequestState state = RequestState::kQueued;

    // At most once.
    std::optional<cell::Claim> claim;  ///< Set once the claim was asked for.
    bool isClaimed = false;
    std::optional<cell::RoutableReplica> reserved;  ///< While claiming.
    bool isDetached = false;  ///< The caller was answered or left; only the outcome is awaited.
    base::TimePoint detachedUntil{};

    // Attempts.
    std::vector<dispatch::Attempt> attempts;  ///< Under way; two when hedged.
    std::uint32_t attemptsMade = 0;           ///< Since the answer last made progress.
    bool wasDispatched = false;
    bool mayHaveRun = false;  ///< Some attempt may have been performed.
    std::set<base::RunnerId> avoid;
    base::TimePoint nextAttemptAt{};          ///< While backing off.
    std::optional<base::TimePoint> hedgeAt;   ///< Set until the second attempt is made.
    std::optional<base::TimePoint> resumeBy;  ///< A broken stream must go on by then.

    // Answer.
    dispatch::StreamAssembler assembler;
    AttemptId answeringAttempt = 0;  ///< Whose parts are being taken.
    bool hasReachedCaller = false;
    int answerStatus = 0;
    std::string buffered;

    std::optional<base::TimePoint> timerAt;  ///< Its entry among the timers.

    /// Whether the answer is a stream of tokens that can go on from an offset.
    [[nodiscard]] bool isTokenStream() const
    {
        return head.isStreaming && head.protocol == Protocol::kCompletions;
    }
};

}  // namespace fernlift::router
