#include "proxy/StreamFetcher.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "proxy/StreamPage.h"

namespace fernlift::proxy
{
namespace
{

/// Above the time after which the other routers have learned that a router has started.
constexpr base::Duration kRoundInterval = base::seconds (2);

}  // namespace

void StreamFetcher::begin()
{
    m_roundsLeft = kRounds;
    m_wanted = 0;
    m_nextRoundAt = m_clock.now();
}

void StreamFetcher::poll (const PeerRouters& peers, const std::string& router)
{
    if (peers.size() == 0)
        return;
    const base::TimePoint now = m_clock.now();
    if (m_roundsLeft > 0 && now >= m_nextRoundAt)
    {
        --m_roundsLeft;
        m_nextRoundAt = now + kRoundInterval;
        m_router = router;
        m_asked.clear();
        m_wanted = kAnswersPerRound;
    }
    while (m_wanted > 0 && m_asked.size() < kMaxAskedPerRound && askAnother (peers))
        --m_wanted;
}

bool StreamFetcher::askAnother (const PeerRouters& peers)
{
    std::vector<PeerChoice> others;
    peers.visit (
        [&] (const PeerChoice& peer)
        {
            if (! m_asked.contains (peer.router))
                others.push_back (peer);
        });
    if (others.empty())
        return false;
    const auto last = static_cast<std::int64_t> (others.size()) - 1;
    const PeerChoice& chosen = others[static_cast<std::size_t> (m_random.uniformInteger (0, last))];
    m_asked.insert (chosen.router);
    ask (chosen, {});
    return true;
}

void StreamFetcher::ask (const PeerChoice& peer, const std::string& after)
{
    auto call = std::make_unique<PeerCall> (m_clock, m_pool, peer,
                                            [this] (PeerCall& ended) { onEnd (ended); });
    PeerCall& begun = *call;
    m_calls.insert (std::move (call));
    begun.start (StreamQuery{ after }, m_router);
}

void StreamFetcher::onEnd (PeerCall& call)
{
    if (! take (call))
        ++m_wanted;
    std::erase_if (m_calls, [&] (const auto& item) { return item.get() == &call; });
}

bool StreamFetcher::take (const PeerCall& call)
{
    if (! call.isAnswered() || ! call.isSupported())
        return false;
    std::optional<std::vector<StreamNotice>> page =
        base::handleErrors ([&]() -> base::Result<std::optional<std::vector<StreamNotice>>>
                            { return parseStreamPage (call.body()); },
                            [] (const base::Error&) { return std::nullopt; });
    if (! page)
        return false;
    const base::TimePoint now = m_clock.now();
    for (const StreamNotice& stream : *page)
        m_streams.record (stream, now);
    m_received += page->size();
    if (page->size() >= kStreamsPerPage)
        ask (call.peer(), page->back().key);
    return true;
}

}  // namespace fernlift::proxy
