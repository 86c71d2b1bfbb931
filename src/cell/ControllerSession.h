#pragma once

/// State of a router's session with the leader of its cell: selects the controller to connect to
/// and keeps the lease on the configuration. Does no I/O and uses no clock; the caller opens the
/// connections and sends the requests that poll() returns. Not thread-safe.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Random.h"
#include "base/Time.h"
#include "cell/ConfigurationLeases.h"
#include "cell/RouterMessages.h"

namespace fernlift::cell
{

/// Action of the caller: close the connection to the controller and open one to `address` (empty:
/// any other known controller).
struct ConnectController
{
    std::string address;
};

class ControllerSession
{
public:
    /// Times for which the session stays at a controller without a leader, after it had found a
    /// leader before. The controller reports a leader as soon as it has one, but may be partitioned
    /// from the leader together with other controllers.
    static constexpr base::Duration kLongLeaderWaitAfterLoss = base::milliseconds (400);
    static constexpr base::Duration kShortLeaderWaitAfterLoss = base::milliseconds (150);

    explicit ControllerSession (base::TimePoint now,
                                base::Duration leaderWaitLimitAfterLoss = kLongLeaderWaitAfterLoss)
        : m_leaderWaitLimitAfterLoss (leaderWaitLimitAfterLoss), m_connectAt (now)
    {
    }

    void onConnected (base::TimePoint now);
    void onLost (base::TimePoint now, base::Random& random);
    /// Connects to the leader that the controller names. The session stays for a short time at a
    /// controller that names none, because it sends another reply as soon as it has a leader.
    void onNotLeader (const NotLeaderReply& reply, base::TimePoint now, base::Random& random);
    void onGrant (const LeaseGrant& grant);
    /// Leaves the controller and connects to `address` immediately.
    void goTo (const std::string& address, base::TimePoint now) { scheduleConnect (now, address); }
    /// A message of any kind was received from the controller. A controller that sends is alive,
    /// even if it cannot grant leases for a moment. If routers left it, all of them would reconnect
    /// to it at the same time.
    void onMessageReceived (base::TimePoint now) { m_lastMessageAt = now; }
    /// The next call of poll() requests a lease, for example because the replica table has a gap.
    void requestSoon (base::TimePoint now);

    /// The first call of poll() at or after `at` requests a lease, unless one is requested earlier.
    void requestBy (base::TimePoint at);

    /// Returns the action that is due: a connection to open, or a lease request to send.
    [[nodiscard]] std::optional<std::variant<ConnectController, LeaseRequest>> poll (
        base::TimePoint now);

    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Term of the leader that granted the last lease; 0 before the first lease.
    [[nodiscard]] base::Term term() const { return m_highestTerm; }
    /// Whether the router may serve under the configuration that it holds. A lease on a newer
    /// configuration does not count.
    [[nodiscard]] bool hasLease (base::TimePoint now, std::uint64_t heldVersion,
                                 const std::string& heldDigest) const;
    [[nodiscard]] base::TimePoint leaseEnd() const { return m_lease.until; }
    /// Latest end of a lease on the configuration held or on an earlier one. Both kinds allow
    /// serving under the configuration held.
    [[nodiscard]] base::TimePoint leaseEnd (std::uint64_t heldVersion) const
    {
        return m_leases.endUpTo (heldVersion);
    }

private:
    struct Lease
    {
        std::uint64_t version = 0;
        std::string digest;
        base::TimePoint until{};
    };

    void scheduleConnect (base::TimePoint at, std::string address);

    base::Duration m_leaderWaitLimitAfterLoss;
    bool m_isConnected = false;
    std::optional<base::TimePoint>
        m_connectAt;  ///< Time to open a connection; empty while connected.
    std::string m_connectAddress;
    base::TimePoint m_requestAt{};
    base::TimePoint m_lastMessageAt{};  ///< Time of the last message from the connected controller.
    base::Duration m_requestInterval = base::milliseconds (600);
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, base::TimePoint>
        m_unanswered;  ///< Send times of unanswered requests by sequence.
    base::Term m_highestTerm = 0;
    Lease m_lease;  ///< Lease on the newest configuration.
    ConfigurationLeases m_leases;
};

}  // namespace fernlift::cell
