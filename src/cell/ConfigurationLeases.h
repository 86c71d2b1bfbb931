#pragma once

/**
 * The leases of one router on configurations, as the leader that granted them and as the router
 * itself keep them.
 *
 * A lease names the configuration in force when it was granted. It lets the router serve under that
 * configuration or a later one, never under an earlier one. A leader that waits for the end of all
 * leases on earlier configurations knows that no router serves under them, heard from or not.
 */

#include <cstdint>
#include <map>

#include "base/Time.h"

namespace fernlift::cell
{

/** Pure: time is passed in. Threading: none. */
class ConfigurationLeases
{
public:
    /** Notes a lease on `version` that ends at `until`, and forgets those that are over at `now`.
     */
    void extend (std::uint64_t version, base::TimePoint until, base::TimePoint now);

    /** Latest end of a lease on a version up to `version`: until then the holder of `version` may
       serve. The begin of time without one.
    */
    [[nodiscard]] base::TimePoint endUpTo (std::uint64_t version) const;

    /** Whether a lease on a version below `version` is not over. */
    [[nodiscard]] bool isHeldBelow (std::uint64_t version, base::TimePoint now) const;

    /** Whether every lease is over. */
    [[nodiscard]] bool isOver (base::TimePoint now) const;

private:
    std::map<std::uint64_t, base::TimePoint> m_ends;  ///< Latest end by version.
};

}  // namespace fernlift::cell
