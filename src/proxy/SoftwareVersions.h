#pragma once

/**
 * Software versions of the runners of each service, with those that are gone. Streams that a runner
 * of such a version began may still go on.
 *
 * A router knows the past from the controllers, which state it with the table of runners, and from
 * what it has observed itself since then. Where neither covers a time, the versions of that time
 * are unknown.
 */

#include <optional>
#include <string>
#include <variant>

#include "base/Time.h"
#include "cell/SoftwareHistoryMessage.h"
#include "cell/SoftwareVersionUses.h"

namespace fernlift::proxy
{

/** The runners state no versions. */
struct NoSoftwareVersion
{
    bool operator== (const NoSoftwareVersion&) const = default;
};

/** All runners have, or had, the same version. */
struct OneSoftwareVersion
{
    std::string version;

    bool operator== (const OneSoftwareVersion&) const = default;
};

struct SeveralSoftwareVersions
{
    bool operator== (const SeveralSoftwareVersions&) const = default;
};

/** Versions may be missing: the router doesn't know all of the time in question. */
struct UnknownSoftwareVersions
{
    bool operator== (const UnknownSoftwareVersions&) const = default;
};

using SoftwareVersionsInUse = std::variant<NoSoftwareVersion, OneSoftwareVersion,
                                           SeveralSoftwareVersions, UnknownSoftwareVersions>;

/** Pure. Threading: none; owned by one InstanceDirectory. */
class SoftwareVersions
{
public:
    /** Time without a controller after which the router may have missed a version. Other routers
        send their notices to it for a little longer.
    */
    static constexpr base::Duration kMaxUnconfirmed = base::seconds (8);
    /** Time for which a router may still send requests to a runner that has left the table of
        another one.
    */
    static constexpr base::Duration kMaxTableLag = base::seconds (5);
    /** Time within which a controller that answers again sends the changes that the router missed.
     */
    static constexpr base::Duration kMaxUpdateDelay = base::seconds (2);

    /** Records that a runner of this version is listed. A runner that states none (empty) has no
        effect.
    */
    void add (const std::string& service, const std::string& version);
    /** Records that a listed runner of this version isn't any more. */
    void remove (const std::string& service, const std::string& version, base::TimePoint now);

    /** Records what a controller stated about the past together with the table. */
    void onHistory (const cell::SoftwareHistory& history, base::TimePoint now);
    /** Records that a controller granted a lease, so that it sends the changes of the table.
       Returns whether it is the first one, or the first one after a gap.
    */
    bool onLease (base::TimePoint now);

    /** The versions of all runners that may have received a request at any time since `since`. */
    [[nodiscard]] SoftwareVersionsInUse inUseSince (const std::string& service,
                                                    base::TimePoint since,
                                                    base::TimePoint now) const;

    /** Whether unknown versions may become known soon: the controllers have not answered yet, or
       not for so long that all changes have arrived.
    */
    [[nodiscard]] bool isAwaitingControllers (base::TimePoint now) const;

    /** Whether a runner of the service has the version. */
    [[nodiscard]] bool isListed (const std::string& service, const std::string& version) const
    {
        return m_uses.isListed (service, version);
    }

private:
    [[nodiscard]] bool isConfirmed (base::TimePoint now) const
    {
        return now - m_confirmedAt <= kMaxUnconfirmed;
    }

    cell::SoftwareVersionUses m_uses;  ///< Times are milliseconds of base::TimePoint.
    /// Last time at which the table was known to have all changes but those under way.
    base::TimePoint m_confirmedAt{};
    std::optional<base::TimePoint> m_leaseAt;  ///< Time of the last lease.
    base::TimePoint m_leasesBeganAt{};  ///< Begin of the leases without a gap up to the last one.
};

}  // namespace fernlift::proxy
