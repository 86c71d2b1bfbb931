#pragma once

/**
 * Lookups of streams at a controller that does not lead: those of streams that it does not know
 * are forwarded to the leader, and the replies to the routers.
 */

#include <cstdint>
#include <map>
#include <optional>

#include "cell/StreamMessages.h"

namespace fernlift::controller
{

/** Threading: none; owned by one RouterRelay. */
class StreamLookupRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection of the router.
        cell::StreamLookupReply reply;
    };

    /** Lookups that wait for the leader; beyond it they are answered by what is known here. */
    static constexpr std::size_t kMaxPending = 10'000;

    /** Handles the end or replacement of the connection to the leader. Routers repeat lookups that
        are not answered.
    */
    void onLeaderLost();
    /** Handles the leader's statement that it keeps streams. */
    void onLeaderSupported() { m_isSupported = true; }
    [[nodiscard]] bool isLeaderSupported() const { return m_isSupported; }
    /** Returns the lookup to be sent to the leader for the streams that `known` lacks; none if
        there are none, or if the leader does not answer lookups.
    */
    [[nodiscard]] std::optional<cell::StreamLookup> forward (std::uint64_t router,
                                                             const cell::StreamLookup& lookup,
                                                             const cell::StreamLookupReply& known);
    /** Returns the whole answer to a forwarded lookup. */
    [[nodiscard]] std::optional<Answer> onReply (const cell::StreamLookupReply& reply);
    void onRouterDisconnected (std::uint64_t router);

private:
    bool m_isSupported = false;                 ///< Whether the leader keeps streams.
    std::uint64_t m_sequence = 0;               ///< Of the last forwarded lookup.
    std::map<std::uint64_t, Answer> m_pending;  ///< Answers so far, by sequence.
};

}  // namespace fernlift::controller
