#pragma once

/**
 * Fetches the streams that other routers have recorded. A router needs them when it has just
 * started, and when it was cut off for so long that the others stopped sending their notices to it.
 *
 * Two routers are asked at once, and two again a little later: streams that were announced before
 * the others learned of this router are in the second answers.
 */

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/Random.h"
#include "base/Time.h"
#include "cell/StreamVersions.h"
#include "http/BackEndPool.h"
#include "proxy/PeerCall.h"
#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{

/** Threading: none; lives on the event loop of one router. */
class StreamFetcher
{
public:
    StreamFetcher (const base::Clock& clock, http::BackEndPool& pool, base::Random& random,
                   cell::StreamVersions& streams)
        : m_clock (clock), m_pool (pool), m_random (random), m_streams (streams)
    {
    }

    /** Fetches all streams with the next calls of poll(). */
    void begin();
    /** Sends what is due. `router` is the name of this router. */
    void poll (const PeerRouters& peers, const std::string& router);
    /** Streams received so far, counted for each router that sent them. */
    [[nodiscard]] std::uint64_t received() const { return m_received; }

private:
    static constexpr std::size_t kRounds = 2;
    static constexpr std::size_t kAnswersPerRound = 2;
    /** Routers asked in a round, with those that give no answer. */
    static constexpr std::size_t kMaxAskedPerRound = 6;

    /** Asks another router that was not asked in this round. Returns false if there is none. */
    bool askAnother (const PeerRouters& peers);
    void ask (const PeerChoice& peer, const std::string& after);
    void onEnd (PeerCall& call);
    /** Records the streams of an answer and asks for the next page. Returns false if the answer is
        unusable.
    */
    bool take (const PeerCall& call);

    const base::Clock& m_clock;
    http::BackEndPool& m_pool;
    base::Random& m_random;
    cell::StreamVersions& m_streams;
    std::string m_router;
    std::size_t m_roundsLeft = 0;  ///< Including the present one.
    std::size_t m_wanted = 0;      ///< Routers that are still to be asked in this round.
    base::TimePoint m_nextRoundAt{};
    std::set<std::string> m_asked;  ///< Routers asked in this round.
    std::set<std::unique_ptr<PeerCall>> m_calls;
    std::uint64_t m_received = 0;
};

}  // namespace fernlift::proxy
