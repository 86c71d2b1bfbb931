#include "controller/RouterPeerTable.h"

#include <string>
#include <utility>

namespace fernlift::controller
{

void RouterPeerTable::set (SessionId session, std::vector<cell::RouterPeer> peers)
{
    const auto found = m_sessions.find (session);
    const bool isUnchanged =
        found == m_sessions.end() ? peers.empty() : found->second.peers == peers;
    if (isUnchanged)
        return;
    ++m_version;
    if (peers.empty())
        m_sessions.erase (found);
    else
        m_sessions[session] = { m_version, std::move (peers) };
}

cell::RouterPeers RouterPeerTable::all() const
{
    std::map<std::string, std::pair<std::uint64_t, const cell::RouterPeer*>> newest;
    for (const auto& [session, entry] : m_sessions)
    {
        for (const cell::RouterPeer& peer : entry.peers)
        {
            auto& known = newest[peer.router];
            if (entry.setAt > known.first)
                known = { entry.setAt, &peer };
        }
    }
    cell::RouterPeers all;
    for (const auto& [router, known] : newest)
        all.peers.push_back (*known.second);
    return all;
}

}  // namespace fernlift::controller
