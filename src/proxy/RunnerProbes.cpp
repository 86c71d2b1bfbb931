#include "proxy/RunnerProbes.h"

#include <QTimer>
#include <utility>

#include "base/Time.h"
#include "http/StreamSocket.h"

namespace fernlift::proxy
{
namespace
{

/// A live runner, or its machine, answers within two round trips: a few milliseconds on the known
/// platforms. Lost packets are retransmitted after 200 ms.
constexpr base::milliseconds kProbeTimeout (300);

}  // namespace

/** Connection that is opened only to check whether it can be opened. */
class RunnerProbes::Probe final : private http::StreamListener
{
public:
    Probe (const base::SocketAddress& address, std::function<void (RunnerProbeResult)> onEnd)
        : m_onEnd (std::move (onEnd))
    {
        m_timer.setSingleShot (true);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer,
                          [this] { m_onEnd (RunnerProbeResult::kUnknown); });
        m_timer.start (kProbeTimeout);
        m_socket.connectTo (address);
    }

private:
    void onConnected() override { m_onEnd (RunnerProbeResult::kAlive); }
    void onData (std::string_view /*data*/) override {}
    void onEnd (http::StreamEnd /*end*/) override { m_onEnd (RunnerProbeResult::kGone); }

    std::function<void (RunnerProbeResult)> m_onEnd;
    QTimer m_timer;
    http::StreamSocket m_socket{ this };
};

RunnerProbes::RunnerProbes (Handler handler) : m_handler (std::move (handler)) {}

RunnerProbes::~RunnerProbes() = default;

void RunnerProbes::check (const std::string& instance, const base::SocketAddress& address)
{
    if (m_open.contains (instance))
        return;
    m_open[instance] =
        std::make_unique<Probe> (address, [this, instance] (RunnerProbeResult probeResult)
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
