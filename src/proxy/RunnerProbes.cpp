#include "proxy/RunnerProbes.h"

#include <QTimer>
#include <utility>

#include "base/Time.h"
#include "http/StreamSocket.h"

namespace fernlift::proxy
{

/** Connection that is opened only to check whether the runner accepts it and answers. */
class RunnerProbes::Probe final : private http::StreamListener
{
public:
    Probe (const base::SocketAddress& address, std::string request, const Limits& limits,
           std::function<void (RunnerProbeResult)> onEnd)
        : m_limits (limits), m_request (std::move (request)), m_onEnd (std::move (onEnd))
    {
        m_timer.setSingleShot (true);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { onTimeout(); });
        startTimer (m_limits.timeout);
        m_socket.connectTo (address);
    }

private:
    void startTimer (base::Duration time)
    {
        m_timer.start (std::chrono::ceil<base::milliseconds> (time));
    }
    void onTimeout()
    {
        // After a pause of this process, timers may fire before what has arrived is read.
        if (std::exchange (m_isTimeOver, true))
            m_onEnd (m_result);
        else
            m_timer.start (0);
    }
    void onConnected() override
    {
        m_isTimeOver = false;
        if (! m_request.empty())
        {
            m_result = RunnerProbeResult::kSilent;
            startTimer (m_limits.answerTimeout);
            m_socket.write (m_request);
            return;
        }
        m_result = RunnerProbeResult::kAlive;
        if (m_limits.settleTime == base::Duration::zero())
            m_onEnd (m_result);
        else
            startTimer (m_limits.settleTime);
    }
    void onData (std::string_view /*data*/) override
    {
        if (! m_request.empty())
            m_onEnd (RunnerProbeResult::kAlive);
    }
    void onEnd (http::StreamEnd /*end*/) override { m_onEnd (RunnerProbeResult::kGone); }

    Limits m_limits;
    std::string m_request;
    RunnerProbeResult m_result = RunnerProbeResult::kUnknown;  ///< Result when the timer ends.
    bool m_isTimeOver = false;  ///< The time is over; the probe ends in the next round of events.
    std::function<void (RunnerProbeResult)> m_onEnd;
    QTimer m_timer;
    http::StreamSocket m_socket{ this };
};

RunnerProbes::RunnerProbes (Limits limits, Handler handler)
    : m_limits (limits), m_handler (std::move (handler))
{
}

RunnerProbes::~RunnerProbes() = default;

void RunnerProbes::check (const std::string& instance, const base::SocketAddress& address,
                          const std::string& request)
{
    if (m_open.contains (instance))
        return;
    m_open[instance] = std::make_unique<Probe> (address, request, m_limits,
                                                [this, instance] (RunnerProbeResult probeResult)
                                                { finish (instance, probeResult); });
}

void RunnerProbes::finish (const std::string& instance, RunnerProbeResult probeResult)
{
    const auto found = m_open.find (instance);
    if (found == m_open.end())
        return;
    // The probe is still on the call stack, so it is destroyed from the event loop.
    const std::shared_ptr<Probe> ended = std::move (found->second);
    m_open.erase (found);
    QTimer::singleShot (0, [ended] {});
    m_handler (instance, probeResult);
}

}  // namespace fernlift::proxy
