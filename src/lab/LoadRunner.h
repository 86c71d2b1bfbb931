#pragma once

/// Makes the calls of a trace against routers and keeps their history.

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
    std::vector<base::SocketAddress> routers;  ///< Called in turn; at least one.
    std::vector<TraceTarget> targets;
    std::vector<Arrival> arrivals;
    std::string idPrefix = "load";  ///< Request ids begin with it.
    std::string keyPrefix;          ///< Idempotency keys begin with it; empty: as request ids.
    base::Duration callTimeout = base::seconds (60);
};

/// Open loop: every call is made at its time, whatever became of the others. A router that does not
/// accept the connection is passed over for the next one, since no byte was sent. A router that
/// refuses because it is stopping or lacks a lease is passed over too: the refused call stays in
/// the history and is made again under another request id. Needs a Qt event loop.
class LoadRunner
{
public:
    explicit LoadRunner (LoadOptions options);
    LoadRunner (const LoadRunner&) = delete;
    LoadRunner& operator= (const LoadRunner&) = delete;

    void start();
    [[nodiscard]] bool isFinished() const;
    /// Calls made and not ended yet.
    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }
    /// Ended calls, in the order of their end.
    [[nodiscard]] const std::vector<CallRecord>& history() const { return m_history; }

private:
    struct OpenCall
    {
        CallRecord record;
        std::unique_ptr<HttpCall> call;
        std::size_t passedOver = 0;  ///< Routers that could not serve.
        std::size_t router = 0;
        std::int64_t attemptStart = 0;  ///< Microseconds from the first sending to this one.
    };

    void startDueCalls();
    void begin (std::size_t index);
    void send (std::uint64_t id);
    void onEnd (std::uint64_t id, const HttpOutcome& outcome);
    /// Keeps the refused call in the history and makes it again at the next router.
    void resend (std::uint64_t id);

    LoadOptions m_options;
    http::Client m_client;
    QElapsedTimer m_elapsed;
    QTimer m_timer;
    std::size_t m_next = 0;
    std::map<std::uint64_t, OpenCall> m_calls;
    std::vector<std::unique_ptr<HttpCall>> m_ended;  ///< Destroyed outside their own callbacks.
    std::vector<CallRecord> m_history;
};

/// The HTTP request of a call, addressed to `router`.
[[nodiscard]] HttpRequest requestOf (const CallRecord& record, const base::SocketAddress& router,
                                     base::Duration timeout);
/// Fills in what the outcome says.
void readOutcome (const HttpOutcome& outcome, CallRecord& record);

}  // namespace fernlift::lab
