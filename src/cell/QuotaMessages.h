#pragma once

/**
 * Messages by which routers request units of the quotas of tenants. A router sends its request to
 * its controller; a controller that does not lead requests the units from the leader. See
 * docs/design/quotas.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace fernlift::cell
{

/** Units requested from one limit. */
struct QuotaNeed
{
    std::string account;                ///< Tenant, or another holder of a limit.
    std::vector<std::uint64_t> claims;  ///< Units of each waiting request, oldest first.

    bool operator== (const QuotaNeed&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& account& claims;
    }
};

struct QuotaRequest
{
    std::uint64_t sequence = 0;  ///< Sequence number of the sender on this connection.
    std::vector<QuotaNeed> needs;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& needs;
    }
};

/** Units for the exclusive use of the receiver. */
struct QuotaAllowance
{
    std::string account;
    std::uint64_t units = 0;  ///< Sum of the granted claims; no claim is granted in part.
    /// Time after the request was SENT at which unused units expire.
    std::int64_t lifetimeMilliseconds = 0;
    /// If not all claims were granted: estimated time until the others can be granted, assuming no
    /// competing requests.
    std::int64_t waitMilliseconds = 0;

    bool operator== (const QuotaAllowance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& account& units& lifetimeMilliseconds& waitMilliseconds;
    }
};

/** Answer to the QuotaRequest with the same sequence: one allowance per need, possibly of 0 units.
 */
struct QuotaGrant
{
    std::uint64_t sequence = 0;
    std::vector<QuotaAllowance> allowances;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& allowances;
    }
};

}  // namespace fernlift::cell
