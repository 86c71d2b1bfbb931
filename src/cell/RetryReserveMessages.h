#pragma once

/**
 * Messages by which the leader divides the cell's reserve of retries among the routers. A router
 * requests a share of the reserve for a limited time; controllers that do not lead forward the
 * requests. See docs/design/retry-reserve.md.
 *
 * A controller that grants shares sends empty RetryReserveGrants first on a connection whose hello
 * has the feature bit. Requests are sent only to such a controller.
 */

#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <vector>

namespace fernlift::cell
{

/** Requests a share of the reserve until the lifetime of the grant after this request was SENT. */
struct RetryReserveRequest
{
    std::uint64_t holder = 0;    ///< Drawn by the router at its start; never used again.
    std::uint64_t sequence = 0;  ///< Increases with each request of the holder.
    double heldShare = 0;        ///< Share that the holder may still use, from 0 to 1.
    double minShare = 0;         ///< Share that is worth one retry; a smaller one is of no use.
    /** Whether the holder had no budget for a retry since its last request. */
    bool isShort = false;

    bool operator== (const RetryReserveRequest&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& holder& sequence& heldShare& minShare& isShort;
    }
};

/** One request of a router, or those that a relay received since its last message of this type. */
struct RetryReserveRequests
{
    std::vector<RetryReserveRequest> requests;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& requests;
    }
};

/** Answer to the request of this holder and sequence. The holder ignores answers to earlier
   requests than its last one, and gives up what it held beyond the share.
*/
struct RetryReserveGrant
{
    std::uint64_t holder = 0;
    std::uint64_t sequence = 0;
    double share = 0;  ///< From 0 to 1.
    /** Share that the holder gets once the shares of others have been reduced or have ended. */
    double equalShare = 0;
    std::int64_t lifetimeMilliseconds = 0;

    bool operator== (const RetryReserveGrant&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& holder& sequence& share& equalShare& lifetimeMilliseconds;
    }
};

struct RetryReserveGrants
{
    std::vector<RetryReserveGrant> grants;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& grants;
    }
};

}  // namespace fernlift::cell
