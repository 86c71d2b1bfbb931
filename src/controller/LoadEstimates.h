#pragma once

/// When targets that are being loaded will be ready, and which targets no runner can hold: what
/// routers need in order to refuse early and to say when to come back.

#include <map>
#include <string>

#include "base/Time.h"
#include "cell/ReplicaTable.h"
#include "cell/RouterMessages.h"
#include "config/Catalogue.h"

namespace fernlift::controller
{

/// What the leader expects of one target without a ready replica.
struct ReadyEstimate
{
    bool canBeServed = true;
    base::TimePoint readyAt{};  ///< By the leader's monotonic clock.

    bool operator== (const ReadyEstimate&) const = default;
};

/// Estimates by target name.
using ReadyEstimates = std::map<std::string, ReadyEstimate>;

/// Estimates for every target that has a loading replica and no ready one, from the median pace by
/// memory of the latest loads of the same kind (none before the first is ready), and for every
/// model (with its adapters) that no known runner could hold even if it were empty. `cellTime` and
/// `now` are the same moment on the clock of the replicated state and on the monotonic clock. No
/// target is called unservable while no runner is known at all.
[[nodiscard]] ReadyEstimates estimateTargets (const cell::ReplicaTable& table,
                                              const config::Catalogue& catalogue,
                                              base::UnixMilliseconds cellTime, base::TimePoint now);

/// `fresh` with every estimate that differs from `stated` by no more than routers care about
/// replaced by the stated one, so that a countdown alone is never sent again.
[[nodiscard]] ReadyEstimates keepStated (const ReadyEstimates& stated, ReadyEstimates fresh,
                                         base::TimePoint now);

/// The wire form; a time in the past becomes zero.
[[nodiscard]] cell::TargetEstimate toMessage (const std::string& target,
                                              const ReadyEstimate& estimate, base::TimePoint now);

}  // namespace fernlift::controller
