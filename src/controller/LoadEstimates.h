#pragma once

/// Estimates when targets that are being loaded will be ready, and finds targets that no runner can
/// hold. Routers use both to refuse requests early and to state when to retry.

#include <map>
#include <string>

#include "base/Time.h"
#include "cell/ReplicaTable.h"
#include "cell/RouterMessages.h"
#include "config/Catalogue.h"

namespace fernlift::controller
{

/// The leader's estimate for one target without a ready replica.
struct ReadyEstimate
{
    bool canBeServed = true;
    base::TimePoint readyAt{};  ///< Time on the leader's monotonic clock.

    bool operator== (const ReadyEstimate&) const = default;
};

/// Estimates by target name.
using ReadyEstimates = std::map<std::string, ReadyEstimate>;

/// Returns estimates for every target that has a loading replica and no ready one, and for every
/// model (with its adapters) that no known runner could hold even if it were empty. The former
/// follow from the median load time per megabyte of the latest loads of the same kind; there are
/// none before the first such load is complete. `cellTime` and `now` are the same moment on the
/// clock of the replicated state and on the monotonic clock. No target is reported as unservable
/// while no runner is known.
[[nodiscard]] ReadyEstimates estimateTargets (const cell::ReplicaTable& table,
                                              const config::Catalogue& catalogue,
                                              base::UnixMilliseconds cellTime, base::TimePoint now);

/// Returns `fresh`, with each estimate that differs only insignificantly from the one in `sent`
/// replaced by the latter, so that the passing of time alone causes no further update.
[[nodiscard]] ReadyEstimates keepSentEstimates (const ReadyEstimates& sent, ReadyEstimates fresh,
                                                base::TimePoint now);

/// Converts an estimate to its message; a time in the past becomes zero.
[[nodiscard]] cell::TargetEstimate toMessage (const std::string& target,
                                              const ReadyEstimate& estimate, base::TimePoint now);

}  // namespace fernlift::controller
