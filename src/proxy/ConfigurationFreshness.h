#pragma once

/**
 * Determines how far a forwarding router may rely on its configuration and its table of runners.
 *
 * A leader acknowledges a change once every router has it or the lease of the router has expired. A
 * router may therefore serve until the end of its lease plus a grace period, which has to be
 * shorter than the time in which a change must be in force. After that it holds requests for a
 * short time, in which it usually receives a lease from a leader again, and then refuses them as
 * not executed. A router that reaches no controller serves for longer, because most likely all
 * controllers are down and no change can be acknowledged.
 */

#include <cstdint>

#include "base/Time.h"

namespace fernlift::proxy
{

enum class Freshness : std::uint8_t
{
    kConfirmed,    ///< Requests are served.
    kUnconfirmed,  ///< Requests wait, because a leader may be found soon.
    kExpired,      ///< Requests are refused as not executed.
};

/// Text for logs, for example "unconfirmed".
[[nodiscard]] const char* toString (Freshness freshness);

/** Pure: time is passed in. Threading: none; owned by one ProxyProcess. */
class ConfigurationFreshness
{
public:
    struct Limits
    {
        base::Duration grace{};          ///< Grace period after the end of the lease.
        base::Duration isolatedGrace{};  ///< Grace period while no controller can be reached.
    };

    explicit ConfigurationFreshness (const Limits& limits) : m_limits (limits) {}

    /** Called when a configuration was put in force. The first one counts as confirmed at that time
        even without a leader, so that a router that has just started serves with the last known
        state.
    */
    void onApplied (base::TimePoint now);
    /** Called with the end of the latest lease that covers the held configuration. */
    void onLease (base::TimePoint end);
    /** Called when a controller accepted a connection or sent a message. */
    void onContact() { m_failedAttempts = 0; }
    /** Called when a connection to a controller is attempted because there is none. */
    void onConnectionTried() { ++m_failedAttempts; }

    [[nodiscard]] Freshness at (base::TimePoint now) const;
    /** Time since the end of the lease; zero before it. */
    [[nodiscard]] base::Duration unconfirmedFor (base::TimePoint now) const;

private:
    [[nodiscard]] bool isIsolated() const;

    Limits m_limits;
    base::TimePoint m_confirmedUntil{};  ///< Never decreases. Zero: no configuration is held.
    std::uint32_t m_failedAttempts = 0;  ///< Connection attempts since the last contact.
};

}  // namespace fernlift::proxy
