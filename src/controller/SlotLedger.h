#pragma once

/**
 * The leader's account of the slots of runners in brittle services. It assigns each slot to at most
 * one request of all routers at a time, so that no such runner has to decline a request.
 *
 * A slot counts as in use until its router has reported that the request ended, or, if the router
 * is not heard, until the time by which the request must have ended. The account is not replicated:
 * a new leader collects it from routers and relays before it assigns anything.
 */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "cell/ServiceInstances.h"
#include "cell/SlotMessages.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class SlotLedger
{
public:
    /** Finds a listed runner whose slots are assigned; null for any other one. */
    using Finder = std::function<const cell::ServiceInstance*(const std::string& instance)>;

    /** Ledger of a leader of `term` that began to lead at `since`. */
    SlotLedger (base::Term term, base::TimePoint since, Finder finder);

    /** Sets the share of the cell's routers that ask for slots, from 0 to 1. The others run an
        earlier build and send without.
    */
    void setShare (double share) { m_share = share; }
    /** Replaces what the holder has in use and waits for, and assigns what is free. */
    void onReport (const cell::SlotReport& report, base::TimePoint now);
    /** Assigns nothing at this runner for some time, as it has declined a request. */
    void onDecline (const std::string& instance, base::UnixMilliseconds startedAt,
                    base::TimePoint now);
    /** Lets uses end whose time is over, and assigns what has become free. Called at intervals. */
    void poll (base::TimePoint now);
    /** Returns the grants made since the last call. */
    [[nodiscard]] std::vector<cell::SlotGrant> takeGrants() { return std::exchange (m_grants, {}); }

    /** Slots of the incarnation that may be in use. */
    [[nodiscard]] std::uint32_t used (const std::string& instance,
                                      base::UnixMilliseconds startedAt) const;
    /** Number of requests that wait for a slot. */
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::uint64_t granted() const { return m_granted; }

private:
    using Runner = std::pair<std::string, base::UnixMilliseconds>;  ///< Instance and its start.

    struct Use
    {
        Runner runner;
        std::uint32_t slots = 0;
        base::TimePoint end{};
    };
    /// A grant that no report of its holder has taken into account yet.
    struct UnseenGrant
    {
        cell::SlotGrant grant;
        base::TimePoint end{};
    };
    struct Claim
    {
        cell::SlotClaim content;
        base::TimePoint since{};
    };
    struct Holder
    {
        std::string router;
        std::uint64_t sequence = 0;
        std::uint64_t lastGrant = 0;
        base::TimePoint reportedAt{};
        std::vector<Use> uses;
        std::deque<UnseenGrant> unseen;
        std::map<std::uint64_t, Claim> claims;  ///< By id.
    };
    /// Order in which claims are served: priority, arrival, holder and id.
    using Order = std::tuple<std::int32_t, base::TimePoint, std::uint64_t, std::uint64_t>;

    static Order orderOf (std::uint64_t holder, const Claim& claim);
    void setUses (Holder& holder, const cell::SlotReport& report, base::TimePoint now);
    void setClaims (std::uint64_t id, Holder& holder, const cell::SlotReport& report,
                    base::TimePoint now);
    void endClaims (std::uint64_t id, Holder& holder);
    void removeClaim (std::uint64_t id, Holder& holder, std::uint64_t claim);
    /// Ends the claims and, shortly afterwards, the uses of earlier processes of this router, whose
    /// connections have closed.
    void endEarlierProcesses (std::uint64_t id, const std::string& router, base::TimePoint now);
    void add (const Runner& runner, std::uint32_t slots) { m_used[runner] += slots; }
    void subtract (const Runner& runner, std::uint32_t slots);
    void endUses (Holder& holder, base::TimePoint now);
    [[nodiscard]] std::uint32_t slotsOf (const cell::ServiceInstance& instance) const;
    /// Share of the runner's slots that is in use; none if there is no free one.
    [[nodiscard]] std::optional<double> fillOf (const std::string& instance,
                                                base::TimePoint now) const;
    /// Chooses among the free runners of a claim. Prefers the earlier one unless it is much fuller.
    [[nodiscard]] std::optional<std::string> chooseRunner (const Claim& claim,
                                                           base::TimePoint now) const;
    /// Whether the router of the holder may be waiting for grants.
    [[nodiscard]] static bool isHeard (const Holder& holder, base::TimePoint now);
    void grant (std::uint64_t id, Holder& holder, std::uint64_t claim, const std::string& instance,
                base::TimePoint now);
    void serveWaiting (const std::string& instance, base::TimePoint now);
    void serveAll (base::TimePoint now);

    base::Term m_term;
    base::TimePoint m_grantsFrom;
    Finder m_finder;
    double m_share = 1;
    std::uint64_t m_granted = 0;
    std::map<std::uint64_t, Holder> m_holders;
    std::map<Runner, std::uint32_t>
        m_used;  ///< Sum over the uses and unseen grants of all holders.
    std::map<Runner, base::TimePoint> m_pausedUntil;
    std::map<std::string, std::set<Order>> m_waiting;  ///< Claims by each of their runners.
    std::set<std::string> m_freed;  ///< Runners at which fewer slots are in use than before.
    std::vector<cell::SlotGrant> m_grants;
    base::TimePoint m_nextPollAt{};
};

}  // namespace fernlift::controller
