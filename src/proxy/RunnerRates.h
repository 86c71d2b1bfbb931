#pragma once

/**
 * Keeps this router to the rates that runners state in their answers: which runners are limited,
 * and a permit of the leader for each request that goes to one of them.
 *
 * A rate is meant for all routers together. What this router hears counts here at once and is
 * reported; what the leader tells counts until the leader takes it back. Without a leader that can
 * be reached a limited runner gets nothing from this router, so that no cut, freeze or restart adds
 * to what the others send. With controllers of an earlier version, which grant no permits, the
 * router keeps to its own share of a rate.
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

/** What one answer of a runner tells of its rate. */
struct RateObservation
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.
    /** When the request was sent: what the answer says was not said before. */
    base::TimePoint sentAt{};
    /** The runner ran the request and did not fail: only such an answer tells that there is no
       limit any more. Refusals may come from what stands before a runner.
    */
    bool isProper = false;
};

/** Since the start of the process. */
struct PermitCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;  ///< No answer came in time.
};

/** Pure but for log lines: time is passed in. Threading: none; owned by one router. */
class RunnerRates
{
public:
    /** `randomSeed` spreads routers that keep to their own shares; `onNeed`: a report or a request
       for permits should be sent soon.
    */
    RunnerRates (std::uint64_t randomSeed, std::function<void()> onNeed)
        : m_random (randomSeed), m_onNeed (std::move (onNeed))
    {
    }

    void onAnswer (const RateObservation& seen, const StatedRate& stated, base::TimePoint now);

    /** Whether a request to the runner needs a permit. */
    [[nodiscard]] bool isLimited (const std::string& instance,
                                  base::UnixMilliseconds startedAt) const;
    /** Time until a permit for the runner is worth asking for; zero: now, or none is needed. */
    [[nodiscard]] base::Duration waitFor (const std::string& instance,
                                          base::UnixMilliseconds startedAt,
                                          base::TimePoint now) const;
    /** That the runner states; 0 when it is not limited. */
    [[nodiscard]] double rateOf (const std::string& instance,
                                 base::UnixMilliseconds startedAt) const;
    /** Requests of this router that wait for the rates of the runners of one model. */
    [[nodiscard]] std::uint32_t& waitingFor (const std::string& model) { return m_waiting[model]; }
    /** Asks for a permit for the runner that the claim's account names, or looks whether one has
        come. A permit is used up when it is granted. After a refusal waitFor() is above zero.
    */
    [[nodiscard]] quota::QuotaAnswer take (quota::QuotaClaim& claim, base::TimePoint now);
    /** Ends a claim that is pending; does nothing to another. */
    void giveUp (quota::QuotaClaim& claim) { m_permits.giveUp (claim); }

    // The connection to the controller:
    void onLinkLost();
    /** A message other than a table or the word that it does not lead: without a table before it,
        the controller is of an earlier version.
    */
    void onOtherMessage();
    void apply (const cell::InstanceRateUpdate& update, base::TimePoint now);
    void onGrant (const cell::InstancePermitGrant& grant, base::TimePoint now);
    [[nodiscard]] std::optional<cell::InstanceRateReport> takeReport (base::TimePoint now);
    /** The request for permits that is due. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::InstancePermitRequest> takeRequest (base::TimePoint now);

    void setRouters (std::uint32_t routers) { m_routers = routers; }
    /** Runners that are limited, as far as known. */
    [[nodiscard]] std::size_t size() const { return m_limits.size(); }
    [[nodiscard]] const PermitCounters& counters() const { return m_counters; }

private:
    /** Who bounds the requests of all routers. */
    enum class Granting : std::uint8_t
    {
        kUnknown,  ///< No controller has told yet.
        kLeader,
        kNobody,  ///< The leader, or the controller, is of a version that knows no rates.
    };
    struct Limit
    {
        double perSecond = 0;
        base::UnixMilliseconds startedAt = 0;
        bool isTold = false;            ///< In the leader's table, which alone ends it then.
        base::TimePoint statedAt{};     ///< By the last answer, as far as known here.
        base::TimePoint untoldSince{};  ///< While it is not in the leader's table.
        base::TimePoint reportedAt{};   ///< Last.
        base::TimePoint askAgainAt{};   ///< The leader has no permit before.
        base::TimePoint ownShareAt{};   ///< When the own share allows the next request.
    };

    /** Null when the incarnation is not limited. */
    [[nodiscard]] const Limit* find (const std::string& instance,
                                     base::UnixMilliseconds startedAt) const;
    void noteLimit (const RateObservation& seen, double perSecond, base::TimePoint now);
    void noteEnd (const RateObservation& seen);
    void takeTable (const cell::InstanceRateUpdate& update, base::TimePoint now);
    void reportLimit (const std::string& instance, Limit& limit, base::TimePoint now);
    /** Limits that the leader never took over do not last. */
    void expire (base::TimePoint now);
    /** What the leader has not taken over is reported once more: a report may have been lost with
        the leader that it was for.
    */
    void reportUntold (base::TimePoint now);
    /** All that the leader has not taken over is due to be reported. */
    void forgetReports();
    [[nodiscard]] quota::QuotaAnswer takeOwnShare (Limit& limit, base::TimePoint now);
    /** Between two requests of the own share. */
    [[nodiscard]] base::Duration ownInterval (const Limit& limit) const;
    [[nodiscard]] quota::QuotaAnswer count (quota::QuotaAnswer answer);

    struct Statement
    {
        cell::InstanceRateStatement content;  ///< But for the age.
        base::TimePoint madeAt{};
    };

    base::Random m_random;
    std::function<void()> m_onNeed;
    std::uint32_t m_routers = 1;
    Granting m_granting = Granting::kUnknown;
    base::Term m_term = 0;  ///< Of the last table.
    std::uint64_t m_version = 0;
    std::map<std::string, Limit> m_limits;  ///< By instance.
    std::vector<Statement> m_unreported;    ///< Only while the leader grants.
    quota::QuotaPool m_permits{ base::Duration::zero() };
    std::map<std::string, std::uint32_t> m_waiting;  ///< By model.
    PermitCounters m_counters;
};

}  // namespace fernlift::proxy
