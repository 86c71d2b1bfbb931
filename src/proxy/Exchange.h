#pragma once

/// One request of a caller from its arrival to its end: the route, the attempts at runners, what is
/// passed on, and what is answered when no runner's answer can be.

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "cell/RequestIdentity.h"
#include "http/AnswerParser.h"
#include "http/BackEndConnection.h"
#include "log/Log.h"
#include "proxy/CallerConnection.h"
#include "proxy/EventSplitter.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

class Exchange final : public http::AnswerListener
{
public:
    /// `onEnd` is called once; the exchange may be destroyed once control is back in the event
    /// loop.
    Exchange (ProxyContext& context, CallerConnection& caller, ParsedRequest request,
              std::function<void (Exchange& exchange)> onEnd);
    ~Exchange() override;

    void begin();
    /// The configuration, the runners or what they hold changed: a request that waits looks again.
    void onDirectoryChanged();
    /// The caller went away: the runner's work is cancelled.
    void onCallerLeft();
    /// The router ends in a moment: a request that waits is answered now.
    void onRouterEnding();
    /// Looks at what is due by now. Harmless at any time.
    void onTimer();
    /// More may be known of requests under which runners ended: one in quarantine stops here.
    void onSuspectsChanged();
    [[nodiscard]] bool isWaiting() const
    {
        return m_isWaiting || m_isWaitingForRoutes || m_isWaitingForQuota || m_verdictDeadline
               || m_wanted;
    }
    /// Those that wait are looked at in this order: the most urgent first, then the earliest.
    [[nodiscard]] std::pair<int, base::TimePoint> turn() const;

    void onSent() override;
    void onHead (http::AnswerHead head) override;
    void onBody (std::string_view data) override;
    void onDone() override;
    void onFailed (http::BackEndFailure failure) override;

private:
    /// What is done with the answer that is being read.
    enum class AnswerUse : std::uint8_t
    {
        kNone,     ///< No head yet.
        kCollect,  ///< Kept until it is whole.
        kPass,     ///< Passed on as it comes.
        kEvents,   ///< Passed on event by event.
        kRefusal,  ///< The runner has not run the request.
        kRetry,    ///< A failure of the runner; the request is sent again.
    };

    [[nodiscard]] base::TimePoint now() const { return m_context.clock.now(); }
    /// Finds the route; false when the request ended or waits for a configuration.
    bool findRoute();
    /// Reads the caller's key; false when the request ended or waits for a configuration.
    bool authenticate();
    /// Whether what is missing in the routes held is missing in the configuration in force too.
    [[nodiscard]] bool areRoutesCurrent() const;
    void waitForRoutes();
    /// Counts the request in the quota of its tenant; false when it ended or waits for units.
    bool admit();
    /// The route is found: on to a runner, if the quota allows.
    void goOn();
    void readModel();
    void tryNext();
    /// What is known of runners that ended under this request.
    [[nodiscard]] quarantine::Standing standing() const;
    /// The runner broke off its answer or fell silent in the middle of it.
    void noteBrokenOff();
    /// The runner to which all copies of a suspect go took no connection.
    void noteTrialUnreachable();
    /// Whether the request has to wait, or has ended, for what is known of it.
    [[nodiscard]] bool isHeldBack (const quarantine::Standing& standing);
    void refuseQuarantined (const quarantine::Standing& standing);
    /// Chooses a runner and goes there, or waits.
    void chooseRunner();
    /// Whether the request has gone to the runner that is wanted, or waits for a permit for it;
    /// else another one is to be chosen.
    bool takePermit();
    void beginWait (const InstanceChoice& choice);
    /// Ends the request if no runner takes it in time at the rates that they state.
    bool refuseBeyondRates (const InstanceChoice& choice);
    /// Requests that wait for the same runners' rates.
    [[nodiscard]] std::string rateQueue() const;
    /// No runner takes the request in time: it has to end.
    void endUnserved (base::ErrorKind kind, const std::string& message, base::Duration retryAfter);
    void endWait();
    void startAttempt (const InstanceChoice& choice);
    /// Whether the table still shows the incarnation that the attempt went to.
    [[nodiscard]] bool isAtPresentIncarnation() const;
    /// Something came from the runner, or the request went there.
    void noteProgress();
    /// Silence after which the request is tried at another runner; none when it may not be.
    [[nodiscard]] std::optional<base::Duration> longestSilence() const;
    void armTimer();
    /// No runner came in time.
    void onWaitOver();
    /// Ends the attempt; its connection is kept when `mayReuse`.
    void endAttempt (AttemptEnd end, bool mayReuse);
    [[nodiscard]] bool mayRunAgain();
    void afterRefusal();
    void afterFailure();
    void passHead();
    /// Whole events of a stream came.
    void passEvents (std::string_view events);
    void notePromptRead();
    void noteLoad (const http::AnswerHead& head);
    void noteRate (const http::AnswerHead& head);
    /// Whether the runner says that it has not run the request.
    [[nodiscard]] bool isRefusal (const http::AnswerHead& head) const;
    void finishAnswer();
    void refuse (base::ErrorKind kind, const std::string& message, base::Duration retryAfter);
    void fail (base::ErrorKind kind, const std::string& message);
    void sendError (const base::Error& error, std::optional<base::Duration> retryAfter);
    void logEnd (log::Event event, const std::string& cause) const;
    void logMove (log::Event event) const;
    /// The name of the tenant, or the address where there is none.
    [[nodiscard]] std::string callerName() const;
    /// Empty where there is none.
    [[nodiscard]] std::string tenantName() const;
    [[nodiscard]] const cell::RequestIdentity& identity() const;
    /// For logs: empty unless a runner broke off an answer to this request.
    [[nodiscard]] std::string brokenIdentity() const;
    void cut();
    void end();

    ProxyContext& m_context;
    CallerConnection& m_caller;
    ParsedRequest m_request;
    std::function<void (Exchange&)> m_onEnd;
    std::shared_ptr<const RouteTable> m_routes;
    const config::Route* m_route = nullptr;
    const config::Tenant* m_tenant = nullptr;  ///< Of `m_routes`; null where no key is needed.
    QuotaTicket m_quota;
    InstanceQuery m_query;
    std::optional<InstanceChoice> m_wanted;  ///< Runner for which a permit is awaited.
    quota::QuotaClaim m_permit;
    base::TimePoint m_permitAskedAt{};
    base::Duration m_permitWaited{};  ///< In all.
    bool m_isWaitingForRate = false;  ///< Counted among those that wait for the same rates.
    EngineTarget m_target;
    base::TimePoint m_arrivedAt{};
    base::Duration m_stated{};  ///< What the caller waits.
    base::TimePoint m_deadline{};
    base::TimePoint m_waitBegan{};
    base::TimePoint m_waitDeadline{};
    base::Duration m_waited{};       ///< For runners, before the last attempt.
    base::TimePoint m_answeredAt{};  ///< When the head of the answer came.
    base::TimePoint m_attemptDeadline{};
    std::uint64_t m_tokensToRead = 0;  ///< By the present attempt's runner.
    std::uint32_t m_sent = 0;          ///< Attempts whose bytes left.
    std::uint32_t m_unreachable = 0;   ///< Attempts that found no connection.
    bool m_isAttemptSent = false;      ///< The present attempt's bytes left.
    bool m_isPromptRead = true;        ///< The present attempt's answer has begun.
    bool m_mayHaveRun = false;  ///< An attempt ended whose runner did not deny having run it.
    bool m_isWaiting = false;   ///< For a runner.
    bool m_isWaitingForRoutes = false;  ///< No configuration is known yet.
    bool m_isWaitingForQuota = false;   ///< Units are asked for.
    bool m_isAnswerBegun = false;
    bool m_isEnded = false;
    std::string m_instance;
    base::UnixMilliseconds m_instanceStart = 0;  ///< Of the incarnation; 0: it does not tell.
    base::SocketAddress m_address;               ///< Of the instance.
    bool m_hasBrokenOff = false;                 ///< A runner broke off an answer.
    /// Once they were asked for.
    mutable std::optional<std::uint64_t> m_outline;
    mutable std::optional<cell::RequestIdentity> m_identity;
    base::TimePoint m_attemptSentAt{};
    /// Until when it waits for what a break meant; none: it does not wait for that.
    std::optional<base::TimePoint> m_verdictDeadline;
    std::shared_ptr<http::BackEndConnection> m_connection;
    AnswerUse m_use = AnswerUse::kNone;
    http::AnswerHead m_head;
    std::string m_collected;
    std::optional<EventSplitter> m_events;
    base::TimePoint m_lastEventAt{};  ///< Of any attempt; zero: none has come.
    base::Duration m_longestPause{};  ///< Between events; late streams may owe it to this alone.
    QTimer m_timer;
};

}  // namespace fernlift::proxy
