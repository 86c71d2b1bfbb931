#pragma once

/// Implementation of RouterCore, split over several files: controller messages in RouterCore.cpp,
/// queueing and refusals in RouterAdmission.cpp, attempts and answers in RouterDispatch.cpp, final
/// answers and timers in RouterEnds.cpp, metrics in RouterMetrics.cpp.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/AdmissionQueues.h"
#include "admission/WaitEstimator.h"
#include "base/Random.h"
#include "dispatch/ClaimTracker.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/RetryPolicy.h"
#include "router/ActiveConfiguration.h"
#include "router/DemandReporter.h"
#include "router/RequestTraces.h"
#include "router/RouterCore.h"
#include "router/RouterRequest.h"
#include "routing/OutlierDetector.h"
#include "routing/PrefixIndex.h"
#include "routing/ReplicaChooser.h"
#include "routing/ReplicaTable.h"
#include "routing/RunnerAvailability.h"

namespace fernlift::router
{

/// Name of the runner's incarnation among statements of availability.
[[nodiscard]] inline cell::Incarnation incarnationOf (const cell::RoutableReplica& replica)
{
    return { replica.runner.value, static_cast<base::UnixMilliseconds> (replica.incarnation) };
}

class RouterCore::Implementation
{
public:
    Implementation (RouterOptions options, std::uint64_t randomSeed, base::TimePoint now,
                    base::UnixMilliseconds unixNow);

    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);
    void onTick();
    void onControllerConnected();
    void onControllerLost();
    void onControllerMessage (const cell::ControllerToRouter& message);
    RequestTicket onRequest (const RequestHead& head);
    void onCallerDisconnected (RequestTicket ticket);
    void onCallerPaused (RequestTicket ticket, bool isPaused);
    void onAttemptEvent (AttemptId attempt, const AttemptEvent& event);
    std::uint64_t onCacheEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                                 const std::vector<routing::CacheEvent>& events);
    void beginStop();
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::uint64_t configurationVersion() const { return m_configuration.version(); }
    [[nodiscard]] const std::string& configurationDigest() const
    {
        return m_configuration.digest();
    }
    std::vector<Effect> takeEffects();
    [[nodiscard]] RouterCounters counters() const;
    [[nodiscard]] std::vector<std::string> targets() const { return m_configuration.targets(); }
    [[nodiscard]] std::string explainRequest (const base::RequestId& id) const;
    [[nodiscard]] std::string metricsText() const;

private:
    using Requests = std::map<RequestTicket, RouterRequest>;

    /// Reason for refusing a request, with the estimated time until it could be served.
    struct Refusal
    {
        base::ErrorKind kind = base::ErrorKind::kInternal;
        std::string message;
        base::Duration estimate{};
    };

    // Controller messages.
    void handle (const cell::NotLeaderReply& reply);
    void handle (const cell::ConfigurationUpdate& update);
    void handle (const cell::LeaseGrant& grant);
    void handle (const cell::ReplicaUpdate& update);
    void handle (const cell::ClaimReply& reply);
    /// Registered services are handled by ProxyProcess.
    void handle (const cell::InstanceUpdate& /*update*/) {}
    /// Only controllers request to join a cell.
    void handle (const cell::MemberJoinReply& /*reply*/) {}
    /// Tenant quotas, suspects, loads and rates of instances are handled by ProxyProcess.
    void handle (const cell::QuotaGrant& /*grant*/) {}
    void handle (const cell::SuspectUpdate& /*update*/) {}
    void handle (const cell::SuspectReport& /*report*/) {}
    void handle (const cell::InstanceLoadUpdate& /*update*/) {}
    void handle (const cell::InstanceRateUpdate& /*update*/) {}
    void handle (const cell::InstancePermitGrant& /*grant*/) {}
    void handle (const cell::RouterPeers& /*peers*/) {}
    void handle (const cell::RetryReserveGrants& /*grants*/) {}
    void handle (const cell::StreamRecords& /*records*/) {}
    void handle (const cell::StreamLookupReply& /*reply*/) {}
    void handle (const cell::BrittleServices& /*services*/) {}
    void handle (const cell::SlotGrants& /*grants*/) {}
    /// Cell time, extrapolated from the leader's last value with the monotonic clock so that a step
    /// of this machine's wall clock has no effect; 0 before the first value.
    [[nodiscard]] base::UnixMilliseconds cellTime() const;
    void pollController();
    void sendToController (cell::RouterToController message);
    void sendDemand();
    [[nodiscard]] DemandByTarget currentDemand() const;
    void checkLease();
    /// Follow-up work after an input: serves the queues and sends the messages that are due.
    void settle();

    // Queueing and refusals.
    [[nodiscard]] std::optional<Refusal> reasonToRefuseAtOnce (const RequestHead& head) const;
    [[nodiscard]] std::optional<Refusal> reasonNotServable (const RouterRequest& request,
                                                            std::size_t ahead) const;
    RouterRequest& admit (const RequestHead& head, const config::RequestClass& requestClass);
    void enqueueNew (RouterRequest& request);
    void requeue (RouterRequest& request);
    [[nodiscard]] admission::QueuedRequest queueEntry (const RouterRequest& request) const;
    /// Refuses waiting requests that the replica table or the configuration does not allow.
    void refuseUnservable();
    /// Refuses waiting requests whose estimated wait exceeds their deadlines.
    void checkWaitEstimates();
    void refuseWaiting (base::ErrorKind kind, const std::string& message, base::Duration estimate);
    void serveQueues();
    void serveTarget (const std::string& target, int urgency);
    [[nodiscard]] std::optional<cell::RoutableReplica> chooseReplica (const RouterRequest& request);
    [[nodiscard]] bool hasRoom (const routing::ReplicaState& state, int urgency) const;
    /// Time until the runner accepts another request after a backoff; zero: now.
    [[nodiscard]] base::Duration backoffOf (const cell::RoutableReplica& replica) const;
    /// Time until the first runner of the target accepts a request; zero: now.
    [[nodiscard]] base::Duration shortestBackoff (const std::string& target) const;
    [[nodiscard]] base::Duration waitEstimate (const RouterRequest& request) const;

    // Attempts and answers.
    void beginService (RouterRequest& request, const cell::RoutableReplica& replica);
    void requestClaim (RouterRequest& request, const cell::RoutableReplica& replica);
    void onClaimAnswer (const cell::ClaimAnswer& answer);
    void onClaimGranted (RouterRequest& request);
    void startAttempt (RouterRequest& request, const cell::RoutableReplica& replica);
    void startHedge (RouterRequest& request);
    [[nodiscard]] base::TimePoint firstByteBy (const RouterRequest& request) const;
    void handle (RouterRequest& request, AttemptId id, const AttemptNotSent& event);
    void handle (RouterRequest& request, AttemptId id, const AttemptRefused& event);
    void handle (RouterRequest& request, AttemptId id, const AttemptHeaders& event);
    void handle (RouterRequest& request, AttemptId id, const AttemptData& event);
    void handle (RouterRequest& request, AttemptId id, const AttemptEnded& event);
    void handle (RouterRequest& request, AttemptId id, const AttemptBroken& event);
    bool selectAttempt (RouterRequest& request, AttemptId id);
    void forwardData (RouterRequest& request, const AttemptData& part);
    void beginAnswer (RouterRequest& request);
    void onAttemptFailed (RouterRequest& request, AttemptId id, dispatch::AttemptFailure failure,
                          std::optional<base::Duration> retryAfter = std::nullopt);
    void retry (RouterRequest& request, dispatch::AttemptFailure failure);
    void failAfterAttempt (RouterRequest& request, dispatch::AttemptFailure failure,
                           std::optional<base::Duration> retryAfter);
    void reportLeavingRunner (const cell::RoutableReplica& replica);
    /// Removes an attempt and, with `cancel`, cancels it at the back end.
    void dropAttempt (RouterRequest& request, AttemptId id, bool cancel);

    // Final answers and timers.
    void fail (RouterRequest& request, base::Error error, base::Execution execution,
               std::optional<base::Duration> retryAfter);
    void failNotRun (RouterRequest& request, const Refusal& refusal);
    void answerError (const RouterRequest& request, base::Error error, base::Execution execution,
                      std::optional<base::Duration> retryAfter);
    void recordOutcome (RouterRequest& request, cell::ClaimOutcome outcome, int httpStatus);
    /// Releases the resources of a request and removes it.
    void forget (RouterRequest& request);
    void detach (RouterRequest& request);
    void onDeadline (RouterRequest& request);
    void onRequestTimer (RouterRequest& request);
    void setTimer (RouterRequest& request);
    [[nodiscard]] std::optional<base::TimePoint> nextTimer (const RouterRequest& request) const;
    [[nodiscard]] bool awaitsFirstByte (const RouterRequest& request) const;
    void runTimers();
    void trace (const RouterRequest& request, std::string step);

    RouterOptions m_options;
    base::Random m_random;
    base::TimePoint m_now;
    base::UnixMilliseconds m_unixNow;
    base::UnixMilliseconds m_lastCellTime = 0;  ///< Zero before the first value from the leader.
    base::TimePoint m_lastCellTimeAt{};
    std::string m_processNonce;  ///< Part of claim identifiers, unique to this process run.

    cell::ControllerSession m_session;
    ActiveConfiguration m_configuration;
    bool m_needsWholeConfiguration = false;  ///< A delta to another version was received.
    routing::ReplicaTable m_table;
    routing::OutlierDetector m_outliers;
    routing::RunnerAvailability m_availability;  ///< Backoffs; the table holds who is leaving.
    routing::PrefixIndex m_prefixes;
    routing::ReplicaChooser m_chooser;
    admission::AdmissionQueues m_queues;
    admission::WaitEstimator m_waits;
    dispatch::RetryBudget m_retryBudget;
    dispatch::ClaimTracker m_claims;
    DemandReporter m_demand;
    RequestTraces m_traces;

    Requests m_requests;
    std::map<AttemptId, RequestTicket> m_attemptOwners;
    std::map<base::RequestId, RequestTicket> m_claimOwners;
    std::set<std::pair<base::TimePoint, RequestTicket>> m_timers;
    RequestTicket m_lastTicket = 0;
    AttemptId m_lastAttempt = 0;
    bool m_hadLease = false;
    base::TimePoint m_nextWaitCheck{};
    bool m_mustServe = false;  ///< Set by changes that may allow a dispatch.
    std::optional<base::TimePoint> m_stoppingSince;
    RouterCounters m_counters;
    std::map<base::ErrorKind, std::uint64_t> m_errorsByKind;
    std::vector<Effect> m_effects;
};

}  // namespace fernlift::router
