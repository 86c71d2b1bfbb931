#pragma once

/// Constants of the placement on registered engines.

#include <cstddef>
#include <cstdint>

#include "base/Time.h"

namespace fernlift::placement
{

/// A report or heartbeat may describe the state of an engine up to this long ago.
constexpr base::Duration kMaxReportLag = base::milliseconds (350);
/// A change made by an order is kept for this long while reports do not show it.
constexpr base::Duration kOrderEffectLifetime = base::seconds (4);
/// Limit of concurrent polls. A leader of 3,000 engines that polls all of them when it is elected
/// has no time left for its heartbeats and loses its leadership, and so do its successors: 47
/// leaders in 26 s. With this limit the sequences of 140 engines are known after about 0.1 s.
constexpr std::size_t kMaxPolls = 32;
/// Minimum time between two polls of one engine.
constexpr base::Duration kPollInterval = base::milliseconds (500);
/// Burst size and rate of polls of engines that no order is planned for. In a small cell all
/// engines are known soon; in a large one the limit saves a connection to each engine for a report
/// that is not needed. An engine that an order is planned for is polled at that time.
constexpr double kMaxPollsWithoutNeed = 256;
constexpr double kPollsWithoutNeedPerSecond = 10;
/// A polled engine answers within this time unless it has stopped or is disconnected; after it,
/// another engine is polled.
constexpr base::Duration kReportTimeout = base::milliseconds (60);
/// Limit of the holders of a model that are examined for one adapter. Holders with the most free
/// adapter slots come first, so later ones are examined only when the first ones have pending
/// orders or all slots are taken.
constexpr std::size_t kMaxHoldersForAdapter = 64;
/// An order without an answer counts as unconfirmed after this time.
constexpr base::Duration kOrderTimeout = base::milliseconds (500);
/// The engine is polled when the completion of a model order has not been observed within this
/// time.
constexpr base::Duration kModelOrderTimeout = base::seconds (6);
/// Expected duration of an adapter load.
constexpr base::Duration kAdapterLoadTime = base::milliseconds (30);
/// Time until all routers have received the withdrawal of a model that is going to be unloaded.
constexpr base::Duration kWithdrawalDelay = base::milliseconds (60);
/// Share of an engine's slots that requests may fill before its models get another replica. Each
/// further stream slows down all streams of the engine.
constexpr double kMaxSlotShare = 0.5;
/// Prefill throughput in prompt tokens; known engines reach 38 to 41 tokens per millisecond.
constexpr double kPrefillTokensPerSecond = 38'000;
/// Share of its time that an engine may spend on prefill for one model before the model gets
/// another replica. Prefill delays all streams of the engine: a step with a chunk of a prompt takes
/// ten times as long as one without. Cached prefixes are not prefilled again, but are counted here.
constexpr double kMaxPrefillShare = 0.5;
/// Request rate of a model from which on it gets a spare replica. Without one all its requests
/// would wait after a crash, and for a load from the store when no other engine has a copy.
constexpr double kSpareRequestsPerSecond = 4;
/// Share of the engines that may load from the store concurrently. An engine accepts no other order
/// during the load, and most needs are met by loads from copies, which take a fraction of the time.
constexpr double kStoreLoadShare = 0.4;
/// Averaging window of request and token rates.
constexpr base::Duration kRateWindow = base::seconds (4);
/// Minimum time between additions of spare replicas of one model.
constexpr base::Duration kSpareReplicaInterval = base::seconds (1);

}  // namespace fernlift::placement
