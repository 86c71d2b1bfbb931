#pragma once

/// The router's view of the runners of services, and the choice of a runner for a request. Pure:
/// time is passed in.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::proxy
{

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
};

enum class NoChoice : std::uint8_t
{
    kNone,         ///< A runner was chosen.
    kUnknown,      ///< No runner of the service takes requests.
    kNotLoaded,    ///< None of them holds the model and adapter.
    kFull,         ///< All that could take it are full.
    kUnconfirmed,  ///< The table may be out of date: no leader has confirmed it for long.
};

struct InstanceChoice
{
    NoChoice reason = NoChoice::kUnknown;
    std::string id;
    std::string address;
    /// From now until the answer begins, as far as is known; zero when no runner was chosen.
    base::Duration expectedAnswer{};
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

    [[nodiscard]] InstanceChoice choose (const InstanceQuery& query, base::TimePoint now) const;

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
    /// The runner stated its load: requests running, waiting and slots.
    void onLoad (const std::string& id, std::uint32_t running, std::uint32_t waiting,
                 base::TimePoint now);
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
    struct View
    {
        cell::RoutableInstance row;
        std::uint32_t inFlight = 0;  ///< Of this router.
        base::TimePoint heardAt{};   ///< Last bytes of an answer, or first of the open attempts.
        std::uint64_t tokensToRead = 0;  ///< Of prompts whose answer has not begun.
        double failureShare = 0;         ///< Of late attempts, decaying.
        std::uint32_t consecutiveFailures = 0;
        base::TimePoint avoidedUntil{};      ///< Chosen only when there is no other.
        base::TimePoint unreachableUntil{};  ///< Not chosen.
        std::uint32_t unreachableCount = 0;  ///< Connections in a row that could not be opened.
        std::uint32_t statedLoad = 0;
        base::TimePoint loadStatedAt{};
        std::map<std::string, base::TimePoint> notHeldUntil;  ///< By MODEL/ADAPTER.
    };

    void put (const cell::RoutableInstance& row);
    void noteUnreachable (View& view, base::TimePoint now);
    void noteReplaced (const View& view);
    /// Forgets what is known of an earlier incarnation than that of the row.
    void forgetEarlier (View& view, const cell::RoutableInstance& row);
    /// Whether a runner may be chosen for requests of the service at all.
    [[nodiscard]] static bool isCandidate (const View& view, const InstanceQuery& query,
                                           base::TimePoint now);
    [[nodiscard]] static bool holds (const View& view, const InstanceQuery& query,
                                     base::TimePoint now);
    /// Requests at the runner, as far as this router knows.
    [[nodiscard]] static double loadOf (const View& view, base::TimePoint now);
    /// Expected time until an answer begins, in milliseconds, with what else speaks against a
    /// runner.
    [[nodiscard]] double costOf (const View& view, const InstanceQuery& query,
                                 base::TimePoint now) const;
    /// Whether it may be chosen, and holds what the request needs.
    [[nodiscard]] static bool canServe (const View& view, const InstanceQuery& query,
                                        base::TimePoint now);
    /// Id of the runner where requests like this one meet; empty without affinity.
    [[nodiscard]] std::string homeOf (const InstanceQuery& query, base::TimePoint now) const;
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
    std::vector<std::string> m_unreachable;
    std::vector<std::string> m_replaced;
};

}  // namespace fernlift::proxy
