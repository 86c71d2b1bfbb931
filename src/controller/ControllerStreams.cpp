/**
 * Streams that this member keeps for the routers of the cell, whether it leads or not. See
 * docs/design/stream-versions.md.
 */

#include <utility>
#include <vector>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

bool readsStreams (std::uint32_t features) { return (features & cell::kReadsStreams) != 0; }

}  // namespace

void ControllerCore::Implementation::announceStreams (RouterConnection connection,
                                                      const cell::RouterHello& hello)
{
    if (readsStreams (hello.features))
        sendToRouter (connection, cell::StreamRecords{});
}

void ControllerCore::Implementation::answerStreamLookup (RouterConnection connection,
                                                         const cell::StreamLookup& lookup)
{
    cell::StreamLookupReply reply = m_streams.answer (lookup, m_now);
    if (m_relay)
    {
        if (auto missing = m_relay->streamLookups.forward (connection, lookup, reply))
        {
            m_effects.emplace_back (SendToLeader{ std::move (*missing) });
            return;
        }
    }
    sendToRouter (connection, std::move (reply));
}

bool ControllerCore::Implementation::onStreamMessage (RouterConnection connection,
                                                      const cell::RouterToController& message)
{
    if (const auto* records = std::get_if<cell::StreamRecords> (&message))
        m_streams.recordAndPassOn (*records, m_now);
    else if (const auto* lookup = std::get_if<cell::StreamLookup> (&message))
        answerStreamLookup (connection, *lookup);
    else
        return false;
    return true;
}

void ControllerCore::Implementation::applyLeaderStreams (const cell::ControllerToRouter& message)
{
    if (const auto* records = std::get_if<cell::StreamRecords> (&message))
    {
        m_relay->streamLookups.onLeaderSupported();
        m_streams.record (*records, m_now);
    }
    else if (const auto* reply = std::get_if<cell::StreamLookupReply> (&message))
    {
        if (auto answer = m_relay->streamLookups.onReply (*reply))
            sendToRouter (answer->router, std::move (answer->reply));
    }
}

void ControllerCore::Implementation::passOnStreams()
{
    m_streams.expire (m_now);
    if (m_leader)
    {
        sendStreamsToRelays();
        return;
    }
    if (! m_relay || ! m_relay->streamLookups.isLeaderSupported())
        return;
    if (auto records = m_streams.takeRecords (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*records) });
}

void ControllerCore::Implementation::sendStreamsToRelays()
{
    auto records = m_streams.takeRecords (m_now);
    if (! records)
        return;
    std::vector<RouterConnection> relays;
    for (const auto& [connection, session] : m_leader->sessions.sessions())
    {
        if (session.isRelay && readsStreams (session.features))
            relays.push_back (connection);
    }
    m_effects.emplace_back (BroadcastToRouters{ std::move (relays), std::move (*records) });
}

}  // namespace fernlift::controller
