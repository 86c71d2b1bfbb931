#pragma once

/// State of one request inside a router, from its arrival to its final answer.

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
    kQueued,      ///< Waits for a free slot at a replica.
    kBackingOff,  ///< Waits for the backoff before its next attempt.
    kClaiming,    ///< Waits for the claim of its key and holds a slot at a replica.
    kDispatched,  ///< Has an open attempt.
};

struct RouterRequest
{
    RequestTicket ticket = 0;
    RequestHead head;
    int urgency = 0;
    bool isRepeatable = true;
    base::TimePoint arrivedAt{};
    base::TimePoint deadline{};        ///< Deadline of the first byte.
    base::TimePoint answerDeadline{};  ///< Deadline of the complete answer.
    RequestState state = RequestState::kQueued;

    // Claim of a non-repeatable request.
    std::optional<cell::Claim> claim;  ///< Set when the claim is requested.
    bool isClaimed = false;
    std::optional<cell::RoutableReplica> reserved;  ///< Replica whose slot is held while claiming.
    bool isDetached = false;  ///< Only the outcome is awaited, without a caller.
    base::TimePoint detachedUntil{};

    // Attempts.
    std::vector<dispatch::Attempt> attempts;  ///< Open attempts; two when hedged.
    std::uint32_t attemptsMade = 0;           ///< Attempts since the last progress of the answer.
    bool wasDispatched = false;
    bool mayHaveRun = false;  ///< A back end may have run an attempt.
    std::set<base::RunnerId> avoid;
    base::TimePoint nextAttemptAt{};         ///< End of the backoff.
    std::optional<base::TimePoint> hedgeAt;  ///< Time of the second attempt; reset when it is made.
    std::optional<base::TimePoint> resumeBy;  ///< Deadline for resuming a broken stream.

    // Answer.
    dispatch::StreamAssembler assembler;
    AttemptId answeringAttempt = 0;  ///< Attempt whose parts are forwarded.
    bool hasReachedCaller = false;
    int answerStatus = 0;
    std::string buffered;

    std::optional<base::TimePoint> timerAt;  ///< Time of the request's entry in the timer set.

    /// True if the answer is a token stream, which can be resumed at an offset.
    [[nodiscard]] bool isTokenStream() const
    {
        return head.isStreaming && head.protocol == Protocol::kCompletions;
    }
};

}  // namespace fernlift::router
