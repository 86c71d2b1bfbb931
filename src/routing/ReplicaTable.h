#pragma once

/// The replicas a router may use, as the controller last told it, together with what the router
/// itself has in flight at each runner.

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

/// What the leader expects of a target that has no ready replica.
struct ReadyEstimate
{
    bool canBeServed = true;
    base::TimePoint readyAt{};
};

/// The table. Updates that do not follow on the version held are not applied.
class ReplicaTable
{
public:
    /// Applies an update received at `now`. False when versions are missing in between: the table
    /// then reports version 0 until it was replaced whole.
    bool apply (const cell::ReplicaUpdate& update, base::TimePoint now);
    /// Time for the following calls.
    void setTime (base::TimePoint now) { m_now = std::max (m_now, now); }

    /// Version to report in lease requests; 0 asks for the whole table.
    [[nodiscard]] std::uint64_t version() const { return m_needsWhole ? 0 : m_version; }
    /// Term of the leader that the version belongs to.
    [[nodiscard]] base::Term term() const { return m_term; }

    /// Marks a runner as leaving; it gets nothing new under this incarnation. True if this is news.
    bool markLeaving (const base::RunnerId& runner, base::Incarnation incarnation);
    [[nodiscard]] bool isLeaving (const base::RunnerId& runner,
                                  base::Incarnation incarnation) const;

    /// Rows of `target` on runners that are not leaving.
    [[nodiscard]] std::vector<const ReplicaState*> usableReplicas (const std::string& target) const;
    [[nodiscard]] bool hasUsableReplica (const std::string& target) const;
    /// Whether the very replica may still get requests.
    [[nodiscard]] bool isUsable (const cell::RoutableReplica& replica) const;
    [[nodiscard]] std::optional<ReadyEstimate> estimateOf (const std::string& target) const;

    void addInFlight (const cell::RoutableReplica& replica, int urgency);
    void removeInFlight (const cell::RoutableReplica& replica, int urgency);
    /// This router's requests at a runner, over all its replicas.
    [[nodiscard]] InFlightByUrgency inFlightAtRunner (const base::RunnerId& runner) const;
    /// Estimated requests at a runner: the reported load, which lags, corrected by what this router
    /// has sent and finished since.
    [[nodiscard]] std::uint32_t estimatedLoad (const base::RunnerId& runner) const;
    /// Mean of `estimatedLoad` and of what this router's own requests suggest, if it sends its
    /// usual share of all requests there. The first knows all routers' requests, but late; the
    /// second is up to date, but knows only this router's. For comparing runners, not for
    /// admission.
    [[nodiscard]] double likelyLoad (const base::RunnerId& runner) const;
    /// Requests at least as urgent as `urgency`. Reports do not tell them apart: the mean of this
    /// router's own, which is too few, and of what they suggest, which is coarse.
    [[nodiscard]] double likelyLoadUpTo (const base::RunnerId& runner, int urgency) const;

    [[nodiscard]] std::vector<cell::RoutableReplica> replicas() const;
    /// Runners marked as leaving, with the incarnation.
    [[nodiscard]] const std::set<std::pair<base::RunnerId, base::Incarnation>>& leaving() const
    {
        return m_leaving;
    }

private:
    /// Number of this router's requests at a runner from a moment on.
    struct InFlightSince
    {
        base::TimePoint at{};
        std::uint32_t total = 0;
    };
    struct RunnerState
    {
        InFlightByUrgency inFlight;
        std::set<ReplicaKey> rows;
        std::deque<InFlightSince> history;  ///< Oldest first; goes back as far as reports lag.
    };

    void upsert (const cell::RoutableReplica& replica);
    void setLoad (const cell::RunnerLoad& load);
    void remove (const ReplicaKey& key);
    void noteInFlight (RunnerState& runner) const;
    [[nodiscard]] std::uint32_t inFlightWhenMeasured (const RunnerState& runner) const;
    [[nodiscard]] double ownShare() const { return (m_ownRequests + 1) / (m_reportedRequests + 1); }
    void learnOwnShare (const cell::ReplicaUpdate& update);

    base::TimePoint m_now{};
    std::uint64_t m_version = 0;
    base::Term m_term = 0;
    bool m_needsWhole = true;
    std::map<ReplicaKey, ReplicaState> m_rows;
    /// Outlives rows, which may be removed and come back while requests are in flight.
    std::map<std::pair<ReplicaKey, base::Incarnation>, InFlightByUrgency> m_inFlight;
    std::map<std::string, std::set<ReplicaKey>> m_rowsOfTarget;
    std::map<base::RunnerId, RunnerState> m_runners;
    std::map<std::string, ReadyEstimate> m_estimates;
    std::set<std::pair<base::RunnerId, base::Incarnation>> m_leaving;
    std::deque<std::pair<base::RunnerId, base::Incarnation>> m_leavingByAge;
    /// Loads reported lately and this router's part of them; older reports weigh less.
    double m_reportedRequests = 0;
    double m_ownRequests = 0;
};

/// Sum over all urgencies.
[[nodiscard]] std::uint32_t totalOf (const InFlightByUrgency& inFlight);
/// Sum over those at least as urgent as `urgency`.
[[nodiscard]] std::uint32_t countUpTo (const InFlightByUrgency& inFlight, int urgency);

}  // namespace fernlift::routing
