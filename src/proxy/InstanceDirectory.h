#pragma once

/// The router's view of the runners of services, and the choice of a runner for a request. Pure:
/// time is passed in.

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
#include "proxy/StatedLoad.h"

namespace fernlift::proxy
{

/// What a runner takes by the rate that it states.
struct RateRoom
{
    base::Duration wait{};  ///< Until it may take another request; zero: now.
    double perSecond = 0;   ///< 0 when it states none.
};

/// What a request needs of a runner.
struct InstanceQuery
{
    std::string service;
    std::string model;    ///< Empty: any runner of the service.
    std::string adapter;  ///< Empty: none.
    /// Requests with the same text here do best at the same runner, which keeps what they share;
    /// empty: anywhere.
    std::string affinity;
    std::uint64_t sharedTokens = 0;  ///< Of the prompt, that such requests share.
    std::uint64_t promptTokens = 0;  ///< Of the whole prompt.
    std::string avoidedInstance;     ///< Chosen only when there is no other; may be empty.
    /// Not empty: a runner has ended under a request with this text, so that all copies of it go to
    /// one and the same runner, not to one each.
    std::string trial{};
    /// Names of incarnations that ended under the request of the trial; never chosen.
    std::vector<std::string> endedInstances{};
    /// From 0 to below 1, at random: routers that see the same loads are to choose differently.
    /// None: the best is chosen.
    std::optional<double> draw{};
    base::Duration gapTarget{};  ///< Longest pause between events of streams; zero: any.
    /// Whether a connection to the address rests here; may be empty.
    std::function<bool (const base::SocketAddress& address)> hasConnection{};
    /// What a runner that states a rate has left of it; may be empty: no runner states any.
    std::function<RateRoom (const std::string& instance, base::UnixMilliseconds startedAt)>
        roomByRate{};
};

enum class NoChoice : std::uint8_t
{
    kNone,         ///< A runner was chosen.
    kUnknown,      ///< No runner of the service takes requests.
    kNotLoaded,    ///< None of them holds the model and adapter.
    kFull,         ///< All that could take it are full.
    kUnconfirmed,  ///< The table may be out of date: no leader has confirmed it for long.
    kRateLimited,  ///< All that could take it get as many requests as they state to take.
};

struct InstanceChoice
{
    NoChoice reason = NoChoice::kUnknown;
    std::string id{};
    std::string address{};
    /// From now until the answer begins, as far as is known; zero when no runner was chosen.
    base::Duration expectedAnswer{};
    /// Of the prompt, less what the runner has likely kept.
    std::uint64_t tokensToRead = 0;
    // Of kRateLimited only:
    base::Duration rateWait{};  ///< Until one of the runners may take another request.
    double ratePerSecond = 0;   ///< That they take together.
};

/// For logs, for example "not_loaded".
[[nodiscard]] std::string_view nameOf (NoChoice reason);

/// How an attempt at a runner ended, as far as the choice of runners cares.
enum class AttemptEnd : std::uint8_t
{
    kAnswered,     ///< A proper answer came.
    kRefused,      ///< The runner said that it has not run the request: it is full or leaving.
    kNotHeld,      ///< The runner does not hold what was asked for, or is another instance.
    kFailed,       ///< It broke off, sent something else or answered with a failure of its own.
    kUnreachable,  ///< No connection could be opened.
    kAbandoned,    ///< The router gave it up for reasons of its own; says nothing.
};

class InstanceDirectory
{
public:
    explicit InstanceDirectory (std::string zone) : m_zone (std::move (zone)) {}

    /// Takes over a change of the table. False when it does not fit what is held: the whole table
    /// is needed then.
    bool apply (const cell::InstanceUpdate& update, base::TimePoint now);

    /// Takes over what all routers of the cell together have at the runners, this one included.
    void applyLoads (const cell::InstanceLoadUpdate& update, base::TimePoint now);
    /// This router tells the cell of its use of runners: what others have is the rest of the sums
    /// that come back.
    void onReported (const cell::InstanceLoadReport& report, base::TimePoint now);
    /// The connection to the controller is lost: what was told on it is told again.
    void onLinkLost();
    /// Whether the load of other routers is known.
    [[nodiscard]] bool knowsOthers (base::TimePoint now) const { return shareOfOthers (now) > 0; }

    [[nodiscard]] InstanceChoice choose (const InstanceQuery& query, base::TimePoint now) const;
    /// Whether a runner that was chosen a moment ago may still be.
    [[nodiscard]] bool mayStillServe (const std::string& id, const InstanceQuery& query,
                                      base::TimePoint now) const;

    /// `promptTokens` are read there until the answer begins.
    void onAttemptBegin (const std::string& id, std::uint64_t promptTokens, base::TimePoint now);
    /// Something of an answer came from the runner.
    void onBytes (const std::string& id, base::TimePoint now);
    void onAnswerBegun (const std::string& id, std::uint64_t promptTokens);
    void onAttemptEnd (const std::string& id, AttemptEnd end, base::TimePoint now);
    /// Start of the incarnation in the table; 0: it does not tell, or is not there.
    [[nodiscard]] base::UnixMilliseconds startOf (const std::string& id) const
    {
        const auto found = m_views.find (id);
        return found == m_views.end() ? 0 : found->second.row.instance.startedAt;
    }
    /// Incarnations that went out of the table since the last call without having said that they
    /// leave, by their names.
    [[nodiscard]] std::vector<std::string> takeReplaced() { return std::exchange (m_replaced, {}); }
    /// Whether the instance is known and has said that it leaves.
    [[nodiscard]] bool isDraining (const std::string& id) const
    {
        const auto found = m_views.find (id);
        return found != m_views.end() && found->second.row.instance.isDraining;
    }
    /// Instances that were found unreachable since the last call, for the leader.
    [[nodiscard]] std::vector<std::string> takeUnreachable()
    {
        return std::exchange (m_unreachable, {});
    }
    void onLoad (const std::string& id, const StatedLoad& load, base::TimePoint now);
    /// The runner was found not to hold a model or adapter that the table says it holds.
    void onNotHeld (const std::string& id, const std::string& model, const std::string& adapter,
                    base::TimePoint now);

    [[nodiscard]] std::uint32_t routers() const { return m_routers; }
    [[nodiscard]] const std::vector<cell::ControllerEndpoint>& controllers() const
    {
        return m_controllers;
    }
    [[nodiscard]] std::size_t size() const { return m_views.size(); }
    [[nodiscard]] bool hasTable() const { return m_version != 0; }
    [[nodiscard]] base::Term term() const { return m_term; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Time since the table last changed; -1 without one.
    [[nodiscard]] std::int64_t ageMilliseconds (base::TimePoint now) const
    {
        return hasTable() ? base::toMilliseconds (now - m_appliedAt) : -1;
    }

private:
    /// Requests at a runner.
    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint64_t unreadTokens = 0;  ///< Of prompts whose answer has not begun.
    };

    struct View
    {
        cell::RoutableInstance row;
        base::SocketAddress address;  ///< Of the row; empty when that cannot be read.
        Use own;                      ///< Of this router.
        base::TimePoint heardAt{};    ///< Last bytes of an answer, or first of the open attempts.
        double failureShare = 0;      ///< Of late attempts, decaying.
        std::uint32_t consecutiveFailures = 0;
        base::TimePoint avoidedUntil{};      ///< Chosen only when there is no other.
        base::TimePoint unreachableUntil{};  ///< Not chosen.
        std::uint32_t unreachableCount = 0;  ///< Connections in a row that could not be opened.
        std::uint32_t statedLoad = 0;
        base::TimePoint loadStatedAt{};
        Use others;  ///< Of all other routers.
        Use told;    ///< Of this router, as reported last.
        base::TimePoint toldAt{};
        Use toldBefore;    ///< The same before `toldAt`.
        double speed = 1;  ///< Against the mean of its service.
        double slowdown = 1;
        base::TimePoint slowdownAt{};
        std::map<std::string, base::TimePoint> notHeldUntil;  ///< By MODEL/ADAPTER.
    };

    /// A runner that may be chosen.
    struct Offer
    {
        const View* view = nullptr;
        RunnerState state;
        RequestWork work;
        double milliseconds = 0;  ///< Until the answer begins, with what else speaks against it.
        double savedMilliseconds = 0;  ///< By what it has kept of the prompt.
    };

    /// By id, so that equal runners are chosen in the same order everywhere.
    using Views = std::map<std::string, View*>;

    void put (const cell::RoutableInstance& row);
    /// Notes the runner under its service and each of its models, or drops it there.
    void addToIndex (View& view);
    void dropFromIndex (const View& view);
    void noteUnreachable (View& view, base::TimePoint now);
    void noteReplaced (const View& view);
    /// Forgets what is known of an earlier incarnation than that of the row.
    void forgetEarlier (View& view, const cell::RoutableInstance& row);
    void noteSlowdown (View& view, std::uint32_t percent, base::TimePoint statedAt);
    /// What others have there, from the sum over all routers.
    [[nodiscard]] static Use usedByOthers (const View& view, const Use& all, base::TimePoint now);
    /// Part of what was last known of others that still counts.
    [[nodiscard]] double shareOfOthers (base::TimePoint now) const;
    /// Runners of the service that may hold the model; all of the service without one.
    [[nodiscard]] const Views& viewsFor (const std::string& service,
                                         const std::string& model) const;
    /// Whether a runner may be chosen for requests of the service at all.
    [[nodiscard]] static bool isCandidate (const View& view, const InstanceQuery& query,
                                           base::TimePoint now);
    [[nodiscard]] static bool holds (const View& view, const InstanceQuery& query,
                                     base::TimePoint now);
    /// Why there is no runner for the request.
    [[nodiscard]] NoChoice reasonWithout (const InstanceQuery& query, base::TimePoint now) const;
    [[nodiscard]] RunnerState stateOf (const View& view, const InstanceQuery& query,
                                       base::TimePoint now) const;
    /// `home` keeps what requests like this one share; may be null.
    [[nodiscard]] Offer offerOf (const View& view, const View* home, const InstanceQuery& query,
                                 base::TimePoint now) const;
    /// The runner that keeps a part of the prompt while that is worth it, else one of those that
    /// are nearly as good as the best, as `draw` falls; one with a connection if there is any.
    [[nodiscard]] static const Offer& pickAmongBest (const std::vector<Offer>& offers,
                                                     const Offer& lowest, double draw);
    [[nodiscard]] InstanceChoice choiceOf (const Offer& offer, const InstanceQuery& query,
                                           base::TimePoint now) const;
    /// Whether it may be chosen, and holds what the request needs.
    [[nodiscard]] static bool canServe (const View& view, const InstanceQuery& query,
                                        base::TimePoint now);
    /// The runner where requests like this one meet; null without affinity.
    [[nodiscard]] const View* homeOf (const InstanceQuery& query, base::TimePoint now) const;
    [[nodiscard]] static RateRoom roomByRate (const View& view, const InstanceQuery& query);
    [[nodiscard]] static InstanceChoice rateLimited (const RateRoom& room);
    /// Whether it works on requests and sent nothing for long.
    [[nodiscard]] static bool isQuiet (const View& view, base::TimePoint now);
    /// Whether it may have ended.
    [[nodiscard]] static bool isInDoubt (const View& view, base::TimePoint now);
    [[nodiscard]] InstanceChoice chooseForTrial (const InstanceQuery& query,
                                                 base::TimePoint now) const;

    std::string m_zone;
    base::Term m_term = 0;
    std::uint64_t m_version = 0;
    base::TimePoint m_appliedAt{};
    std::uint32_t m_routers = 1;
    std::vector<cell::ControllerEndpoint> m_controllers;
    std::map<std::string, View> m_views;
    /// By service and, below it, by model; "" holds all of the service. A choice looks at runners
    /// that can serve the request only, however many there are.
    std::map<std::string, std::map<std::string, Views>> m_index;
    base::TimePoint m_loadsAt{};  ///< Of the last news of other routers.
    std::vector<std::string> m_unreachable;
    std::vector<std::string> m_replaced;
};

}  // namespace fernlift::proxy
