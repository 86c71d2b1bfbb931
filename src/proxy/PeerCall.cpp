#include "proxy/PeerCall.h"

#include <utility>

namespace fernlift::proxy
{
namespace
{

constexpr base::milliseconds kAnswerTimeout (2000);
/// Above the size of any page of streams.
constexpr std::size_t kMaxBodyBytes = std::size_t{ 256 } * 1024;

}  // namespace

PeerCall::PeerCall (const base::Clock& clock, http::BackEndPool& pool, PeerChoice peer,
                    EndHandler onEnd)
    : m_clock (clock), m_pool (pool), m_peer (std::move (peer)), m_onEnd (std::move (onEnd))
{
    m_timer.setSingleShot (true);
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { finish(); });
}

PeerCall::~PeerCall()
{
    if (m_connection)
        m_connection->detach();
}

void PeerCall::start (const PeerNotice& notice, const std::string& router)
{
    PeerRequest statement;
    statement.router = router;
    statement.key = m_peer.key;
    statement.notice = notice;
    m_connection = m_pool.acquire (m_peer.address, m_clock.now());
    m_timer.start (kAnswerTimeout);
    http::BackEndConnection::Call call;
    call.bytes = peerNoticeBytes (statement);
    m_connection->send (std::move (call), this);
}

void PeerCall::onHead (http::AnswerHead head)
{
    const PeerAnswer answer = base::handleErrors ([&] { return takePeerAnswer (head.headers); },
                                                  [] (const base::Error&) { return PeerAnswer(); });
    m_isSupported = answer.isNoticeRead;
}

void PeerCall::onBody (std::string_view data)
{
    if (m_body.size() + data.size() > kMaxBodyBytes)
    {
        m_isSupported = false;
        return;
    }
    m_body.append (data);
}

void PeerCall::onDone()
{
    m_isAnswered = true;
    // The connection that calls this must outlive the call.
    m_timer.start (0);
}

void PeerCall::onFailed (http::BackEndFailure /*failure*/) { m_timer.start (0); }

void PeerCall::finish()
{
    if (m_isAnswered)
    {
        m_connection->detach();
        m_pool.release (std::exchange (m_connection, nullptr), m_clock.now());
    }
    // Copied because the handler may destroy this call.
    const EndHandler onEnd = m_onEnd;
    onEnd (*this);
}

}  // namespace fernlift::proxy
