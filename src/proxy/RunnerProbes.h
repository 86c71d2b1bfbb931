#pragma once

/**
 * Probes whether a runner accepts connections, and whether it answers a request.
 *
 * A connection may be reset although the runner is alive. A crashed runner refuses the next
 * connection at once, a live one accepts it. Requests that break at the same runner at the same
 * time share one probe.
 *
 * A device on the path may accept connections in place of a runner that it does not reach. Only an
 * answer shows that the path to the runner works.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "quarantine/RunnerProbeResult.h"

namespace fernlift::proxy
{

using quarantine::RunnerProbeResult;

/** Threading: lives on the thread of the Qt event loop. */
class RunnerProbes
{
public:
    using Handler =
        std::function<void (const std::string& instance, RunnerProbeResult probeResult)>;

    struct Limits
    {
        /** A connection that did not open within this time ends the probe. */
        base::Duration timeout = base::milliseconds (300);
        /** Time for the answer to the request of a probe, from the opening of the connection. */
        base::Duration answerTimeout{};
        /** A connection that closes within this time after it opened does not count as accepted, if
            the probe sends no request.
        */
        base::Duration settleTime{};
    };

    /** `handler` is called from the event loop with the result of each probe. */
    RunnerProbes (Limits limits, Handler handler);
    ~RunnerProbes();
    RunnerProbes (const RunnerProbes&) = delete;
    RunnerProbes& operator= (const RunnerProbes&) = delete;

    /** Starts a probe of the runner unless one is in progress. `request` is sent once the
       connection is open; empty: nothing is sent.
    */
    void check (const std::string& instance, const base::SocketAddress& address,
                const std::string& request = {});

private:
    class Probe;

    void finish (const std::string& instance, RunnerProbeResult probeResult);

    Limits m_limits;
    Handler m_handler;
    std::map<std::string, std::unique_ptr<Probe>> m_open;  ///< Keyed by instance.
};

}  // namespace fernlift::proxy
