#pragma once

/// The router's copy of the table of runners, and the choice of a runner for a request. Pure: time
/// is passed in.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "proxy/RunnerEstimate.h"
#include "proxy/SoftwareVersions.h"
#include "proxy/StatedLoad.h"
#include "routing/RunnerAvailability.h"

namespace fernlift::proxy
{

/// Capacity that a runner has left under its stated rate limit.
struct RateCapacity
{
    base::Duration wait{};  ///< Time until the runner accepts another request; zero: now.
    double perSecond = 0;   ///< Stated rate; 0 without a limit.
};

/// Requirements of a request on its runner.
struct InstanceQuery
{
    std::string service;
    std::string model;    ///< Empty: any runner of the service.
    std::string adapter;  ///< Empty: none.
    /// Key of requests with a common prompt prefix, which are best served by the same runner
    /// because it caches the prefix. Empty: no affinity.
    std::string affinity;
    std::uint64_t sharedTokens = 0;  ///< Prompt tokens of the prefix that these requests share.
    std::uint64_t promptTokens = 0;  ///< Tokens of the whole prompt.
    std::string avoidedInstance;     ///< Chosen only when there is no other runner; may be empty.
    /// Set for a stream that goes on: no runner of another software version may be chosen.
    std::optional<std::string> softwareVersion{};
    /// Set when a runner crashed under the request: all copies with the same key go to one
    /// isolation runner instead of one each. Empty: not suspect.
    std::string isolationKey{};
    /// Names of the incarnations that crashed under a suspect request; never chosen.
    std::vector<std::string> crashedInstances{};
    /// Random number in [0, 1), so that routers with the same view of the load choose different
    /// runners. None: the best runner is chosen.
    std::optional<double> draw{};
    base::Duration gapTarget{};  ///< Longest acceptable gap between the events of a stream; zero:
                                 ///< any.
    /// Whether the pool holds an idle connection to the address; may be empty.
    std::function<bool (const base::SocketAddress& address)> hasConnection{};
    /// Remaining capacity under the rate limit of a runner. Empty when no runner states a rate.
    std::function<RateCapacity (const std::string& instance, base::UnixMilliseconds startedAt)>
        rateCapacity{};
};

enum class NoRunnerReason : std::uint8_t
{
    kNone,         ///< A runner was chosen.
    kUnknown,      ///< No runner of the service accepts requests.
    kNotLoaded,    ///< No runner of the service holds the model and adapter.
    kFull,         ///< All runners that could serve the request are full.
    kUnconfirmed,  ///< The table may be out of date: no leader confirmed it within the grace
                   ///< period.
    kRateLimited,  ///< All runners that could serve the request have reached their stated rates.
    kBackoff,      ///< All runners that could serve the request decline requests for some time.
    kUnreachable,  ///< This router cannot connect to any runner that could serve the request.
    kSoftwareVersion,  ///< Runners of another software version than that of the stream could serve.
};

struct InstanceChoice
{
    NoRunnerReason reason = NoRunnerReason::kUnknown;
    std::string id{};
    std::string address{};
    /// Estimated time until the answer begins; zero when no runner was chosen.
    base::Duration expectedAnswer{};
    /// Prompt tokens to process, without the prefix that the runner has probably cached.
    std::uint64_t prefillTokens = 0;
    /// Time until one of the runners accepts another request; set with kRateLimited and kBackoff.
    base::Duration wait{};
    double ratePerSecond = 0;  ///< Sum of the stated rates of these runners; set with kRateLimited.
};

/// Requests at a runner, as far as they are known.
struct RunnerLoad
{
    std::uint32_t own = 0;     ///< Requests of this router.
    std::uint32_t others = 0;  ///< Requests of the other routers; 0 if their loads are not shared.
    std::uint32_t slots = 0;   ///< Requests that the runner works on at the same time.
};

/// Text for logs, for example "not_loaded".
[[nodiscard]] std::string_view toString (NoRunnerReason reason);

/// Result of an attempt, as far as it affects the choice of runners.
enum class AttemptEnd : std::uint8_t
{
    kAnswered,  ///< The runner sent a proper answer.
    kRefused,   ///< The runner stated that it did not execute the request: it is full or draining.
    kNotHeld,   ///< The runner does not hold the model or adapter, or is another instance.
    kFailed,    ///< The runner broke off its answer, sent an invalid one or answered with a server
                ///< error.
    kUnreachable,  ///< No connection could be opened.
    kAbandoned,    ///< The router cancelled the attempt, which is no evidence about the runner.
};

class InstanceDirectory
{
public:
    explicit InstanceDirectory (std::string zone) : m_zone (std::move (zone)) {}

    /// Applies a change of the table. Returns false when the change is not based on the held
    /// version, so that the whole table is needed.
    bool apply (const cell::InstanceUpdate& update, base::TimePoint now);

    /// Applies the load that all routers of the cell, including this one, have at the runners.
    void applyLoads (const cell::InstanceLoadUpdate& update, base::TimePoint now);
    /// Records a load report that this router sent. Its share is subtracted from the sums that come
    /// back, which leaves the load of the other routers.
    void onLoadsReported (const cell::InstanceLoadReport& report, base::TimePoint now);
    /// Called when the connection to the controller was lost; all loads are reported again after
    /// that.
    void onLinkLost();
    /// Whether the load of other routers is known.
    [[nodiscard]] bool hasLoadsOfOthers (base::TimePoint now) const
    {
        return weightOfOthers (now) > 0;
    }

    [[nodiscard]] InstanceChoice choose (const InstanceQuery& query, base::TimePoint now) const;
    /// Runners that could serve the request now, the best one first; at most `most`.
    [[nodiscard]] std::vector<std::string> rank (const InstanceQuery& query, std::size_t most,
                                                 base::TimePoint now) const;
    /// The choice of this runner; the reason is kUnknown if it cannot serve the request now.
    [[nodiscard]] InstanceChoice choiceOf (const std::string& id, const InstanceQuery& query,
                                           base::TimePoint now) const;
    /// Whether a runner chosen earlier can still serve the request.
    [[nodiscard]] bool mayStillServe (const std::string& id, const InstanceQuery& query,
                                      base::TimePoint now) const;

    /// Adds an attempt to the load of the runner. `promptTokens` count as prefill until the answer
    /// begins.
    void onAttemptBegin (const std::string& id, std::uint64_t promptTokens, base::TimePoint now);
    /// Called when bytes of an answer were received from the runner.
    void onBytes (const std::string& id, base::TimePoint now);
    /// Time of the last bytes of an answer from the runner, or of the begin of the first open
    /// attempt; zero if it is not listed.
    [[nodiscard]] base::TimePoint lastBytesAt (const std::string& id) const;
    void onAnswerBegun (const std::string& id, std::uint64_t promptTokens);
    /// Called when an open attempt is not read for some time, so that its runner is not silent.
    void onPaused (const std::string& id);
    void onResumed (const std::string& id, base::TimePoint now);
    void onAttemptEnd (const std::string& id, AttemptEnd end, base::TimePoint now);
    /// Start of the incarnation in the table; 0 if not stated or not listed.
    [[nodiscard]] base::UnixMilliseconds startOf (const std::string& id) const
    {
        const auto found = m_views.find (id);
        return found == m_views.end() ? 0 : found->second.row.instance.startedAt;
    }
    /// Service of the runner; empty if it is not listed.
    [[nodiscard]] std::string serviceOf (const std::string& id) const
    {
        const auto found = m_views.find (id);
        return found == m_views.end() ? std::string() : found->second.row.instance.service;
    }
    /// Version of the runner's software; empty if not known.
    [[nodiscard]] std::string softwareVersionOf (const std::string& id) const
    {
        const auto found = m_views.find (id);
        return found == m_views.end() ? std::string() : found->second.row.softwareVersion;
    }
    /// Software versions of all listed runners and of those that left the table lately.
    [[nodiscard]] const SoftwareVersions& softwareVersions() const { return m_softwareVersions; }
    /// Called when a controller granted a lease. Returns whether this router may have missed
    /// notices of others since the last one.
    bool onLease (base::TimePoint now) { return m_softwareVersions.onLease (now); }
    /// Names of the incarnations that left the table since the last call without having been
    /// draining.
    [[nodiscard]] std::vector<std::string> takeReplaced() { return std::exchange (m_replaced, {}); }
    /// Whether the instance is listed as draining or states that it is leaving.
    [[nodiscard]] bool isDraining (const std::string& id, base::TimePoint now) const;
    /// Whether the runner has asked for no requests for some time that has not passed yet.
    [[nodiscard]] bool isBackingOff (const std::string& id, base::TimePoint now) const;
    /// Whether the runner accepts no requests according to its answers.
    [[nodiscard]] bool isUnavailable (const std::string& id, base::TimePoint now) const
    {
        return isDraining (id, now) || isBackingOff (id, now);
    }
    /// Instances found unreachable since the last call, to be reported to the leader.
    [[nodiscard]] std::vector<std::string> takeUnreachable()
    {
        return std::exchange (m_unreachable, {});
    }
    void onLoad (const std::string& id, const StatedLoad& load, base::TimePoint now);
    /// Called when the runner answered that it does not hold a model or adapter listed in the
    /// table.
    void onNotHeld (const std::string& id, const std::string& model, const std::string& adapter,
                    base::TimePoint now);

    /// Availability that the runners state in their answers.
    [[nodiscard]] routing::RunnerAvailability& availability() { return m_availability; }

    /// Number of routers of the cell, as stated last; 1 before.
    [[nodiscard]] std::uint32_t routers() const { return m_routers; }
    void setRouters (std::uint32_t routers) { m_routers = std::max (routers, 1U); }
    [[nodiscard]] const std::vector<cell::ControllerEndpoint>& controllers() const
    {
        return m_controllers;
    }
    [[nodiscard]] std::size_t size() const { return m_views.size(); }
    /// Ids of all listed instances.
    [[nodiscard]] std::vector<std::string> instances() const;
    /// Address of a listed instance; empty if it is not listed or its address is invalid.
    [[nodiscard]] base::SocketAddress addressOf (const std::string& id) const;
    [[nodiscard]] RunnerLoad loadOf (const std::string& id, base::TimePoint now) const;
    /// Whether all slots of the runner are in use, as far as its load is known.
    [[nodiscard]] bool isFull (const std::string& id, base::TimePoint now) const;
    /// Records whether a probe of the runner opened a connection.
    void onProbed (const std::string& id, bool isReachable, base::TimePoint now);
    [[nodiscard]] bool hasTable() const { return m_version != 0; }
    [[nodiscard]] base::Term term() const { return m_term; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Time since the last change of the table; -1 without a table.
    [[nodiscard]] std::int64_t ageMilliseconds (base::TimePoint now) const
    {
        return hasTable() ? base::toMilliseconds (now - m_appliedAt) : -1;
    }

private:
    /// Load of requests at a runner.
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t pendingPrefillTokens =
            0;  ///< Prompt tokens of requests whose answer has not begun.
    };

    struct View
    {
        cell::RoutableInstance row;
        base::SocketAddress address;    ///< Parsed from the row; empty when invalid.
        Use own;                        ///< Load from this router.
        std::uint32_t paused = 0;       ///< Open attempts that are not read at the moment.
        base::TimePoint lastBytesAt{};  ///< Last bytes of an answer, or start of the first open
                                        ///< attempt.
        double failureShare = 0;  ///< Decaying share of failed attempts, as of `attemptEndedAt`.
        std::uint32_t consecutiveFailures = 0;
        base::TimePoint attemptEndedAt{};  ///< End of the last attempt that counts here.
        base::TimePoint avoidedUntil{};  ///< Until then chosen only when there is no other runner.
        base::TimePoint unreachableUntil{};  ///< Until then never chosen.
        std::uint32_t unreachableCount = 0;  ///< Consecutive connections that could not be opened.
        std::uint32_t statedLoad = 0;
        base::TimePoint loadStatedAt{};
        Use others;    ///< Load from all other routers.
        Use reported;  ///< Load of this router in its last report.
        base::TimePoint reportedAt{};
        Use reportedBefore;  ///< Load of this router in the report before `reportedAt`.
        double speed = 1;    ///< Speed relative to the mean of the service.
        double slowdown = 1;
        base::TimePoint slowdownAt{};
        std::map<std::string, base::TimePoint> notHeldUntil;  ///< Keyed by MODEL/ADAPTER.
    };

    /// Runner that can serve the request, with its cost.
    struct Candidate
    {
        const View* view = nullptr;
        RunnerState state;
        RequestWork work;
        double milliseconds = 0;       ///< Time until the answer begins plus penalties.
        double savedMilliseconds = 0;  ///< Prefill time saved by the cached prefix.
    };

    /// Sorted by id, so that runners of equal cost are considered in the same order at every
    /// router.
    using Views = std::map<std::string, View*>;

    void put (const cell::RoutableInstance& row, base::TimePoint now);
    /// Adds the runner to the index under its service and each of its models, or removes it.
    void addToIndex (View& view);
    void dropFromIndex (const View& view, base::TimePoint now);
    void recordUnreachable (View& view, base::TimePoint now);
    /// Lets the marks of earlier failures lapse with the time since the last attempt.
    static void lapseFailures (View& view, base::TimePoint now);
    /// Share of failed attempts, which falls with time also without an attempt.
    [[nodiscard]] static double failureShareOf (const View& view, base::TimePoint now);
    [[nodiscard]] bool isDraining (const View& view, base::TimePoint now) const;
    void recordReplaced (const View& view, base::TimePoint now);
    /// Clears the state of the view when the row belongs to another incarnation.
    void resetIfRestarted (View& view, const cell::RoutableInstance& row, base::TimePoint now);
    void setSlowdown (View& view, std::uint32_t percent, base::TimePoint statedAt);
    /// Load of the other routers, computed from the sum over all routers.
    [[nodiscard]] static Use usedByOthers (const View& view, const Use& all, base::TimePoint now);
    /// Weight from 0 to 1 of the last known load of other routers, which falls with its age.
    [[nodiscard]] double weightOfOthers (base::TimePoint now) const;
    /// Runners of the service that may hold the model; all runners of the service without a model.
    [[nodiscard]] const Views& viewsFor (const std::string& service,
                                         const std::string& model) const;
    /// Whether the runner accepts requests of the service.
    [[nodiscard]] bool isAccepting (const View& view, const InstanceQuery& query,
                                    base::TimePoint now) const;
    [[nodiscard]] static bool holds (const View& view, const InstanceQuery& query,
                                     base::TimePoint now);
    /// Why no runner can serve the request.
    [[nodiscard]] NoRunnerReason reasonWithout (const InstanceQuery& query,
                                                base::TimePoint now) const;
    [[nodiscard]] RunnerState stateOf (const View& view, const InstanceQuery& query,
                                       base::TimePoint now) const;
    /// `affinityRunner` has the shared prefix of the request in its cache; may be null.
    [[nodiscard]] Candidate candidateOf (const View& view, const View* affinityRunner,
                                         const InstanceQuery& query, base::TimePoint now) const;
    /// Returns the runner with the cached prefix while the saved prefill outweighs its delay; else
    /// picks by `draw` among the runners that are nearly as good as the best, preferring those with
    /// an open connection.
    [[nodiscard]] static const Candidate& pickAmongBest (const std::vector<Candidate>& candidates,
                                                         const Candidate& lowest, double draw);
    [[nodiscard]] InstanceChoice choiceOf (const Candidate& candidate, const InstanceQuery& query,
                                           base::TimePoint now) const;
    /// Whether the runner may be chosen and holds the model and adapter, apart from whether this
    /// router can connect to it.
    [[nodiscard]] bool couldServe (const View& view, const InstanceQuery& query,
                                   base::TimePoint now) const;
    /// The same, also apart from the software version of the runner.
    [[nodiscard]] bool couldServeAtAnyVersion (const View& view, const InstanceQuery& query,
                                               base::TimePoint now) const;
    /// Whether the runner may be chosen and holds the model and adapter.
    [[nodiscard]] bool canServe (const View& view, const InstanceQuery& query,
                                 base::TimePoint now) const;
    /// Runner to which all requests with the same affinity are sent; null without affinity.
    [[nodiscard]] const View* affinityRunnerOf (const InstanceQuery& query,
                                                base::TimePoint now) const;
    [[nodiscard]] static RateCapacity rateCapacity (const View& view, const InstanceQuery& query);
    [[nodiscard]] static InstanceChoice rateLimited (const RateCapacity& capacity);
    [[nodiscard]] static InstanceChoice backingOff (base::Duration wait);
    /// Time until the runner accepts another request after a backoff; zero: now.
    [[nodiscard]] base::Duration backoffOf (const View& view, base::TimePoint now) const;
    /// Whether the runner has open requests and sent nothing for longer than kQuietAfter.
    [[nodiscard]] static bool isQuiet (const View& view, base::TimePoint now);
    /// Whether the runner shows signs of having failed.
    [[nodiscard]] static bool mayHaveFailed (const View& view, base::TimePoint now);
    [[nodiscard]] InstanceChoice chooseIsolationRunner (const InstanceQuery& query,
                                                        base::TimePoint now) const;

    std::string m_zone;
    base::Term m_term = 0;
    std::uint64_t m_version = 0;
    base::TimePoint m_appliedAt{};
    std::uint32_t m_routers = 1;
    std::vector<cell::ControllerEndpoint> m_controllers;
    std::map<std::string, View> m_views;
    /// Keyed by service, then by model; "" lists all runners of the service. The cost of a choice
    /// depends only on the number of runners that can serve the request.
    std::map<std::string, std::map<std::string, Views>> m_index;
    SoftwareVersions m_softwareVersions;  ///< Of the runners in the index.
    base::TimePoint m_loadsAt{};  ///< Time of the last update of the loads of other routers.
    std::vector<std::string> m_unreachable;
    std::vector<std::string> m_replaced;
    routing::RunnerAvailability m_availability;
};

}  // namespace fernlift::proxy
