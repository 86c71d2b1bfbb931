#pragma once

/// Test support: drives a RouterCore without a network. The test acts as the controller and the
/// back ends; effects are collected by kind.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "router/RouterCore.h"

namespace fernlift::router::testing
{

inline constexpr const char* kCatalogueText = R"(
cell = "test"
version = 1
zones = ["z1", "z2"]
largest_runner_memory_mb = 80000

[prices]
cold_start_second = 1.0
idle_accelerator_hour = 1.0

[weight_store]
loads_per_second = 1.0
concurrent_loads = 1

[[class]]
name = "urgent"
urgency = 0
deadline_ms = 1000
reserved_slot_share = 0.25

[[class]]
name = "payment"
urgency = 1
deadline_ms = 2000
repeatable = false

[[class]]
name = "deep"
urgency = 8
deadline_ms = 60000

[[model]]
name = "m"
version = "1"
memory_mb = 1000
max_replicas = 4
class = "urgent"

[[model]]
name = "deep-model"
version = "1"
memory_mb = 1000
max_replicas = 4
class = "deep"

[[application]]
name = "portal"
class = "payment"
)";

/// The answer that a caller has received so far.
struct CallerView
{
    std::optional<AnswerHeaders> headers;
    std::string text;
    int ends = 0;  ///< Number of final events, AnswerEnd or AnswerError.
    std::optional<AnswerError> error;
};

class RouterHarness
{
public:
    explicit RouterHarness (RouterOptions options = defaultOptions(), std::uint64_t seed = 1)
        : m_core (std::move (options), seed, m_now, kUnixStart)
    {
    }

    static RouterOptions defaultOptions()
    {
        RouterOptions options;
        options.router = base::RouterId ("router-1");
        options.cell = base::CellId ("test");
        options.zone = base::ZoneName ("z1");
        options.address = "127.0.0.1:1";
        return options;
    }

    static cell::RoutableReplica replica (const std::string& runner, const std::string& target,
                                          std::uint32_t slots = 8)
    {
        cell::RoutableReplica row;
        row.replica = 10;
        row.runner = base::RunnerId (runner);
        row.incarnation = 1;
        row.zone = base::ZoneName ("z1");
        row.address = "127.0.0.1:9000";
        row.target = target;
        row.slots = slots;
        row.credits = slots;
        return row;
    }

    static cell::RoutableReplica application (const std::string& runner, std::uint32_t slots = 8)
    {
        cell::RoutableReplica row = replica (runner, "portal", slots);
        row.replica = 0;
        row.isApplication = true;
        return row;
    }

    RouterCore& core() { return m_core; }
    [[nodiscard]] base::TimePoint now() const { return m_now; }

    /// Advances time in steps of at most 10 ms, with a tick at each.
    void advance (base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        while (m_now < end)
        {
            m_now = std::min<base::TimePoint> (end, m_now + base::milliseconds (10));
            m_core.setTime (m_now, kUnixStart + base::toMilliseconds (m_now.time_since_epoch()));
            m_core.onTick();
            collect();
            if (grantsLeases)
                answerLeases();
        }
    }

    /// Connects the controller and sends configuration, lease and replicas.
    void connect (std::vector<cell::RoutableReplica> replicas)
    {
        m_core.onControllerConnected();
        collect();
        fromController (cell::ConfigurationUpdate{ 1, "digest-1", kCatalogueText });
        answerLeases();
        setReplicas (std::move (replicas));
    }

    void setReplicas (std::vector<cell::RoutableReplica> replicas,
                      std::vector<cell::TargetEstimate> estimates = {})
    {
        cell::ReplicaUpdate update;
        update.toVersion = ++m_tableVersion;
        update.upserts = std::move (replicas);
        update.estimates = std::move (estimates);
        fromController (update);
    }

    void fromController (const cell::ControllerToRouter& message)
    {
        m_core.onControllerMessage (message);
        collect();
    }

    /// Grants every unanswered lease request.
    void answerLeases()
    {
        for (const cell::LeaseRequest& request : std::exchange (leaseRequests, {}))
        {
            fromController (cell::LeaseGrant{ request.sequence, request.configurationVersion,
                                              request.configurationDigest, 1, leaseMilliseconds,
                                              request.replicaTableVersion });
        }
    }

    /// Answers every unanswered claim with the same verdict.
    void answerClaims (cell::ClaimVerdict verdict)
    {
        for (const cell::ClaimRequest& request : std::exchange (claimRequests, {}))
        {
            cell::ClaimReply reply{ request.sequence, {} };
            for (const cell::Claim& claim : request.claims)
            {
                reply.answers.push_back ({ claim.key, claim.request, verdict, 200 });
            }
            fromController (reply);
        }
    }

    static RequestHead completion (const std::string& id, const std::string& target = "m",
                                   bool isStreaming = true)
    {
        RequestHead head;
        head.id = base::RequestId (id);
        head.target = target;
        head.caller = "caller";
        head.isStreaming = isStreaming;
        head.bodyBytes = 100;
        return head;
    }

    static RequestHead payment (const std::string& id, const std::string& key)
    {
        RequestHead head = completion (id, "portal", false);
        head.protocol = Protocol::kApplication;
        head.idempotencyKey = base::IdempotencyKey (key);
        head.requestDigest = "digest of " + key;
        return head;
    }

    RequestTicket request (const RequestHead& head)
    {
        const RequestTicket ticket = m_core.onRequest (head);
        collect();
        return ticket;
    }
    void disconnectCaller (RequestTicket ticket)
    {
        m_core.onCallerDisconnected (ticket);
        collect();
    }
    void event (AttemptId attempt, const AttemptEvent& event)
    {
        m_core.onAttemptEvent (attempt, event);
        collect();
    }
    /// Answers an attempt with a stream or body of one part.
    void answerWhole (AttemptId attempt, const std::string& text, int httpStatus = 200)
    {
        event (attempt, AttemptHeaders{ httpStatus, false });
        event (attempt, AttemptData{ 0, 1, text });
        event (attempt, AttemptEnded{});
    }

    /// Attempts of a request, in the order of their start.
    [[nodiscard]] std::vector<StartAttempt> attemptsOf (RequestTicket ticket) const
    {
        std::vector<StartAttempt> attempts;
        for (const StartAttempt& start : starts)
        {
            if (start.ticket == ticket)
                attempts.push_back (start);
        }
        return attempts;
    }
    [[nodiscard]] bool isCancelled (AttemptId attempt) const
    {
        return std::find (cancelled.begin(), cancelled.end(), attempt) != cancelled.end();
    }
    [[nodiscard]] bool isLeakFree() const
    {
        const RouterCounters counters = m_core.counters();
        return counters.admitted
               == counters.answered + counters.refused + counters.callersDisconnected
                      + counters.open;
    }

    bool grantsLeases = true;
    std::int64_t leaseMilliseconds = 2000;
    std::map<RequestTicket, CallerView> callers;
    std::vector<StartAttempt> starts;
    std::vector<AttemptId> cancelled;
    std::vector<ConnectController> connects;
    std::vector<cell::RouterHello> hellos;
    std::vector<cell::LeaseRequest> leaseRequests;
    std::vector<cell::ClaimRequest> claimRequests;
    std::vector<cell::OutcomeRecord> outcomes;
    std::vector<cell::DemandReport> demands;
    std::vector<cell::RunnerLeavingReport> leavingSeen;

    /// Collects the effects of the core by kind.
    void collect()
    {
        for (Effect& effect : m_core.takeEffects())
        {
            std::visit ([this] (auto& content) { take (content); }, effect);
        }
    }

private:
    static constexpr base::UnixMilliseconds kUnixStart = 1'800'000'000'000;

    void take (const SendToController& send)
    {
        std::visit ([this] (const auto& message) { takeMessage (message); }, send.message);
    }
    void take (const ConnectController& connect) { connects.push_back (connect); }
    void take (const StartAttempt& start) { starts.push_back (start); }
    void take (const CancelAttempt& cancel) { cancelled.push_back (cancel.attempt); }
    void take (const AnswerHeaders& headers) { callers[headers.ticket].headers = headers; }
    void take (const AnswerData& data) { callers[data.ticket].text += data.data; }
    void take (const AnswerEnd& end) { callers[end.ticket].ends += 1; }
    void take (const AnswerError& error)
    {
        callers[error.ticket].ends += 1;
        callers[error.ticket].error = error;
    }

    void takeMessage (const cell::RouterHello& hello) { hellos.push_back (hello); }
    // A router of the completions interface does not send these messages.
    void takeMessage (const cell::EngineDemandReport& /*report*/) {}
    void takeMessage (const cell::MemberJoinRequest& /*request*/) {}
    void takeMessage (const cell::InstanceUnreachable& /*report*/) {}
    void takeMessage (const cell::RelayedHeartbeats& /*sightings*/) {}
    void takeMessage (const cell::QuotaRequest& /*request*/) {}
    void takeMessage (const cell::SuspectReport& /*report*/) {}
    void takeMessage (const cell::InstanceLoadReport& /*report*/) {}
    void takeMessage (const cell::InstanceRateReport& /*report*/) {}
    void takeMessage (const cell::InstancePermitRequest& /*request*/) {}
    void takeMessage (const cell::RouterPeers& /*peers*/) {}
    void takeMessage (const cell::RetryReserveRequests& /*requests*/) {}
    void takeMessage (const cell::StreamRecords& /*records*/) {}
    void takeMessage (const cell::StreamLookup& /*lookup*/) {}
    void takeMessage (const cell::SlotReports& /*reports*/) {}
    void takeMessage (const cell::LeaseRequest& request) { leaseRequests.push_back (request); }
    void takeMessage (const cell::DemandReport& report) { demands.push_back (report); }
    void takeMessage (const cell::ClaimRequest& request) { claimRequests.push_back (request); }
    void takeMessage (const cell::OutcomeReport& report)
    {
        outcomes.insert (outcomes.end(), report.outcomes.begin(), report.outcomes.end());
    }
    void takeMessage (const cell::RunnerLeavingReport& seen) { leavingSeen.push_back (seen); }

    base::TimePoint m_now{ base::seconds (1000) };
    std::uint64_t m_tableVersion = 0;
    RouterCore m_core;
};

}  // namespace fernlift::router::testing
