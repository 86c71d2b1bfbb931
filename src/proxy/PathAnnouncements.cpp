#include "proxy/PathAnnouncements.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::Duration kRepeatInterval = base::seconds (5);
static_assert (2 * kRepeatInterval < PeerRouters::kPathLifetime, "one repetition may be lost");
/// Limits the probes that a doubt causes at the other routers of the zone.
constexpr base::Duration kMinDoubtInterval = base::seconds (1);

}  // namespace

std::optional<PeerPath> PathAnnouncements::takeDue (const RunnerReachability& reachability,
                                                    base::TimePoint now)
{
    // A path that is returning may fail again; this router serves nothing for others until then.
    const bool isOpen = reachability.path (now) == RunnerPath::kOpen;
    const PeerPath path = isOpen ? PeerPath::kOpen : PeerPath::kIsolated;
    const bool isRepeatDue = ! isOpen && now - m_statedAt >= kRepeatInterval;
    if (path == m_stated && ! isRepeatDue)
        return std::nullopt;
    m_stated = path;
    m_statedAt = now;
    return path;
}

std::optional<PeerPath> PathAnnouncements::takeDoubt (const RunnerReachability& reachability,
                                                      base::TimePoint now)
{
    const bool isInDoubt =
        reachability.path (now) == RunnerPath::kOpen && reachability.isInDoubt (now);
    if (! isInDoubt || now - m_doubtStatedAt < kMinDoubtInterval)
        return std::nullopt;
    m_doubtStatedAt = now;
    return PeerPath::kInDoubt;
}

bool applyPathNotice (PeerRouters& peers, RunnerReachability& reachability,
                      const std::string& router, PeerPath path, base::TimePoint now)
{
    const bool wasIsolated = peers.isIsolated (router, now);
    switch (path)
    {
        case PeerPath::kOpen:
            peers.onServing (router, now);
            return false;
        case PeerPath::kIsolated:
            peers.onIsolated (router, now);
            if (wasIsolated)
                return false;
            break;
        case PeerPath::kInDoubt:
            break;
    }
    if (! peers.isInOwnZone (router))
        return false;
    reachability.onDoubtOfPeer (now);
    return true;
}

}  // namespace fernlift::proxy
