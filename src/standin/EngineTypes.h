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

/// Identifies one accepted request inside one engine; never reused.
using RequestHandle = std::uint64_t;
/// Identifies one request of the engine to the weight store; never reused.
using FetchId = std::uint64_t;

/// Sizes and speeds of one simulated machine and its engine.
struct EngineOptions
{
    base::RunnerId runner;
    base::Incarnation incarnation = 1;
    Megabytes totalMemory = 80000;
    std::uint32_t slots = 32;            ///< Requests that run at once.
    std::uint32_t maximumWaiting = 256;  ///< Requests that wait; more are refused.

    Megabytes diskCapacity = 400000;            ///< Room for checkpoints on disk.
    Megabytes memoryCapacity = 100000;          ///< Room for checkpoints in main memory.
    std::vector<Checkpoint> checkpointsOnDisk;  ///< There at the start.
    double diskMegabytesPerSecond = 3000;
    double memoryMegabytesPerSecond = 20000;
    base::Duration loadOverhead = base::milliseconds (300);
    base::Duration unloadTime = base::milliseconds (200);

    /// One step generates one token of every running request.
    base::Duration stepTime = base::milliseconds (15);
    /// Added to a step by each running request.
    base::Duration stepTimePerRequest = base::microseconds (500);
    std::uint32_t prefillBlocksPerStep = 8;  ///< Of each request that is still in its prompt.
    std::size_t cacheBlocks = 4096;          ///< KV blocks of all requests and the prefix cache.
    base::Duration cacheEventDelay = base::milliseconds (500);

    /// Reports show the state between one and two of these ago.
    base::Duration reportLag = base::milliseconds (100);
};

/// A request for inference.
struct EngineRequest
{
    std::string id;  ///< X-Request-Id.
    std::string idempotencyKey;
    base::ReplicaId replica = 0;  ///< 0: any ready replica of `target`.
    std::string target;           ///< Model or adapter.
    int priority = 5;             ///< 0 (urgent) to 9.
    std::string prompt;
    std::uint64_t maxTokens = 16;
    std::uint64_t resumeFrom = 0;  ///< Token offset of the first token wanted.
    bool isStreaming = false;
};

/// Whether a request was taken. When not, nothing of it was or will be performed.
struct SubmitOutcome
{
    bool accepted = false;
    RequestHandle handle = 0;
    base::Error refusal;  ///< When not accepted.
};

/// Faults that are in force until changed.
struct EngineFaults
{
    bool isSilent = false;        ///< Requests are accepted and never get a token.
    bool refusesAll = false;      ///< Requests are refused.
    bool freezesReports = false;  ///< Reports stay as they were.
    bool diesDuringLoad = false;  ///< The process ends during the next load.
    std::uint32_t loadsToFail = 0;
    double loadSlowdown = 1.0;                      ///< Factor on the time of loads.
    std::optional<std::uint64_t> breakAfterTokens;  ///< Cuts each answer there.
    bool repeatsChunks = false;                     ///< Sends each chunk of a stream twice.
    bool reordersChunks = false;                    ///< Sends each chunk after its successor.
};

/// Ask the weight store for an artifact; then call onFetched or onFetchRefused.
struct FetchWeights
{
    FetchId fetch = 0;
    std::string artifact;
    Megabytes size = 0;
};
/// The artifact isn't wanted any more.
struct CancelFetch
{
    FetchId fetch = 0;
};
/// Part of an answer.
struct TokenChunk
{
    RequestHandle handle = 0;
    std::uint64_t offset = 0;  ///< Position of the first token.
    std::uint64_t count = 0;
    std::string text;
};
/// The answer is whole.
struct AnswerEnded
{
    RequestHandle handle = 0;
};
/// A request that waited is refused: nothing of it was performed.
struct AnswerRefused
{
    RequestHandle handle = 0;
    base::Error refusal;
};
/// A fault breaks the answer: close its connection.
struct AnswerBroken
{
    RequestHandle handle = 0;
};
/// A fault ends the process.
struct ExitProcess
{
};

using EngineEffect = std::variant<FetchWeights, CancelFetch, TokenChunk, AnswerEnded, AnswerRefused,
                                  AnswerBroken, ExitProcess>;

}  // namespace fernlift::standin
