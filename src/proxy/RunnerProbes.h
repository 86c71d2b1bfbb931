#pragma once

/**
 * Finds out whether a runner that broke off an answer is still there.
 *
 * A connection may be reset although the runner lives on. A runner that has ended refuses the next
 * connection at once; one that lives takes it. Requests that break at the same runner together
 * share one look at it.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/SocketAddress.h"
#include "quarantine/RunnerFate.h"

namespace fernlift::proxy
{

using quarantine::RunnerFate;

/** Threading: lives on the thread of the Qt event loop. */
class RunnerProbes
{
public:
    using Handler = std::function<void (const std::string& instance, RunnerFate fate)>;

    /** `handler` gets one result for each look, from the event loop. */
    explicit RunnerProbes (Handler handler);
    ~RunnerProbes();
    RunnerProbes (const RunnerProbes&) = delete;
    RunnerProbes& operator= (const RunnerProbes&) = delete;

    /** Begins to look at a runner, unless that is under way. */
    void check (const std::string& instance, const base::SocketAddress& address);

private:
    class Probe;

    void finish (const std::string& instance, RunnerFate fate);

    Handler m_handler;
    std::map<std::string, std::unique_ptr<Probe>> m_open;  ///< By instance.
};

}  // namespace fernlift::proxy
