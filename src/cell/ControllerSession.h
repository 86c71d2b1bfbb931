#pragma once

/// The router's connection to the leader of its cell: which controller to talk to, and the lease on
/// the configuration.

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

/// Close the connection to the controller and open one to `address` (empty: any other that is
/// known).
struct ConnectController
{
    std::string address;
};

class ControllerSession
{
public:
    /// How long a controller that knows no leader is kept, after one had been found before: it
    /// tells as soon as it knows one, but may be cut off from it together with others.
    static constexpr base::Duration kPatientAfterLoss = base::milliseconds (400);
    static constexpr base::Duration kQuickAfterLoss = base::milliseconds (150);

    explicit ControllerSession (base::TimePoint now,
                                base::Duration leaderNewsLimitAfterLoss = kPatientAfterLoss)
        : m_leaderNewsLimitAfterLoss (leaderNewsLimitAfterLoss), m_connectAt (now)
    {
    }

    void onConnected (base::TimePoint now);
    void onLost (base::TimePoint now, base::Random& random);
    /// Goes to the leader that the controller names. One that knows none is kept for a moment: it
    /// sends another reply as soon as it knows.
    void onNotLeader (const NotLeaderReply& reply, base::TimePoint now, base::Random& random);
    void onGrant (const LeaseGrant& grant);
    /// Leaves the controller for another one, at once.
    void goTo (const std::string& address, base::TimePoint now) { scheduleConnect (now, address); }
    /// Anything came from the controller. One that sends is alive, even when it may grant no lease
    /// for a moment: leaving it would only bring all routers back to it at once.
    void onHeard (base::TimePoint now) { m_heardAt = now; }
    /// The next call of `poll` asks for a lease, for example because the replica table has a gap.
    void requestSoon (base::TimePoint now);

    /// The next call of `poll` at that time or later asks for a lease, if none does earlier.
    void requestBy (base::TimePoint at);

    /// What is due: a connection to open, or a lease request to send.
    [[nodiscard]] std::optional<std::variant<ConnectController, LeaseRequest>> poll (
        base::TimePoint now);

    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Of the leader that granted the last lease; 0 before the first.
    [[nodiscard]] base::Term term() const { return m_highestTerm; }
    /// Whether the configuration held may be served from. A grant for a newer one does not count.
    [[nodiscard]] bool hasLease (base::TimePoint now, std::uint64_t heldVersion,
                                 const std::string& heldDigest) const;
    [[nodiscard]] base::TimePoint leaseEnd() const { return m_lease.until; }
    /// Latest end of a lease that covers the configuration held: one on it or on an earlier one.
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

    base::Duration m_leaderNewsLimitAfterLoss;
    bool m_isConnected = false;
    std::optional<base::TimePoint> m_connectAt;  ///< Set while a connection is wanted.
    std::string m_connectAddress;
    base::TimePoint m_requestAt{};
    base::TimePoint m_heardAt{};  ///< Last message of the controller that is connected.
    base::Duration m_requestInterval = base::milliseconds (600);
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, base::TimePoint> m_unanswered;  ///< By sequence; when it was sent.
    base::Term m_highestTerm = 0;
    Lease m_lease;  ///< On the latest configuration named.
    ConfigurationLeases m_leases;
};

}  // namespace fernlift::cell
