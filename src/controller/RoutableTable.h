#pragma once

/// Table of the replicas that routers may use, which the leader sends to all of them. All routers
/// share one table and one numbered sequence of changes, so that a change is computed once for the
/// cell and not once for each router.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "controller/LoadEstimates.h"

namespace fernlift::controller
{

/// Whether a runner's load differs enough from the one last sent to be sent to routers: by more
/// than a quarter and more than one request, or between idle and busy.
[[nodiscard]] bool isSignificantLoadChange (std::uint32_t sent, std::uint32_t load);

/// Returns the number of routers that share a target's replicas, rounded up to a power of two. The
/// result changes only when the number exceeds the last result or falls to a quarter of it.
[[nodiscard]] std::uint32_t stableSharerCount (std::uint32_t sent, std::uint32_t sharers);

class RoutableTable
{
public:
    /// Replaces all rows, each with the actual load of its runner. Returns whether there is a
    /// change to send.
    bool replace (std::vector<cell::RoutableReplica> rows, const ReadyEstimates& estimates,
                  base::TimePoint now);

    /// 0 before the first replace().
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// False when a router with this version needs the whole table.
    [[nodiscard]] bool keepsChangesSince (std::uint64_t version) const;
    /// Returns the updates, in order, that bring a router from `version` up to date, or the whole
    /// table when the changes since then are no longer kept.
    [[nodiscard]] std::vector<cell::ReplicaUpdate> updatesSince (std::uint64_t version,
                                                                 base::TimePoint now) const;

private:
    using Key = std::tuple<base::ReplicaId, base::RunnerId, std::string>;

    static Key keyOf (const cell::RoutableReplica& row);
    void stabilizeLoads (std::vector<cell::RoutableReplica>& rows);
    void collectRows (std::vector<cell::RoutableReplica> rows, cell::ReplicaUpdate& update);
    void collectEstimates (const ReadyEstimates& estimates, base::TimePoint now,
                           cell::ReplicaUpdate& update);
    [[nodiscard]] cell::ReplicaUpdate whole (base::TimePoint now) const;

    std::uint64_t m_version = 0;
    std::map<Key, cell::RoutableReplica> m_rows;
    std::map<base::RunnerId, std::uint32_t> m_loads;  ///< Loads last sent.
    ReadyEstimates m_estimates;
    std::deque<cell::ReplicaUpdate> m_changes;  ///< Latest changes, oldest first.
};

}  // namespace fernlift::controller
