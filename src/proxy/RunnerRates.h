#pragma once

/**
 * Enforces the request rates that runners state in their answers: keeps the list of rate-limited
 * runners and obtains a permit from the leader for each request to one of them.
 *
 * A stated rate applies to all routers together. A rate that this router receives takes effect here
 * at once and is reported; a rate in the leader's table applies until the leader removes it.
 * Without a reachable leader this router sends nothing to a rate-limited runner, so that
 * partitions, suspensions and restarts cannot add to the requests of the other routers. With
 * controllers of an earlier version, which grant no permits, the router limits itself to its own
 * share of the rate.
 */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "base/Time.h"
#include "cell/InstanceRateMessages.h"
#include "proxy/StatedRate.h"
#include "quota/QuotaPool.h"

namespace fernlift::proxy
{

/** Rate information from one answer of a runner. */
struct RateObservation
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0 if not stated.
    /** When the request was sent, which is a lower bound for the time of the statement. */
    base::TimePoint sentAt{};
    /** The runner executed the request without a failure. Only such an answer without a rate ends a
        limit, because a refusal may come from a proxy in front of the runner.
    */
    bool isSuccess = false;
};

/** Counts since the start of the process. */
struct PermitCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;  ///< Requests for permits that were not answered in time.
};

/** Pure except for log lines: time is passed in. Threading: none; owned by one router. */
class RunnerRates
{
public:
    /** `randomSeed` spreads the sending times of routers that use their own shares. `onSendNeeded`
        is called when a report or a permit request should be sent soon.
    */
    RunnerRates (std::uint64_t randomSeed, std::function<void()> onSendNeeded)
        : m_random (randomSeed), m_onSendNeeded (std::move (onSendNeeded))
    {
    }

    void onAnswer (const RateObservation& observation, const StatedRate& stated,
                   base::TimePoint now);

    /** Whether a request to the runner needs a permit. */
    [[nodiscard]] bool isLimited (const std::string& instance,
                                  base::UnixMilliseconds startedAt) const;
    /** Time until a permit for the runner may be requested; zero: now, or no permit is needed. */
    [[nodiscard]] base::Duration waitFor (const std::string& instance,
                                          base::UnixMilliseconds startedAt,
                                          base::TimePoint now) const;
    /** Rate stated by the runner; 0 when it is not limited. */
    [[nodiscard]] double rateOf (const std::string& instance,
                                 base::UnixMilliseconds startedAt) const;
    /** Number of requests of this router that wait for the rate limits of the runners of one model.
     */
    [[nodiscard]] std::uint32_t& waitingFor (const std::string& model) { return m_waiting[model]; }
    /** Requests a permit for the runner named by the account of the claim, or checks whether it was
        granted. A granted permit is consumed. After a refusal waitFor() is above zero.
    */
    [[nodiscard]] quota::QuotaAnswer take (quota::QuotaClaim& claim, base::TimePoint now);
    /** Ends a pending claim; has no effect on other claims. */
    void giveUp (quota::QuotaClaim& claim) { m_permits.giveUp (claim); }

    // Events of the connection to the controller:
    void onLinkLost();
    /** Called for a message that is neither a rate table nor NotLeaderReply. If no rate table came
        before it, the controller is of an earlier version.
    */
    void onOtherMessage();
    void apply (const cell::InstanceRateUpdate& update, base::TimePoint now);
    void onGrant (const cell::InstancePermitGrant& grant, base::TimePoint now);
    [[nodiscard]] std::optional<cell::InstanceRateReport> takeReport (base::TimePoint now);
    /** The permit request that is due. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::InstancePermitRequest> takeRequest (base::TimePoint now);

    void setRouters (std::uint32_t routers) { m_routers = routers; }
    /** Number of rate-limited runners known here. */
    [[nodiscard]] std::size_t size() const { return m_limits.size(); }
    [[nodiscard]] const PermitCounters& counters() const { return m_counters; }

private:
    /** Source of the permits that bound the requests of all routers. */
    enum class PermitSource : std::uint8_t
    {
        kUnknown,  ///< The controller has not sent anything yet.
        kLeader,
        kNone,  ///< The leader or the controller is of a version without rate limits.
    };
    struct Limit
    {
        double perSecond = 0;
        base::UnixMilliseconds startedAt = 0;
        bool isInTable = false;  ///< Listed in the leader's table, which then alone ends the limit.
        base::TimePoint statedAt{};      ///< Last answer known to have stated the rate.
        base::TimePoint missingSince{};  ///< Since when the limit is missing in the leader's table.
        base::TimePoint reportedAt{};    ///< Time of the last report.
        base::TimePoint nextRequestAt{};  ///< Earliest time at which the leader has another permit.
        base::TimePoint nextOwnShareAt{};  ///< When the own share allows the next request.
    };

    /** Returns null when the incarnation is not limited. */
    [[nodiscard]] const Limit* find (const std::string& instance,
                                     base::UnixMilliseconds startedAt) const;
    void setLimit (const RateObservation& observation, double perSecond, base::TimePoint now);
    void recordUnlimited (const RateObservation& observation);
    void applyTable (const cell::InstanceRateUpdate& update, base::TimePoint now);
    void reportLimit (const std::string& instance, Limit& limit, base::TimePoint now);
    /** Removes limits that the leader did not add to its table in time. */
    void expire (base::TimePoint now);
    /** Repeats the reports of limits missing in the leader's table, since a report may be lost with
        the leader that received it.
    */
    void reportUnregistered (base::TimePoint now);
    /** Makes all limits missing in the leader's table due for a report. */
    void markAllUnreported();
    [[nodiscard]] quota::QuotaAnswer takeOwnShare (Limit& limit, base::TimePoint now);
    /** Time between two requests under the own share. */
    [[nodiscard]] base::Duration ownInterval (const Limit& limit) const;
    [[nodiscard]] quota::QuotaAnswer count (quota::QuotaAnswer answer);

    struct Statement
    {
        cell::InstanceRateStatement content;  ///< Complete except for the age.
        base::TimePoint madeAt{};
    };

    base::Random m_random;
    std::function<void()> m_onSendNeeded;
    std::uint32_t m_routers = 1;
    PermitSource m_permitSource = PermitSource::kUnknown;
    base::Term m_term = 0;  ///< Term of the last table.
    std::uint64_t m_version = 0;
    std::map<std::string, Limit> m_limits;  ///< Keyed by instance.
    std::vector<Statement> m_unreported;    ///< Filled only while the leader grants permits.
    quota::QuotaPool m_permits{ base::Duration::zero() };
    std::map<std::string, std::uint32_t> m_waiting;  ///< Keyed by model.
    PermitCounters m_counters;
};

}  // namespace fernlift::proxy
