#pragma once

/**
 * Messages by which routers learn of each other. A router states in its hello where it accepts
 * requests of other routers. Relays report the routers behind them to the leader, which sends them
 * the whole list; each router gets the list of its group. See docs/design/peer-forwarding.md.
 *
 * Sent only to peers that support it: to a router or relay whose hello has the feature bit, and to
 * a leader that has sent the list on the same connection.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace fernlift::cell
{

/** A router that accepts requests of other routers. */
struct RouterPeer
{
    std::string router;
    std::string zone;
    std::string address;  ///< "ip:port" for requests of other routers.
    /** Drawn by the router at its start. It accepts only requests that state this key, so that only
        processes that read the list of the cell can use its address.
    */
    std::uint64_t key = 0;

    bool operator== (const RouterPeer&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& router& zone& address& key;
    }
};

/** Routers of the cell, of a group or of a relay, sorted by name. */
struct RouterPeers
{
    std::vector<RouterPeer> peers;

    bool operator== (const RouterPeers&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& peers;
    }
};

}  // namespace fernlift::cell
