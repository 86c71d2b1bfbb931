#pragma once

/**
 * Addresses at which routers accept requests of other routers, as learned through the sessions of
 * one controller: from routers themselves and from relays.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "cell/RouterPeerMessages.h"
#include "controller/RouterSessions.h"

namespace fernlift::controller
{

/** Pure. Threading: none; owned by one ControllerCore. */
class RouterPeerTable
{
public:
    /** Replaces the routers known through a session. */
    void set (SessionId session, std::vector<cell::RouterPeer> peers);
    /** Drops the routers known through a session that has ended. */
    void remove (SessionId session) { set (session, {}); }
    /** Rises with each change; never 0. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /** Returns each router once, sorted by name. A router that is known through several sessions
       has the address of the session that reported it last.
    */
    [[nodiscard]] cell::RouterPeers all() const;

private:
    struct Entry
    {
        std::uint64_t setAt = 0;  ///< Version in which the entry was set.
        std::vector<cell::RouterPeer> peers;
    };

    std::uint64_t m_version = 1;
    std::map<SessionId, Entry> m_sessions;
};

}  // namespace fernlift::controller
