#pragma once

/// A router's copy of the table of replicas, as last received from the controller, together with
/// the router's own requests in flight at each runner.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::routing
{

/// Requests in flight by urgency.
using InFlightByUrgency = std::map<int, std::uint32_t>;

/// Identity of a row: replica, runner and target together.
struct ReplicaKey
{
    base::ReplicaId replica = 0;
    base::RunnerId runner;
    std::string target;

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const ReplicaKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

[[nodiscard]] ReplicaKey keyOf (const cell::RoutableReplica& replica);

/// A row together with this router's own requests there.
struct ReplicaState
{
    cell::RoutableReplica info;
    InFlightByUrgency inFlight;  ///< This router's requests at the replica.
    /// This router's requests at the whole runner when the runner measured `info.load`.
    std::uint32_t inFlightAtLoad = 0;

    [[nodiscard]] std::uint32_t inFlightTotal() const;
};

/// The leader's estimate for a target that has no ready replica.
struct ReadyEstimate
{
    bool canBeServed = true;
    base::TimePoint readyAt{};
};

/// The copy of the table. An update must start at the version held or replace the whole table.
class ReplicaTable
{
public:
    /// Applies an update received at `now`. Returns false, without applying it, if it starts at
    /// another version than the one held; version() then is 0 until an update replaces the whole
    /// table.
    bool apply (const cell::ReplicaUpdate& update, base::TimePoint now);
    /// Sets the time for the following calls.
    void setTime (base::TimePoint now) { m_now = std::max (m_now, now); }

    /// Version to report in lease requests; 0 requests the whole table.
    [[nodiscard]] std::uint64_t version() const { return m_needsWhole ? 0 : m_version; }
    /// Term of the leader that the version belongs to.
    [[nodiscard]] base::Term term() const { return m_term; }

    /// Marks a runner as leaving: it gets no new requests under this incarnation. Returns whether
    /// it was not marked before.
    bool markLeaving (const base::RunnerId& runner, base::Incarnation incarnation);
    [[nodiscard]] bool isLeaving (const base::RunnerId& runner,
                                  base::Incarnation incarnation) const;

    /// Rows of `target` on runners that are not leaving.
    [[nodiscard]] std::vector<const ReplicaState*> usableReplicas (const std::string& target) const;
    [[nodiscard]] bool hasUsableReplica (const std::string& target) const;
    /// Whether this replica, under the same incarnation and address, may still get requests.
    [[nodiscard]] bool isUsable (const cell::RoutableReplica& replica) const;
    [[nodiscard]] std::optional<ReadyEstimate> estimateOf (const std::string& target) const;

    void addInFlight (const cell::RoutableReplica& replica, int urgency);
    void removeInFlight (const cell::RoutableReplica& replica, int urgency);
    /// This router's requests at a runner, over all its replicas.
    [[nodiscard]] InFlightByUrgency inFlightAtRunner (const base::RunnerId& runner) const;
    /// Estimated requests at a runner: the reported load, which lags, corrected by the requests
    /// that this router has sent and finished since.
    [[nodiscard]] std::uint32_t estimatedLoad (const base::RunnerId& runner) const;
    /// Mean of two estimates of the requests at a runner: `estimatedLoad`, which counts the
    /// requests of all routers, but late; and this router's own requests divided by its average
    /// share of all requests, which is up to date, but based on this router alone. For comparing
    /// runners, not for admission.
    [[nodiscard]] double likelyLoad (const base::RunnerId& runner) const;
    /// Estimated requests at a runner that are at least as urgent as `urgency`. Reported loads do
    /// not distinguish urgencies, so this is the mean of this router's own count, which is too low,
    /// and of that count divided by the router's average share of all requests, which is coarse.
    [[nodiscard]] double likelyLoadUpTo (const base::RunnerId& runner, int urgency) const;

    [[nodiscard]] std::vector<cell::RoutableReplica> replicas() const;
    /// Runners marked as leaving, each with its incarnation.
    [[nodiscard]] const std::set<std::pair<base::RunnerId, base::Incarnation>>& leaving() const
    {
        return m_leaving;
    }

private:
    /// Number of this router's requests at a runner since a point in time.
    struct InFlightSample
    {
        base::TimePoint at{};
        std::uint32_t total = 0;
    };
    struct RunnerState
    {
        InFlightByUrgency inFlight;
        std::set<ReplicaKey> rows;
        std::deque<InFlightSample> history;  ///< Oldest first; covers the lag of load reports.
    };

    void upsert (const cell::RoutableReplica& replica);
    void setLoad (const cell::RunnerLoad& load);
    void remove (const ReplicaKey& key);
    void recordInFlight (RunnerState& runner) const;
    [[nodiscard]] std::uint32_t inFlightWhenMeasured (const RunnerState& runner) const;
    [[nodiscard]] double ownShare() const { return (m_ownRequests + 1) / (m_reportedRequests + 1); }
    void updateOwnShare (const cell::ReplicaUpdate& update);

    base::TimePoint m_now{};
    std::uint64_t m_version = 0;
    base::Term m_term = 0;
    bool m_needsWhole = true;
    std::map<ReplicaKey, ReplicaState> m_rows;
    /// Outlives rows, which may be removed and added again while requests are in flight.
    std::map<std::pair<ReplicaKey, base::Incarnation>, InFlightByUrgency> m_inFlight;
    std::map<std::string, std::set<ReplicaKey>> m_rowsOfTarget;
    std::map<base::RunnerId, RunnerState> m_runners;
    std::map<std::string, ReadyEstimate> m_estimates;
    std::set<std::pair<base::RunnerId, base::Incarnation>> m_leaving;
    std::deque<std::pair<base::RunnerId, base::Incarnation>> m_leavingByAge;
    /// Decayed sums of the reported loads and of this router's part of them.
    double m_reportedRequests = 0;
    double m_ownRequests = 0;
};

/// Sum over all urgencies.
[[nodiscard]] std::uint32_t totalOf (const InFlightByUrgency& inFlight);
/// Sum over the urgencies that are at least as urgent as `urgency`.
[[nodiscard]] std::uint32_t countUpTo (const InFlightByUrgency& inFlight, int urgency);

}  // namespace fernlift::routing
