#pragma once

/**
 * How far a forwarding router may rely on the configuration and the table of runners that it holds.
 *
 * A leader acknowledges a change once every router has it or the lease of the router is over. So a
 * router may serve until the end of its lease and a grace, which has to be shorter than the time in
 * which a change must be in force. After that it holds requests for a moment, in which it usually
 * hears from a leader again, and then refuses them as not run. A router that no controller can be
 * reached from serves on for longer: then most likely all controllers are down, and nobody takes a
 * change.
 */

#include <cstdint>

#include "base/Time.h"

namespace fernlift::proxy
{

enum class Freshness : std::uint8_t
{
    kConfirmed,    ///< Requests are served.
    kUnconfirmed,  ///< Requests wait: a leader may be found in a moment.
    kExpired,      ///< Requests are refused as not run.
};

/// For logs, for example "unconfirmed".
[[nodiscard]] const char* nameOf (Freshness freshness);

/** Pure: time is passed in. Threading: none; owned by one ProxyProcess. */
class ConfigurationFreshness
{
public:
    struct Limits
    {
        base::Duration grace{};          ///< After the end of the lease.
        base::Duration isolatedGrace{};  ///< The same while no controller can be reached.
    };

    explicit ConfigurationFreshness (const Limits& limits) : m_limits (limits) {}

    /** A configuration was put in force. The first one counts as confirmed at that time, although
       no leader may have said so: a router that has just started serves with the last known state.
    */
    void onTaken (base::TimePoint now);
    /** End of the latest lease that covers the configuration held. */
    void onLease (base::TimePoint end);
    /** A controller took a connection or sent something. */
    void onContact() { m_failedAttempts = 0; }
    /** A connection to a controller is tried, because there is none. */
    void onConnectionTried() { ++m_failedAttempts; }

    [[nodiscard]] Freshness at (base::TimePoint now) const;
    /** Time since the end of the lease; zero while it lasts. */
    [[nodiscard]] base::Duration unconfirmedFor (base::TimePoint now) const;

private:
    [[nodiscard]] bool isIsolated() const;

    Limits m_limits;
    base::TimePoint m_confirmedUntil{};  ///< Never goes back. Zero: nothing is held.
    std::uint32_t m_failedAttempts = 0;  ///< Since the last contact.
};

}  // namespace fernlift::proxy
