#pragma once

/**
 * Slots of runners in brittle services at a controller that does not lead: it forwards the reports
 * of its routers to the leader and the grants to the routers.
 *
 * It keeps the last report of each router, also of one that is disconnected, for as long as its
 * requests may be open, and sends them to a new leader, which counts what they have in use.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "cell/SlotMessages.h"

namespace fernlift::controller
{

/** State of the lists of brittle services that a leader or relay sends to its routers. */
struct BrittleUpdateState
{
    std::uint64_t sentVersion = 1;  ///< Version last sent to all; version 1 is empty.
};

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class SlotRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection of the router.
        cell::SlotGrants grants;
    };

    /** Handles the end or replacement of the connection to the leader. A leader that assigns slots
        sends its list before any other message.
    */
    void onLeaderLost();
    /** Handles another message of the leader. If no list came before it, the leader assigns no
        slots.
    */
    void onOtherMessage();
    void onServices (const cell::BrittleServices& services, base::TimePoint now);
    /** Sets the list that this member had as leader. */
    void setServices (cell::BrittleServices services) { m_services = std::move (services); }
    [[nodiscard]] const cell::BrittleServices& services() const { return m_services; }
    /** Increases with each change of the list; starts at 1. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    void onReports (std::uint64_t router, const cell::SlotReports& reports, base::TimePoint now);
    void onRouterDisconnected (std::uint64_t router);
    /** Returns what is due for the leader; none while it has not stated that it assigns slots. */
    [[nodiscard]] std::optional<cell::SlotReports> takeReports (base::TimePoint now);
    /** Returns the grants for routers that are connected. */
    [[nodiscard]] std::vector<Answer> onGrants (const cell::SlotGrants& grants,
                                                base::TimePoint now);
    /** Returns the reports of all routers, as of now, for a ledger of this member. */
    [[nodiscard]] std::vector<cell::SlotReport> reports (base::TimePoint now) const;

private:
    struct Kept
    {
        cell::SlotReport report;
        base::TimePoint receivedAt{};
        std::optional<std::uint64_t> router;  ///< Connection; none: the router is disconnected.
        bool isDue = false;                   ///< Not forwarded yet.
    };

    /// The report with its times as of `now`. If the router is disconnected, without claims and
    /// without grants that are still on their way.
    [[nodiscard]] static cell::SlotReport reportOf (const Kept& kept, base::TimePoint now);
    /// Adds the grant to the last report of its holder, which may already use it.
    void keepGrant (const cell::SlotGrants& grants, const cell::SlotGrant& grant,
                    base::TimePoint now);
    void removeEnded (base::TimePoint now);

    cell::BrittleServices m_services;
    std::uint64_t m_version = 1;
    std::optional<bool> m_leaderGrants;    ///< None before the leader's first message.
    std::map<std::uint64_t, Kept> m_kept;  ///< By holder.
    std::vector<cell::BrittleStatement> m_statements;
};

}  // namespace fernlift::controller
