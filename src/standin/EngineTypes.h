#pragma once

/// Options, requests, faults and effects of the engine model.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "engine/EngineApi.h"
#include "standin/CheckpointCache.h"

namespace fernlift::standin
{

/// Identifies an accepted request within one engine; never reused.
using RequestHandle = std::uint64_t;
/// Identifies a request from the engine to the weight store; never reused.
using FetchId = std::uint64_t;

/// Capacities and speeds of a simulated machine and its engine.
struct EngineOptions
{
    base::RunnerId runner;
    base::Incarnation incarnation = 1;
    Megabytes totalMemory = 80000;
    std::uint32_t slots = 32;            ///< Maximum number of running requests.
    std::uint32_t maximumWaiting = 256;  ///< Maximum number of waiting requests; more are refused.

    Megabytes diskCapacity = 400000;            ///< Capacity for checkpoints on disk.
    Megabytes memoryCapacity = 100000;          ///< Capacity for checkpoints in main memory.
    std::vector<Checkpoint> checkpointsOnDisk;  ///< Checkpoints on disk at the start.
    double diskMegabytesPerSecond = 3000;
    double memoryMegabytesPerSecond = 20000;
    base::Duration loadOverhead = base::milliseconds (300);
    base::Duration unloadTime = base::milliseconds (200);

    /// Time of a step, which generates one token for every running request.
    base::Duration stepTime = base::milliseconds (15);
    /// Time that each running request adds to a step.
    base::Duration stepTimePerRequest = base::microseconds (500);
    std::uint32_t prefillBlocksPerStep = 8;  ///< Per request in prefill.
    std::size_t cacheBlocks = 4096;          ///< KV blocks of all requests and the prefix cache.
    base::Duration cacheEventDelay = base::milliseconds (500);

    /// Reports show the state between one and two lags ago.
    base::Duration reportLag = base::milliseconds (100);
};

/// An inference request.
struct EngineRequest
{
    std::string id;  ///< Value of X-Request-Id.
    std::string idempotencyKey;
    base::ReplicaId replica = 0;  ///< 0: any ready replica of `target`.
    std::string target;           ///< Model or adapter.
    int priority = 5;             ///< 0 (urgent) to 9.
    std::string prompt;
    std::uint64_t maxTokens = 16;
    std::uint64_t resumeFrom = 0;  ///< Offset of the first token to generate.
    bool isStreaming = false;
};

/// Whether a request was accepted. No part of a refused request was or will be run.
struct SubmitOutcome
{
    bool accepted = false;
    RequestHandle handle = 0;
    base::Error refusal;  ///< Reason if the request was not accepted.
};

/// Injected faults, in force until changed.
struct EngineFaults
{
    bool isSilent = false;        ///< Requests are accepted but get no tokens.
    bool refusesAll = false;      ///< All requests are refused.
    bool freezesReports = false;  ///< The published report no longer changes.
    bool diesDuringLoad = false;  ///< The process exits during the next load.
    std::uint32_t loadsToFail = 0;
    double loadSlowdown = 1.0;                      ///< Factor on the duration of loads.
    std::optional<std::uint64_t> breakAfterTokens;  ///< Breaks each answer after this many tokens.
    bool repeatsChunks = false;                     ///< Sends each chunk of a stream twice.
    bool reordersChunks = false;                    ///< Sends each chunk after its successor.
};

/// Requests an artifact from the weight store; onFetched or onFetchRefused must be called with the
/// result.
struct FetchWeights
{
    FetchId fetch = 0;
    std::string artifact;
    Megabytes size = 0;
};
/// Cancels the request for an artifact that is no longer needed.
struct CancelFetch
{
    FetchId fetch = 0;
};
/// Part of an answer.
struct TokenChunk
{
    RequestHandle handle = 0;
    std::uint64_t offset = 0;  ///< Offset of the first token.
    std::uint64_t count = 0;
    std::string text;
};
/// The answer is complete.
struct AnswerEnded
{
    RequestHandle handle = 0;
};
/// A waiting request is refused; no part of it was run.
struct AnswerRefused
{
    RequestHandle handle = 0;
    base::Error refusal;
};
/// A fault breaks the answer; its connection must be closed.
struct AnswerBroken
{
    RequestHandle handle = 0;
};
/// A fault makes the process exit.
struct ExitProcess
{
};

using EngineEffect = std::variant<FetchWeights, CancelFetch, TokenChunk, AnswerEnded, AnswerRefused,
                                  AnswerBroken, ExitProcess>;

}  // namespace fernlift::standin
