#pragma once

/**
 * One message to another router, with its answer. The connection goes back to the pool after a
 * complete answer.
 */

#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "base/Time.h"
#include "http/BackEndPool.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{

/** Threading: none; lives on the event loop of one router. */
class PeerCall final : public http::AnswerListener
{
public:
    /** Called once, from the event loop; may destroy the call. */
    using EndHandler = std::function<void (PeerCall& call)>;

    PeerCall (const base::Clock& clock, http::BackEndPool& pool, PeerChoice peer, EndHandler onEnd);
    ~PeerCall() override;
    PeerCall (const PeerCall&) = delete;
    PeerCall& operator= (const PeerCall&) = delete;

    /** Sends the notice; `router` is the name of this router. */
    void start (const PeerNotice& notice, const std::string& router);

    [[nodiscard]] const PeerChoice& peer() const { return m_peer; }
    /** Whether the whole answer was received. */
    [[nodiscard]] bool isAnswered() const { return m_isAnswered; }
    /** Whether the other router supports notices of this kind. */
    [[nodiscard]] bool isSupported() const { return m_isSupported; }
    [[nodiscard]] const std::string& body() const { return m_body; }

    void onSent() override {}
    void onHead (http::AnswerHead head) override;
    void onBody (std::string_view data) override;
    void onDone() override;
    void onFailed (http::BackEndFailure failure) override;

private:
    void finish();

    const base::Clock& m_clock;
    http::BackEndPool& m_pool;
    PeerChoice m_peer;
    EndHandler m_onEnd;
    std::shared_ptr<http::BackEndConnection> m_connection;
    bool m_isAnswered = false;
    bool m_isSupported = false;
    std::string m_body;
    QTimer m_timer;
};

}  // namespace fernlift::proxy
