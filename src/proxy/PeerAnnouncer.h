#pragma once

/**
 * Sends notices to the other routers: on streams that began, and on the path of this router to the
 * runners. A notice is written to the connection before announce() returns where one is open; its
 * answer is only read to learn whether the router supports notices of its kind.
 */

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"
#include "http/BackEndPool.h"
#include "proxy/PeerCall.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{

/** Threading: none; lives on the event loop of one router. */
class PeerAnnouncer
{
public:
    PeerAnnouncer (const base::Clock& clock, http::BackEndPool& pool);
    ~PeerAnnouncer() = default;
    PeerAnnouncer (const PeerAnnouncer&) = delete;
    PeerAnnouncer& operator= (const PeerAnnouncer&) = delete;

    enum class Audience : std::uint8_t
    {
        kAll,
        kOwnZone,
    };

    /** Sends the notice to the routers known to `peers` that may support it. `router` is the name
       of this one.
    */
    void announce (const PeerNotice& notice, const PeerRouters& peers, const std::string& router,
                   Audience audience = Audience::kAll);
    /** Number of notices that were not sent or not answered. */
    [[nodiscard]] std::uint64_t lost() const { return m_lost; }

private:
    /** Router, by the key that it draws at its start, and index of a notice in PeerNotice. */
    using SupportKey = std::pair<std::uint64_t, std::size_t>;

    void send (const PeerNotice& notice, const PeerChoice& peer, const std::string& router);
    void onEnd (PeerCall& call, std::size_t noticeKind);

    const base::Clock& m_clock;
    http::BackEndPool& m_pool;
    std::set<std::unique_ptr<PeerCall>> m_calls;  ///< Notices that wait for their answers.
    std::set<SupportKey> m_unsupported;  ///< Kinds of notices that a router does not support.
    std::uint64_t m_lost = 0;
};

}  // namespace fernlift::proxy
