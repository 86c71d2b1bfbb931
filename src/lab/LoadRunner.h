#pragma once

/// Makes the calls of a trace against routers and records their history.

#include <QElapsedTimer>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "lab/CallRecord.h"
#include "lab/HttpCall.h"
#include "lab/Trace.h"

namespace fernlift::lab
{

struct LoadOptions
{
    std::vector<base::SocketAddress> routers;  ///< Routers that are called in turn; at least one.
    std::vector<TraceTarget> targets;
    std::vector<Arrival> arrivals;
    std::string idPrefix = "load";  ///< Prefix of the request ids.
    std::string keyPrefix;  ///< Prefix of the idempotency keys; if empty, that of request ids.
    base::Duration callTimeout = base::seconds (60);
};

/// Open-loop load generator: every call is made at its scheduled time, whatever the outcome of the
/// others. When a router does not accept the connection, the call goes to the next router, since no
/// byte was sent. When a router refuses because it is stopping or lacks a lease, the refused call
/// stays in the history and is resent to the next router under another request id. Needs a Qt event
/// loop.
class LoadRunner
{
public:
    explicit LoadRunner (LoadOptions options);
    LoadRunner (const LoadRunner&) = delete;
    LoadRunner& operator= (const LoadRunner&) = delete;

    void start();
    [[nodiscard]] bool isFinished() const;
    /// Number of calls that have not ended yet.
    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }
    /// Ended calls, ordered by their end.
    [[nodiscard]] const std::vector<CallRecord>& history() const { return m_history; }

private:
    struct OpenCall
    {
        CallRecord record;
        std::unique_ptr<HttpCall> call;
        std::size_t skippedRouters = 0;  ///< Number of routers that could not serve the call.
        std::size_t router = 0;
        std::int64_t attemptStart = 0;  ///< Microseconds from the first attempt to this one.
    };

    void startDueCalls();
    void begin (std::size_t index);
    void send (std::uint64_t id);
    void onEnd (std::uint64_t id, const HttpOutcome& outcome);
    /// Records the refused call in the history and resends it to the next router.
    void resend (std::uint64_t id);

    LoadOptions m_options;
    http::Client m_client;
    QElapsedTimer m_elapsed;
    QTimer m_timer;
    std::size_t m_next = 0;
    std::map<std::uint64_t, OpenCall> m_calls;
    std::vector<std::unique_ptr<HttpCall>> m_ended;  ///< Ended calls; destroyed outside callbacks.
    std::vector<CallRecord> m_history;
};

/// Builds the HTTP request of a call, addressed to `router`.
[[nodiscard]] HttpRequest requestOf (const CallRecord& record, const base::SocketAddress& router,
                                     base::Duration timeout);
/// Fills the outcome into the record.
void readOutcome (const HttpOutcome& outcome, CallRecord& record);

}  // namespace fernlift::lab
