#include "proxy/PeerAnnouncer.h"

#include <QTimer>
#include <utility>

namespace fernlift::proxy
{
namespace
{

/// Notices that wait for their answers, over all routers.
constexpr std::size_t kMaxCalls = 1000;
constexpr base::milliseconds kAnswerTimeout (2000);

}  // namespace

class PeerAnnouncer::Call final : public http::AnswerListener
{
public:
    Call (PeerAnnouncer& owner, std::uint64_t peerKey, std::size_t noticeKind)
        : m_owner (owner), m_supportKey (peerKey, noticeKind)
    {
        m_timer.setSingleShot (true);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { m_owner.onEnd (*this); });
    }
    ~Call() override
    {
        if (connection)
            connection->detach();
    }
    Call (const Call&) = delete;
    Call& operator= (const Call&) = delete;

    void start (const base::SocketAddress& address, std::string bytes)
    {
        connection = m_owner.m_pool.acquire (address, m_owner.m_clock.now());
        m_timer.start (kAnswerTimeout);
        http::BackEndConnection::Call call;
        call.bytes = std::move (bytes);
        connection->send (std::move (call), this);
    }
    void onSent() override {}
    void onHead (http::AnswerHead head) override
    {
        const PeerAnswer answer =
            base::handleErrors ([&] { return takePeerAnswer (head.headers); },
                                [] (const base::Error&) { return PeerAnswer(); });
        isSupported = answer.isNoticeRead;
    }
    void onBody (std::string_view /*data*/) override {}
    void onDone() override
    {
        isAnswered = true;
        // The connection that calls this must outlive the call.
        m_timer.start (0);
    }
    void onFailed (http::BackEndFailure /*failure*/) override { m_timer.start (0); }

    [[nodiscard]] const std::pair<std::uint64_t, std::size_t>& supportKey() const
    {
        return m_supportKey;
    }

    std::shared_ptr<http::BackEndConnection> connection;
    bool isAnswered = false;
    bool isSupported = false;

private:
    PeerAnnouncer& m_owner;
    std::pair<std::uint64_t, std::size_t> m_supportKey;  ///< Router and kind of the notice.
    QTimer m_timer;
};

PeerAnnouncer::PeerAnnouncer (const base::Clock& clock, http::BackEndPool& pool)
    : m_clock (clock), m_pool (pool)
{
}

PeerAnnouncer::~PeerAnnouncer() = default;

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
    PeerRequest statement;
    statement.router = router;
    statement.key = peer.key;
    statement.notice = notice;
    auto call = std::make_unique<Call> (*this, peer.key, notice.index());
    Call& begun = *call;
    m_calls.insert (std::move (call));
    begun.start (peer.address, peerNoticeBytes (statement));
}

void PeerAnnouncer::onEnd (Call& call)
{
    if (! call.isAnswered)
        ++m_lost;
    else if (! call.isSupported)
        m_unsupported.insert (call.supportKey());
    if (call.isAnswered)
    {
        call.connection->detach();
        m_pool.release (std::exchange (call.connection, nullptr), m_clock.now());
    }
    std::erase_if (m_calls, [&] (const auto& item) { return item.get() == &call; });
}

}  // namespace fernlift::proxy
