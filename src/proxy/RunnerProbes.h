#pragma once

/**
 * Finds out whether a runner that broke off an answer is still there.
 *
 * A connection may be reset although the runner lives on. A runner that has ended refuses the next
 * connection at once; one that lives takes it. Requests that break at the same runner together
 * share one look at it.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/SocketAddress.h"

namespace fernlift::proxy
{

/** What a look at a runner found. */
enum class RunnerFate : std::uint8_t
{
    kGone,     ///< Nothing listens at its address.
    kAlive,    ///< It takes connections.
    kUnknown,  ///< No answer came in time: it may be cut off.
};

/** For logs, for example "gone". */
[[nodiscard]] std::string_view nameOf (RunnerFate fate);

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
