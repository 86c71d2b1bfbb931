#include "controller/CellFormation.h"

#include <QHostAddress>
#include <algorithm>

namespace fernlift::controller
{
namespace
{

constexpr std::uint64_t kPortBits = 16;
/// Drawn identities are greater than every identity derived from an address, and within the range
/// of the setting.
constexpr std::uint64_t kDrawnIdBase = 1ULL << 49U;
constexpr std::uint64_t kDrawnIdRange = 1ULL << 49U;

bool holdsState (const storage::Recovered& recovered)
{
    return ! recovered.hardState.empty() || ! recovered.entries.empty()
           || recovered.snapshot.lastIndex != 0;
}

const base::SocketAddress* ownSeed (const ControllerSettings& settings)
{
    const auto found = std::ranges::find (settings.seeds, settings.controlAddress);
    return found == settings.seeds.end() ? nullptr : &*found;
}

std::string memberText (const ControllerSettings& settings, const base::SocketAddress& seed)
{
    const base::SocketAddress peer{ seed.host, static_cast<std::uint16_t> (settings.seedPeerPort) };
    return std::to_string (foundingId (seed)) + "=" + peer.toString() + "=" + seed.toString() + "=";
}

}  // namespace

base::MemberId foundingId (const base::SocketAddress& seed)
{
    const std::uint64_t host = QHostAddress (QString::fromStdString (seed.host)).toIPv4Address();
    return ((host << kPortBits) | seed.port) + 1;
}

consensus::Member selfMember (const ControllerSettings& settings)
{
    consensus::Member member;
    member.id = static_cast<base::MemberId> (settings.id);
    member.peerAddress = settings.peerAddress.toString();
    member.adminAddress = settings.controlAddress.toString();
    member.zone = settings.zone;
    member.isVoter = false;
    return member;
}

std::vector<base::SocketAddress> seedPeers (const ControllerSettings& settings)
{
    std::vector<base::SocketAddress> peers;
    for (const base::SocketAddress& seed : settings.seeds)
    {
        peers.push_back ({ seed.host, static_cast<std::uint16_t> (settings.seedPeerPort) });
    }
    return peers;
}

ControllerSettings withIdentity (const ControllerSettings& settings,
                                 const storage::Recovered& recovered, std::uint64_t randomId)
{
    ControllerSettings own = settings;
    const base::SocketAddress* seed = ownSeed (settings);
    const bool mayFound = settings.isBootstrap && seed != nullptr && ! holdsState (recovered);
    const bool isFounder =
        mayFound && (recovered.memberId == 0 || recovered.memberId == foundingId (*seed));
    own.isFounding = settings.isBootstrap && ! holdsState (recovered);
    own.isBootstrap = isFounder;
    own.isJoining = ! isFounder && ! holdsState (recovered);
    if (isFounder)
    {
        own.id = static_cast<std::int64_t> (foundingId (*seed));
        for (const base::SocketAddress& each : settings.seeds)
        {
            own.members.push_back (memberText (settings, each));
        }
    }
    else if (recovered.memberId != 0)
    {
        own.id = static_cast<std::int64_t> (recovered.memberId);
    }
    else
    {
        own.id = static_cast<std::int64_t> (kDrawnIdBase + randomId % kDrawnIdRange);
    }
    return own;
}

std::vector<consensus::Member> seedContacts (const ControllerSettings& settings)
{
    std::vector<consensus::Member> contacts;
    for (const base::SocketAddress& peer : seedPeers (settings))
    {
        if (peer == settings.peerAddress)
            continue;
        consensus::Member contact;
        contact.peerAddress = peer.toString();
        contacts.push_back (contact);
    }
    return contacts;
}

}  // namespace fernlift::controller
