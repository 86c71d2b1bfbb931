#pragma once

/// The replicas that routers may use, as the leader tells all of them: one table, one numbered
/// sequence of changes, so that a change is worked out once for the cell and not once a router.

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

/// Whether a runner's load differs enough from the one last told that routers should hear of it: a
/// quarter and more than one request, or between idle and busy.
[[nodiscard]] bool isLoadNews (std::uint32_t told, std::uint32_t load);

/// Routers that share a target's replicas, in powers of two that change only when the number has
/// grown past them or fallen to a quarter.
[[nodiscard]] std::uint32_t steadySharers (std::uint32_t told, std::uint32_t sharers);

class RoutableTable
{
public:
    /// Takes the rows as they are now, with every runner's real load. Returns true when there is
    /// something to tell.
    bool replace (std::vector<cell::RoutableReplica> rows, const ReadyEstimates& estimates,
                  base::TimePoint now);

    /// 0 before the first replace().
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// False when a router with this version needs the whole table.
    [[nodiscard]] bool keepsChangesSince (std::uint64_t version) const;
    /// Updates that bring a router which holds `version` up to date, in order; the whole table when
    /// the changes since are no longer kept.
    [[nodiscard]] std::vector<cell::ReplicaUpdate> updatesSince (std::uint64_t version,
                                                                 base::TimePoint now) const;

private:
    using Key = std::tuple<base::ReplicaId, base::RunnerId, std::string>;

    static Key keyOf (const cell::RoutableReplica& row);
    void settleLoads (std::vector<cell::RoutableReplica>& rows);
    void collectRows (std::vector<cell::RoutableReplica> rows, cell::ReplicaUpdate& update);
    void collectEstimates (const ReadyEstimates& estimates, base::TimePoint now,
                           cell::ReplicaUpdate& update);
    [[nodiscard]] cell::ReplicaUpdate whole (base::TimePoint now) const;

    std::uint64_t m_version = 0;
    std::map<Key, cell::RoutableReplica> m_rows;
    std::map<base::RunnerId, std::uint32_t> m_loads;  ///< As last told.
    ReadyEstimates m_estimates;
    std::deque<cell::ReplicaUpdate> m_changes;  ///< The latest, oldest first.
};

}  // namespace fernlift::controller
