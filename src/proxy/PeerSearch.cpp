#include "proxy/PeerSearch.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

/// Longest search; a shorter deadline shortens it.
constexpr base::Duration kMaxSearchTime = base::seconds (1);
/// Routers that cannot reach the runners of a request, after which no other one is asked.
constexpr std::uint32_t kMaxWithoutRunner = 2;
/// Routers that a request asks although they are known to be isolated, in case their paths are
/// back.
constexpr std::uint32_t kMaxIsolated = 1;
/// Time for which requests for the same runners are not forwarded after other routers could not
/// serve one.
constexpr base::Duration kUnservableTime = base::milliseconds (500);

/// Time for which the router is not chosen again.
base::Duration avoidanceAfter (PeerDecline reason)
{
    switch (reason)
    {
        case PeerDecline::kIsolated:
        case PeerDecline::kFailed:
            return base::milliseconds (300);
        case PeerDecline::kUnavailable:
            return base::milliseconds (200);
        case PeerDecline::kUnreachable:
            return base::seconds (1);
        case PeerDecline::kNoRunner:
            break;
    }
    return base::Duration::zero();
}

}  // namespace

std::optional<PeerChoice> PeerSearch::next (const PeerRouters& peers, const std::string& target,
                                            double draw, base::TimePoint now,
                                            base::TimePoint deadline)
{
    if (! m_end)
        m_end = now + std::min<base::Duration> (kMaxSearchTime, (deadline - now) / 2);
    if (now > *m_end || m_withoutRunner >= kMaxWithoutRunner || peers.isUnservable (target, now))
        return std::nullopt;
    std::optional<PeerChoice> peer = peers.choose (m_tried, draw, now);
    if (peer && peer->isIsolated && ++m_askedIsolated > kMaxIsolated)
        return std::nullopt;
    return peer;
}

void PeerSearch::onDeclined (PeerRouters& peers, const std::string& router, PeerDecline reason,
                             const std::string& target, base::TimePoint now)
{
    m_tried.insert (router);
    peers.avoid (router, now + avoidanceAfter (reason));
    if (reason == PeerDecline::kIsolated)
        peers.onIsolated (router, now);
    else if (reason == PeerDecline::kNoRunner && ++m_withoutRunner == kMaxWithoutRunner)
        peers.onUnservable (target, now + kUnservableTime);
}

}  // namespace fernlift::proxy
