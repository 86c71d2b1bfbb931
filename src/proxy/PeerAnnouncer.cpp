#include "proxy/PeerAnnouncer.h"

#include <algorithm>
#include <utility>

namespace fernlift::proxy
{
namespace
{

/// Notices that wait for their answers, over all routers.
constexpr std::size_t kMaxCalls = 1000;

}  // namespace

PeerAnnouncer::PeerAnnouncer (const base::Clock& clock, http::BackEndPool& pool)
    : m_clock (clock), m_pool (pool)
{
}

void PeerAnnouncer::announce (const PeerNotice& notice, const PeerRouters& peers,
                              const std::string& router, Audience audience)
{
    const auto sendIfSupported = [&] (const PeerChoice& peer)
    {
        if (! m_unsupported.contains ({ peer.key, notice.index() }))
            send (notice, peer, router);
    };
    if (audience == Audience::kOwnZone)
        peers.visitOwnZone (sendIfSupported);
    else
        peers.visit (sendIfSupported);
}

void PeerAnnouncer::send (const PeerNotice& notice, const PeerChoice& peer,
                          const std::string& router)
{
    if (m_calls.size() >= kMaxCalls)
    {
        ++m_lost;
        return;
    }
    auto call = std::make_unique<PeerCall> (m_clock, m_pool, peer,
                                            [this, kind = notice.index()] (PeerCall& ended)
                                            { onEnd (ended, kind); });
    PeerCall& begun = *call;
    m_calls.insert (std::move (call));
    begun.start (notice, router);
}

void PeerAnnouncer::onEnd (PeerCall& call, std::size_t noticeKind)
{
    if (! call.isAnswered())
        ++m_lost;
    else if (! call.isSupported())
        m_unsupported.insert ({ call.peer().key, noticeKind });
    std::erase_if (m_calls, [&] (const auto& item) { return item.get() == &call; });
}

}  // namespace fernlift::proxy
