#pragma once

/**
 * Messages by which routers draw on the quotas of tenants: a router asks its controller, a
 * controller that does not lead asks the leader. See docs/design/quotas.md.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace fernlift::cell
{

/** Units of one limit that are asked for. */
struct QuotaNeed
{
    std::string account;                ///< Tenant, or what else has a limit.
    std::vector<std::uint64_t> claims;  ///< Units of each request that waits, the oldest first.

    bool operator== (const QuotaNeed&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& account& claims;
    }
};

struct QuotaRequest
{
    std::uint64_t sequence = 0;  ///< Of the sender, on this connection.
    std::vector<QuotaNeed> needs;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& needs;
    }
};

/** Units that the receiver may use, and nobody else. */
struct QuotaAllowance
{
    std::string account;
    std::uint64_t units = 0;  ///< Of all claims that are granted; each is whole or not at all.
    /// They may be used until this long after the request was SENT; then they are lost.
    std::int64_t lifetimeMilliseconds = 0;
    /// When not all claims could be granted: until the others can be, if nobody comes before.
    std::int64_t waitMilliseconds = 0;

    bool operator== (const QuotaAllowance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& account& units& lifetimeMilliseconds& waitMilliseconds;
    }
};

/** Answer to the request of that sequence: one allowance for each need, also of 0 units. */
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
