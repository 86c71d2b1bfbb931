#pragma once

/// Handles one request of a caller from arrival to end: finds the route, sends attempts to runners,
/// or to another router while this one cannot connect to runners, forwards the answer, and answers
/// with an error when no runner's answer can be forwarded.

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/Error.h"
#include "cell/RequestIdentity.h"
#include "http/AnswerParser.h"
#include "http/BufferBudget.h"
#include "http/EventSplitter.h"
#include "http/RetryAfter.h"
#include "log/Log.h"
#include "proxy/Attempt.h"
#include "proxy/CallerConnection.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerSearch.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestParser.h"
#include "proxy/StreamPin.h"

namespace fernlift::proxy
{

class Exchange final : public http::AnswerListener
{
public:
    /// `servedPeer` is the statement of the router that sent the request, if it is not a caller's
    /// own. `onEnd` is called once. The exchange may be destroyed once control is back in the event
    /// loop.
    Exchange (ProxyContext& context, CallerConnection& caller, ParsedRequest request,
              std::optional<PeerRequest> servedPeer,
              std::function<void (Exchange& exchange)> onEnd);
    ~Exchange() override;

    void begin();
    /// Called when the configuration, the set of runners or their held models changed; a waiting
    /// request tries again.
    void onDirectoryChanged();
    /// Called when a runner stated that it accepts no requests from now on, or when this router can
    /// connect to none; an attempt that was not sent yet chooses again.
    void onRunnerUnavailable();
    /// Called when the caller disconnected; cancels the attempt at the runner.
    void onCallerDisconnected();
    /// Called when the caller has read enough of its answer for more of it to be read.
    void onCallerCaughtUp();
    /// Called shortly before the router process ends; answers a request that still waits.
    void onRouterStopping();
    /// Handles every deadline that has passed. May be called at any time.
    void onTimer();
    /// Called when the status of suspect requests changed; ends this request if it is in
    /// quarantine.
    void onSuspectsChanged();
    [[nodiscard]] bool isWaiting() const
    {
        return m_isWaiting || m_isWaitingForRoutes || m_isWaitingForQuota || m_suspectHoldDeadline
               || m_streamVersionDeadline || m_permitChoice;
    }
    /// Whether the caller was sent a part of the answer.
    [[nodiscard]] bool isAnswerBegun() const { return m_isAnswerBegun; }
    /// Logs that the process ends while the request is open.
    void logOpenAtStop() const;
    /// Whether the request is served for another router.
    [[nodiscard]] bool isServedForPeer() const { return m_servedPeer.has_value(); }
    /// Sort key of waiting requests: the most urgent priority first, then the earliest arrival.
    [[nodiscard]] std::pair<int, base::TimePoint> queueOrder() const;

    void onSent() override;
    void onHead (http::AnswerHead head) override;
    void onBody (std::string_view data) override;
    void onDone() override;
    void onFailed (http::BackEndFailure failure) override;

private:
    /// Receives the answer of the silent attempt.
    class SilentAttemptListener final : public http::AnswerListener
    {
    public:
        explicit SilentAttemptListener (Exchange& exchange) : m_exchange (exchange) {}

        void onSent() override {}
        void onHead (http::AnswerHead head) override;
        void onBody (std::string_view data) override;
        void onDone() override;
        void onFailed (http::BackEndFailure failure) override;

    private:
        Exchange& m_exchange;
    };

    [[nodiscard]] base::TimePoint now() const { return m_context.clock.now(); }
    /// Finds the route. Returns false when the request ended or waits for a configuration.
    bool findRoute();
    /// Checks the caller's key. Returns false when the request ended or waits for a configuration.
    bool authenticate();
    /// Whether a leader confirmed the held routes, so that a missing route or key does not exist.
    [[nodiscard]] bool areRoutesCurrent() const;
    void waitForRoutes();
    /// Counts the request against the quota of its tenant. Returns false when the request ended or
    /// waits for a grant.
    bool admit();
    /// Continues once the route is found: checks quarantine and quota, then chooses a runner.
    void admitAndDispatch();
    void readModel();
    void dispatchNext();
    /// Ends a request that no runner has received if its router will probably stop before the
    /// answer is complete. Returns whether it did.
    bool refuseIfStopsBefore();
    /// Status of this request among the requests suspected of crashing runners.
    [[nodiscard]] quarantine::SuspectStatus suspectStatus() const;
    /// Whether anything is recorded of this request, also what does not count as a crash yet.
    [[nodiscard]] bool isRecordedAsSuspect() const;
    /// Status of the parts of the prompt that the request shares with others.
    [[nodiscard]] quarantine::PromptPartStatus promptPartStatus() const;
    /// Ends the request if a part of its prompt is in quarantine and was for long enough. Returns
    /// whether it did.
    bool hasEndedByPromptPart (const quarantine::PromptPartStatus& partStatus);
    /// Whether the request waits since a part of its prompt may be in quarantine, or has ended in
    /// it.
    [[nodiscard]] bool isBlockedByPromptPart();
    /// Identities of the parts of the prompt that the request shares with others.
    [[nodiscard]] const std::vector<cell::RequestIdentity>& sharedPartIdentities() const;
    /// Clears the parts of the prompt after a runner has answered completely.
    void clearPromptParts();
    /// Records that the runner broke off its answer or stopped sending in the middle of it.
    void recordBrokenAnswer();
    /// Records that the attempt was given up while its runner was silent, which may have crashed.
    void recordMissingAnswer (const Attempt& attempt);
    /// Whether the attempt may be evidence that the request crashes runners.
    [[nodiscard]] bool mayAccuse (const Attempt& attempt) const;
    /// Records that the isolation runner of a suspect request accepted no connection.
    void recordIsolationRunnerUnreachable();
    /// Whether the suspect status makes the request wait, or has ended it in quarantine.
    [[nodiscard]] bool isBlockedAsSuspect (const quarantine::SuspectStatus& suspectStatus);
    void refuseQuarantined (const std::string& digest, std::uint32_t crashes,
                            const std::string& message);
    void refuseQuarantinedRequest (const quarantine::SuspectStatus& suspectStatus);
    void refuseQuarantinedPart (const quarantine::PromptPartStatus& partStatus);
    /// Chooses a runner and starts an attempt, or begins to wait.
    void chooseRunner();
    /// Returns true when an attempt at `m_permitChoice` started or its permit is pending, and false
    /// when another runner has to be chosen.
    bool takePermit();
    /// In a brittle service: replaces the choice with the runner at which the request has a slot.
    /// Returns false when it has to wait for one, or has ended.
    bool takeSlot (InstanceChoice& choice);
    /// Asks for a slot of one of the runners that could serve the request.
    void claimSlot (const InstanceChoice& choice);
    /// Whether all runners of the claim could serve the request, and they are as many as `runners`.
    [[nodiscard]] bool isClaimCurrent (std::size_t runners) const;
    void beginWait (const InstanceChoice& choice);
    /// Ends the request if no runner that could serve it accepts another one before its wait
    /// deadline. Returns whether it did.
    bool refuseIfUnavailable (const InstanceChoice& choice);
    /// Time until a runner accepts the request under the rate limits, as far as it is known.
    [[nodiscard]] base::Duration rateLimitWait (const InstanceChoice& choice);
    /// Retry-After time of a caller whose request may be sent after `backoff`.
    [[nodiscard]] base::Duration retryAfterBackoff (base::Duration backoff);
    /// Retry-After time after a runner declined the request.
    [[nodiscard]] base::Duration retryAfterRefusal();
    /// Key of the requests that wait for the rate limits of the same runners.
    [[nodiscard]] std::string rateQueueKey() const;
    /// Ends a request that no runner takes: a begun answer as endBegunAnswer() does, one that may
    /// have run with the message `failure`, any other one as not executed.
    void endWithoutRunner (base::ErrorKind kind, const std::string& message,
                           base::Duration retryAfter,
                           const char* failure = "no other runner could take the request in time");
    void endWait();
    void startAttempt (const InstanceChoice& choice);
    /// Time in which the answer to an attempt that begins now has to be complete.
    [[nodiscard]] base::Duration timeLeftForAttempt() const;
    /// Sends the bytes of the current attempt.
    void sendAttempt (std::string bytes);
    /// Largest number of runners that this router may send the request to.
    [[nodiscard]] std::uint32_t maxAttempts() const;

    // ExchangePeers.cpp
    /// Whether the request should go to another router: this one cannot connect to the runners.
    [[nodiscard]] bool needsPeer (const InstanceChoice& choice) const;
    /// Whether a stream that goes on may do so at another router. One of an earlier build chooses
    /// its runner without regard to software versions.
    [[nodiscard]] bool mayGoOnAtPeer() const;
    /// Sends the request to another router. Returns false when there is none that may serve it.
    bool forwardToPeer();
    /// Ends the request if this router reaches no runner and the search for another one is over.
    /// Returns whether it did.
    bool refuseIfIsolated();
    void startPeerAttempt (const PeerChoice& peer);
    /// Takes the statement of the other router out of its answer and decides how to treat it.
    void onPeerHead (http::AnswerHead& head);
    /// Tries yet another router, or the runners, after one did not serve the request.
    void onPeerDeclined();
    void onPeerFailed (http::BackEndFailure failure);
    /// Whether this router may serve requests of others at the moment, with the configuration by
    /// which this one was admitted.
    [[nodiscard]] bool canServePeer();
    /// Answers another router that the request was not executed and may be served elsewhere.
    void declinePeer (PeerOutcome outcome, const std::string& message);
    [[nodiscard]] PeerAnswer peerAnswer (PeerOutcome outcome) const;
    /// Header fields of a runner's answer, for the caller or for another router.
    [[nodiscard]] http::Headers answerHeaders() const;
    /// Target under which it is recorded that other routers cannot serve requests like this one.
    [[nodiscard]] std::string peerTarget() const;

    /// Whether the table still lists the incarnation that the attempt was sent to.
    [[nodiscard]] bool isCurrentIncarnation (const Attempt& attempt) const;

    // ExchangeSilence.cpp
    /// Restarts the silence limit of the attempt, after the request was sent or bytes were
    /// received.
    void extendSilenceDeadline();
    /// Silence after which the request is sent to another runner; none when it may not be sent
    /// again.
    [[nodiscard]] std::optional<base::Duration> silenceLimit() const;
    void onSilence();
    /// Requests the rest of a begun answer from another runner. The silent attempt goes on until
    /// that runner has begun.
    void requestRestElsewhere();
    /// Time until which the silent attempt and one without an answer yet may work side by side;
    /// none: there are no two.
    [[nodiscard]] std::optional<base::TimePoint> overlapEnd() const;
    void endSilentAttempt (AttemptEnd end);
    /// Makes the silent attempt the current one again and gives up the other, or the wait for it.
    /// Logs `reason`.
    void returnToSilentAttempt (log::Event reason);

    void armTimer();
    /// Ends a request for which no runner was found before the wait deadline.
    void onWaitTimeout();
    /// Ends the current attempt. With `mayReuse` its connection goes back to the pool.
    void endAttempt (AttemptEnd end, bool mayReuse) { endAttempt (m_attempt, end, mayReuse); }
    void endAttempt (Attempt& attempt, AttemptEnd end, bool mayReuse);
    /// Retries that the service of the request may still get from this router.
    [[nodiscard]] dispatch::RetryBudget& retryBudget()
    {
        m_context.retryBudgets.expire (now());
        return m_context.retryBudgets.of (m_query.service);
    }
    /// Whether the request may be sent again, apart from the retry budget.
    [[nodiscard]] bool mayRepeat() const;
    /// Whether the request may be sent again.
    [[nodiscard]] bool mayRunAgain();
    /// Takes one retry from the budget of the service; false if the budget is spent.
    bool tryRetry();
    /// Gives back a retry whose attempt was not sent.
    void returnUnsentRetry();
    /// Gives back the retry of a request that waits, until it can be sent.
    void postponeRetry();
    /// Takes the retry of a request that waited. Returns false when the budget is spent, with which
    /// the request has ended.
    bool takePostponedRetry();
    void afterRefusal();
    void afterFailure();
    void forwardHead();
    /// Lets the stream go on only at runners of the software version that wrote its first event.
    void pinSoftwareVersion();
    /// Requires the software version of the stream that the caller resumes. Returns false when the
    /// request ended, as the version is not known, or waits for the controllers to state it.
    bool pinResumedStream();
    /// Whether the controllers will probably state soon which version the stream has, or which
    /// versions there were.
    [[nodiscard]] bool isStreamVersionAwaited (const SoftwareVersionsInUse& inUse);
    /// Waits for the controllers' statement. Returns false when the time for that is over.
    bool waitForStreamVersion();
    void refuseUnknownStream (const SoftwareVersionsInUse& inUse);
    /// Software versions of the runners that may have received a request since then.
    [[nodiscard]] SoftwareVersionsInUse softwareVersionsSince (base::TimePoint since) const;
    /// Software versions of the runners that may have begun a stream that still goes on.
    [[nodiscard]] SoftwareVersionsInUse softwareVersionsOfStreams() const;
    /// Records the software version of the stream at all routers, so that its caller can resume it
    /// at any, if it may resume it and versions are mixed.
    void announceStream();
    [[nodiscard]] std::string streamKey (const std::string& request) const;
    /// Time for which a stream of this route may go on after it has begun.
    [[nodiscard]] base::Duration streamLifetime() const;
    /// Whether no runner has the software version of the stream any more.
    [[nodiscard]] bool isSoftwareVersionGone() const;
    /// Forwards complete events of a stream.
    void forwardEvents (std::string_view events);
    /// Writes a part of the answer, and pauses the runner if the caller is behind.
    void writeToCaller (std::string_view data);
    /// Stops reading the answer until the caller has caught up. Meanwhile the runner is not silent.
    void pauseAnswer();
    void resumeAnswer (Attempt& attempt);
    /// Records the bytes of the answer that are kept back.
    void updateKeptBytes();
    /// Bytes of an answer that may be kept back until it is complete.
    [[nodiscard]] std::size_t maxBufferedBytes() const;
    [[nodiscard]] bool isTooLong (const http::EventSplitter& events) const;
    /// Records what the head of a runner's answer shows about the runner.
    void recordHead (const http::AnswerHead& head);
    void recordBytes();
    void recordAttemptEnd (Attempt& attempt, AttemptEnd end);
    /// Ends an attempt that gives no whole answer although its connection did not fail: it was
    /// silent for too long, or its stream ended inside an event.
    void onAttemptBroken();
    /// Ends an answer whose message is complete: it is broken if its events end inside one.
    void finishEvents (const http::EventSplitter& events);
    /// Ends an attempt at a runner that gave no whole answer, and tries again if it may.
    void failAttempt();
    /// Records whether the failed attempt shows that connections to the runner fail.
    void recordFailure (http::BackEndFailure failure);
    void recordPrefillEnd (Attempt& attempt);
    void recordLoad (const http::AnswerHead& head);
    void recordRate (const http::AnswerHead& head);
    void recordAvailability (const http::AnswerHead& head);
    /// Backoff that a declining answer asks for, or that the brittleness of the runner calls for.
    [[nodiscard]] http::RetryAfter statedBackoff (const http::AnswerHead& head) const;
    void recordBackoff (const http::RetryAfter& stated);
    void recordBrittleness (const http::AnswerHead& head);
    /// Counts and logs that the runner had no room for the request.
    void recordDecline (const http::AnswerHead& head);
    /// Value of the field by which the runner states that it is brittle; empty if it does not.
    [[nodiscard]] std::string statedBrittleness (const http::AnswerHead& head) const;
    /// Whether the runner states that it did not execute the request.
    [[nodiscard]] bool isRefusal (const http::AnswerHead& head) const;
    void finishAnswer();
    void refuse (base::ErrorKind kind, const std::string& message, base::Duration retryAfter);
    void fail (base::ErrorKind kind, const std::string& message);
    void sendError (const base::Error& error, std::optional<base::Duration> retryAfter);
    void logEnd (log::Event event, const std::string& cause) const;
    void logResend (log::Event event) const;
    /// Logs that the stream of the runner ended inside an event.
    void logIncompleteStream (const http::EventSplitter& events) const;
    /// Id of the request whose stream the caller resumes; empty if it resumes none.
    [[nodiscard]] std::string resumedRequest() const
    {
        return m_request.headers.value (m_context.names.resumedRequest);
    }
    /// Name of the tenant, or the address of the caller without one.
    [[nodiscard]] std::string callerName() const;
    /// Name of the tenant; empty without one.
    [[nodiscard]] std::string tenantName() const;
    [[nodiscard]] const cell::RequestIdentity& identity() const;
    /// Digest of the request for logs; empty unless a runner broke off an answer to this request.
    [[nodiscard]] std::string loggedIdentity() const;
    /// Digests of the shared parts of the prompt; empty unless a runner broke off an answer.
    [[nodiscard]] std::string loggedPromptParts() const;
    /// Ends a begun answer that no runner can complete, unless its silent runner may still.
    void endBegunAnswer();
    void abortAnswer();
    void end();

    ProxyContext& m_context;
    CallerConnection& m_caller;
    ParsedRequest m_request;
    std::function<void (Exchange&)> m_onEnd;
    std::shared_ptr<const RouteTable> m_routes;
    const config::Route* m_route = nullptr;
    const config::Tenant* m_tenant = nullptr;  ///< Points into `m_routes`; null where no key is
                                               ///< needed.
    QuotaTicket m_quota;
    InstanceQuery m_query;
    PinSource m_pinSource = PinSource::kNone;
    /// End of the wait for the software version of the resumed stream; set while it lasts.
    std::optional<base::TimePoint> m_streamVersionDeadline;
    std::optional<InstanceChoice> m_permitChoice;  ///< Runner for which a permit is pending.
    quota::QuotaClaim m_permit;
    base::TimePoint m_permitRequestedAt{};
    base::Duration m_permitWaited{};    ///< Sum over all permits of the request.
    SlotTicket m_slotTicket;            ///< Claim on a slot in a brittle service.
    base::TimePoint m_slotClaimedAt{};  ///< When its runners were chosen.
    bool m_isWaitingForRate = false;    ///< Whether the request is counted under rateQueueKey().
    EngineTarget m_target;
    base::TimePoint m_arrivedAt{};
    base::Duration m_callerTimeout{};  ///< Time that the caller waits, as stated in its request.
    base::TimePoint m_deadline{};
    base::TimePoint m_waitBegan{};
    base::TimePoint m_waitDeadline{};
    base::Duration m_waited{};         ///< Time spent waiting for runners before the last attempt.
    base::TimePoint m_answeredAt{};    ///< When the answer head was received.
    std::uint32_t m_sentAttempts = 0;  ///< Attempts whose request was written to the runner.
    std::uint32_t m_unreachableAttempts = 0;  ///< Attempts for which no connection could be opened.
    bool m_mayHaveRun = false;  ///< Whether an attempt ended without a statement that the request
                                ///< was not executed.
    bool m_isWaiting = false;   ///< Waiting for a runner.
    bool m_isWaitingForRoutes = false;  ///< Waiting for a configuration.
    bool m_isWaitingForQuota = false;   ///< Waiting for a quota grant.
    bool m_isAnswerBegun = false;
    bool m_isStreamAnnounced = false;
    bool m_isEnded = false;
    bool m_hasBrokenAnswer = false;   ///< Whether a runner broke off an answer.
    bool m_holdsRetry = false;        ///< A retry was taken whose attempt is not sent yet.
    bool m_isRetryPostponed = false;  ///< A retry has to be taken before the next attempt.
    bool m_isRetryDenied = false;  ///< Whether the last retry that was wanted exceeded the budget.
    /// Computed on first use.
    mutable std::optional<std::uint64_t> m_fingerprint;
    mutable std::optional<cell::RequestIdentity> m_identity;
    mutable std::optional<std::vector<cell::RequestIdentity>> m_sharedParts;
    /// Until when the request waits for a decision on whether it crashed a runner; none: no wait.
    std::optional<base::TimePoint> m_suspectHoldDeadline;
    std::optional<PeerRequest> m_servedPeer;  ///< Router for which the request is served.
    PeerSearch m_peerSearch;
    Attempt m_attempt;  ///< The current or the last one.
    /// Attempt whose runner is silent in the middle of the answer, while the rest is requested from
    /// another one; `m_attempt` is the one at that runner, or there is none yet.
    std::optional<Attempt> m_silentAttempt;
    SilentAttemptListener m_silentListener{ *this };
    std::optional<http::EventSplitter> m_events;
    http::BufferBudget::Usage m_keptBytes;  ///< Bytes of the answer that are kept back.
    base::TimePoint m_lastEventAt{};        ///< Last event of any attempt; zero before the first.
    base::Duration m_longestPause{};  ///< Longest gap between two events, logged as a possible sole
                                      ///< cause of a late stream.
    QTimer m_timer;
};

}  // namespace fernlift::proxy
