#include "controller/StreamLookupRelay.h"

#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fernlift::controller
{

void StreamLookupRelay::onLeaderLost()
{
    m_isSupported = false;
    m_pending.clear();
}

std::optional<cell::StreamLookup> StreamLookupRelay::forward (std::uint64_t router,
                                                              const cell::StreamLookup& lookup,
                                                              const cell::StreamLookupReply& known)
{
    if (! m_isSupported || m_pending.size() >= kMaxPending)
        return std::nullopt;
    std::set<std::string_view> knownKeys;
    for (const cell::StreamNotice& stream : known.streams)
        knownKeys.insert (stream.key);
    cell::StreamLookup missing;
    for (const std::string& key : lookup.keys)
    {
        if (! knownKeys.contains (key))
            missing.keys.push_back (key);
    }
    if (missing.keys.empty())
        return std::nullopt;
    missing.sequence = ++m_sequence;
    m_pending[m_sequence] = { router, known };
    return missing;
}

std::optional<StreamLookupRelay::Answer> StreamLookupRelay::onReply (
    const cell::StreamLookupReply& reply)
{
    const auto found = m_pending.find (reply.sequence);
    if (found == m_pending.end())
        return std::nullopt;
    Answer answer = std::move (found->second);
    m_pending.erase (found);
    answer.reply.streams.insert (answer.reply.streams.end(), reply.streams.begin(),
                                 reply.streams.end());
    return answer;
}

void StreamLookupRelay::onRouterDisconnected (std::uint64_t router)
{
    std::erase_if (m_pending, [&] (const auto& item) { return item.second.router == router; });
}

}  // namespace fernlift::controller
