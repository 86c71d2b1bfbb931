#include "controller/RouterPeerGroups.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "base/HashToUnitInterval.h"

namespace fernlift::controller
{
namespace
{

std::size_t groupAmong (std::string_view router, std::size_t groups)
{
    const double position =
        base::hashToUnitInterval (std::string (router)) * static_cast<double> (groups);
    return std::min (static_cast<std::size_t> (position), groups - 1);
}

}  // namespace

std::size_t RouterPeerGroups::groupOf (std::string_view router) const
{
    return groupAmong (router, std::max<std::size_t> (m_groups.size(), 1));
}

void RouterPeerGroups::set (cell::RouterPeers all)
{
    m_all = std::move (all);
    ++m_version;
    // A power of two, so that the number of groups changes rarely as the cell grows.
    const std::size_t fullGroups = (m_all.peers.size() + kMaxMeanSize - 1) / kMaxMeanSize;
    const std::size_t count = std::bit_ceil (std::max<std::size_t> (fullGroups, 1));
    std::vector<cell::RouterPeers> divided (count);
    for (const cell::RouterPeer& peer : m_all.peers)
        divided[groupAmong (peer.router, count)].peers.push_back (peer);
    const bool isSameNumber = m_groups.size() == count;
    m_groups.resize (count);
    for (std::size_t group = 0; group < count; ++group)
    {
        if (isSameNumber && m_groups[group].members == divided[group])
            continue;
        m_groups[group] = { std::move (divided[group]), m_version };
    }
}

}  // namespace fernlift::controller
