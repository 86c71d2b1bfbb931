#include "proxy/StreamRecorder.h"

namespace fernlift::proxy
{
namespace
{

/// For an answer to arrive, and for its result to be used by callers that try again.
constexpr base::Duration kLookupTime = base::seconds (1);

}  // namespace

bool StreamRecorder::lookUp (const std::string& key, base::TimePoint now)
{
    if (! m_isSupported)
        return false;
    const auto found = m_lookups.find (key);
    if (found != m_lookups.end() && now < found->second.endsAt)
        return found->second.isAwaited;
    if (found == m_lookups.end() && m_lookups.size() >= kMaxLookups)
        return false;
    m_lookups[key] = { 0, true, now + kLookupTime };
    ++m_lookupCount;
    return true;
}

void StreamRecorder::onLinkLost()
{
    m_isSupported = false;
    m_lookups.clear();
}

void StreamRecorder::onReply (const cell::StreamLookupReply& reply, cell::StreamVersions& known,
                              base::TimePoint now)
{
    for (const cell::StreamNotice& stream : reply.streams)
        known.record (stream, now);
    m_found += reply.streams.size();
    for (auto& [key, lookup] : m_lookups)
    {
        if (lookup.sequence == reply.sequence)
            lookup.isAwaited = false;
    }
}

std::optional<cell::StreamRecords> StreamRecorder::takeRecords (base::TimePoint now)
{
    return m_isSupported ? m_batch.take (now) : std::nullopt;
}

std::optional<cell::StreamLookup> StreamRecorder::takeLookup()
{
    cell::StreamLookup message;
    message.sequence = m_sequence + 1;
    for (auto& [key, lookup] : m_lookups)
    {
        if (lookup.sequence != 0)
            continue;
        lookup.sequence = message.sequence;
        message.keys.push_back (key);
        if (message.keys.size() == cell::kMaxStreamsPerMessage)
            break;
    }
    if (message.keys.empty())
        return std::nullopt;
    ++m_sequence;
    return message;
}

void StreamRecorder::expire (base::TimePoint now)
{
    std::erase_if (m_lookups, [&] (const auto& item) { return now >= item.second.endsAt; });
}

}  // namespace fernlift::proxy
