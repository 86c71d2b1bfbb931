#include "proxy/RunnerProbes.h"

#include <QTimer>
#include <utility>

#include "base/Time.h"
#include "http/StreamSocket.h"

namespace fernlift::proxy
{

/** Connection that is opened only to check whether it can be opened. */
class RunnerProbes::Probe final : private http::StreamListener
{
public:
    Probe (const base::SocketAddress& address, const Limits& limits,
           std::function<void (RunnerProbeResult)> onEnd)
        : m_limits (limits), m_onEnd (std::move (onEnd))
    {
        m_timer.setSingleShot (true);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { m_onEnd (m_result); });
        m_timer.start (std::chrono::ceil<base::milliseconds> (m_limits.timeout));
        m_socket.connectTo (address);
    }

private:
    void onConnected() override
    {
        m_result = RunnerProbeResult::kAlive;
        if (m_limits.settleTime == base::Duration::zero())
            m_onEnd (m_result);
        else
            m_timer.start (std::chrono::ceil<base::milliseconds> (m_limits.settleTime));
    }
    void onData (std::string_view /*data*/) override {}
    void onEnd (http::StreamEnd /*end*/) override { m_onEnd (RunnerProbeResult::kGone); }

    Limits m_limits;
    RunnerProbeResult m_result = RunnerProbeResult::kUnknown;  ///< Result when the timer ends.
    std::function<void (RunnerProbeResult)> m_onEnd;
    QTimer m_timer;
    http::StreamSocket m_socket{ this };
};

RunnerProbes::RunnerProbes (Limits limits, Handler handler)
    : m_limits (limits), m_handler (std::move (handler))
{
}

RunnerProbes::~RunnerProbes() = default;

void RunnerProbes::check (const std::string& instance, const base::SocketAddress& address)
{
    if (m_open.contains (instance))
        return;
    m_open[instance] = std::make_unique<Probe> (address, m_limits,
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
