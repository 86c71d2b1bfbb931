// Planned stop of a router that forwards requests: it serves on while callers move to other
// routers, then refuses new requests, and ends once the open ones are answered or its time is over.

#include <utility>

#include "log/Log.h"
#include "proxy/ProxyProcess.h"

namespace fernlift::proxy
{
namespace
{

/// Time before the end of a planned stop at which requests that still wait for a runner are
/// answered. A refusal reaches its caller within some milliseconds; a request that ends with the
/// process gets no answer.
constexpr base::Duration kAnswerBeforeStop = base::milliseconds (300);

const char* toString (StopCause cause)
{
    switch (cause)
    {
        case StopCause::kDone:
            return "done";
        case StopCause::kTimeLimit:
            return "time limit";
    }
    return "";
}

}  // namespace

void ProxyProcess::beginStop()
{
    if (m_stopBegan)
        return;
    log::write (log::Event::kProcessStopping,
                { { "open_requests", m_server.openExchanges() },
                  { "open_connections", m_server.openConnections() } });
    m_stopBegan = m_clock.now();
    m_context.stopsAt = *m_stopBegan + m_settings.stopTimeout - kAnswerBeforeStop;
    m_server.beginClosing();
}

void ProxyProcess::checkStop()
{
    if (! m_stopBegan || m_isFinished)
        return;
    const base::Duration passed = m_clock.now() - *m_stopBegan;
    if (passed >= m_settings.stopGrace && ! std::exchange (m_isRefusing, true))
    {
        m_server.beginRefusing();
    }
    if (passed >= m_settings.stopTimeout - kAnswerBeforeStop)
        m_server.refuseWaiting();
    const bool isDone =
        m_isRefusing && m_server.openExchanges() == 0 && m_server.openConnections() == 0;
    if (isDone)
        finish (StopCause::kDone);
    else if (passed >= m_settings.stopTimeout)
        finish (StopCause::kTimeLimit);
}

void ProxyProcess::finish (StopCause cause)
{
    if (std::exchange (m_isFinished, true))
        return;
    m_ticker.stop();
    const CutAtStop cut = m_server.logOpen();
    log::write (log::Event::kRouterStopEnded,
                { { "cause", toString (cause) },
                  { "stop_ms", base::toMilliseconds (m_clock.now() - *m_stopBegan) },
                  { "cut_requests", cut.requests() },
                  { "cut_waiting", cut.waiting },
                  { "cut_at_runner", cut.atRunner },
                  { "cut_begun", cut.begun },
                  { "cut_connections", cut.connections },
                  { "unsent_bytes", cut.unsentBytes } });
    m_onFinished (0);
}

}  // namespace fernlift::proxy
