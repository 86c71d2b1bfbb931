#pragma once

/**
 * The configuration leases of one router. Used both by the leader that grants them and by the
 * router that holds them.
 *
 * A lease names the configuration that was in force when the lease was granted. It allows the
 * router to serve under that configuration or a later one, but not under an earlier one. Once all
 * leases on earlier configurations have ended, no router serves under those configurations, even
 * if the leader cannot reach the router.
 */

#include <cstdint>
#include <map>

#include "base/Time.h"

namespace fernlift::cell
{

/** Uses no clock of its own: time is passed in. Not thread-safe. */
class ConfigurationLeases
{
public:
    /** Adds a lease on `version` that ends at `until`, and removes the leases that ended by `now`.
     */
    void extend (std::uint64_t version, base::TimePoint until, base::TimePoint now);

    /** Latest end of a lease on `version` or an earlier version. A router that holds `version` may
       serve until then. Returns a default-constructed TimePoint without such a lease.
    */
    [[nodiscard]] base::TimePoint endUpTo (std::uint64_t version) const;

    /** Whether a lease on a version below `version` is still valid. */
    [[nodiscard]] bool isHeldBelow (std::uint64_t version, base::TimePoint now) const;

    /** Whether every lease has ended. */
    [[nodiscard]] bool isOver (base::TimePoint now) const;

private:
    std::map<std::uint64_t, base::TimePoint> m_ends;  ///< Latest end of a lease, by version.
};

}  // namespace fernlift::cell
