#pragma once

/// Figures of the placement on registered engines.

#include <cstddef>
#include <cstdint>

#include "base/Time.h"

namespace fernlift::placement
{

/// A report or heartbeat shows an engine as it was up to this long ago.
constexpr base::Duration kMaxReportLag = base::milliseconds (350);
/// What an order has changed is believed for this long against reports that do not show it.
constexpr base::Duration kOrderEffectLifetime = base::seconds (4);
/// Reports that are asked for at a time. A leader of 3,000 engines that asked all of them when it
/// was elected had no time left for its heartbeats, lost its leadership, and the next one did the
/// same: 47 leaders in 26 s. With 140 engines all are known after some 0.1 s.
constexpr std::size_t kMostPolls = 32;
constexpr base::Duration kPollInterval = base::milliseconds (500);
/// Engines that no order is meant for are asked for their reports all the same, so many at once and
/// so many a second: in a small cell all are known soon, in a large one a connection to each would
/// be spent on reports that nobody needs. An engine that is needed is asked at that time.
constexpr double kMostPollsWithoutNeed = 256;
constexpr double kPollsWithoutNeedPerSecond = 10;
/// An engine that is asked for a report answers within this time, unless it has ended or is cut
/// off; then another one is asked.
constexpr base::Duration kReportTimeout = base::milliseconds (60);
/// Holders of a model that are looked at for a place for one adapter. Those with the most free
/// places come first, so that more are looked at only where orders are under way at the first ones
/// or all places are taken.
constexpr std::size_t kMostHoldersForAdapter = 64;
/// An order without an answer is in doubt after this.
constexpr base::Duration kOrderTimeout = base::milliseconds (500);
/// An order for a model that is not seen to be done by then is asked after.
constexpr base::Duration kModelOrderTimeout = base::seconds (6);
/// Time for an adapter to come.
constexpr base::Duration kAdapterLoadTime = base::milliseconds (30);
/// Time for all routers to hear that a model is going to be unloaded.
constexpr base::Duration kWithdrawalDelay = base::milliseconds (60);
/// Share of an engine's slots that requests may fill before models in use there are held once more:
/// with each further stream all of them become slower.
constexpr double kMaxSlotShare = 0.5;
/// Prompt tokens that the engines known read in a second (38 to 41 in a millisecond).
constexpr double kPrefillTokensPerSecond = 38'000;
/// Share of its time that an engine may spend on reading prompts of one model before the model is
/// held once more. While an engine reads, all that it answers waits: a step that reads a piece of a
/// prompt takes ten times as long as one that does not. Parts of prompts that an engine has kept
/// are not read again, but are counted here.
constexpr double kMaxPrefillShare = 0.5;
/// Requests a second that ask for a spare replica: without it all of them would wait after a crash,
/// for a load from the store where no other engine has a copy.
constexpr double kSpareRequestsPerSecond = 4;
/// Share of the engines that may load from the store at a time: an engine takes no other order
/// meanwhile, and most needs are met by loads from copies, which take a fraction of the time.
constexpr double kStoreLoadShare = 0.4;
/// The rate of requests is that of about the last so long.
constexpr base::Duration kRateWindow = base::seconds (4);
/// Spare replicas of one model are added no faster than this.
constexpr base::Duration kSpareReplicaInterval = base::seconds (1);

}  // namespace fernlift::placement
