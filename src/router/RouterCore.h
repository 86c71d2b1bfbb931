#pragma once

/// State machine of one router without I/O: admission, choice of replica, dispatch, retry and the
/// lease on the configuration. An adapter feeds it inputs and executes its effects; RouterProcess
/// does so with sockets, the simulator without. Single-threaded.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "cell/ControllerSession.h"
#include "cell/RouterMessages.h"
#include "routing/PrefixIndex.h"

namespace fernlift::router
{

/// Identifier of one caller's request inside this router; never reused.
using RequestTicket = std::uint64_t;
/// Identifier of one attempt at a back end inside this router; never reused.
using AttemptId = std::uint64_t;

/// Faults injected by tests to prove that their checks detect them. Never set outside tests.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kRetrySentUnrepeatable,  ///< A non-repeatable request is sent again.
    kPassDuplicateChunks,    ///< Duplicate chunks are forwarded to the caller.
    kDropRefusal,            ///< Refused requests are not answered.
    kIgnoreLease,            ///< Requests are admitted without a lease.
    kNotRunAfterBytes,       ///< Every failure is reported as "not run".
    kMixAttempts,            ///< A restarted answer keeps parts of an earlier attempt.
    kDispatchToLeaving,      ///< Leaving notices of runners are ignored.
    kStarveUrgent,           ///< Queues are served in reverse order of urgency.
    kHoldHopeless,           ///< Unservable requests wait until their deadline.
};

struct RouterOptions
{
    base::RouterId router;
    base::CellId cell;
    base::ZoneName zone;
    std::string address;
    std::size_t maximumQueuedRequests = 4096;
    std::size_t maximumQueuedBytes = 256UL * 1024 * 1024;
    std::size_t maximumQueuedPerTarget = 1024;
    base::Duration connectTimeout = base::milliseconds (300);
    base::Duration betweenTokensTimeout = base::seconds (5);
    /// Time from the deadline of the first byte to the deadline of the complete answer.
    base::Duration wholeAnswerTimeout = base::seconds (600);
    base::Duration demandInterval = base::milliseconds (200);
    std::uint32_t maximumAttempts = 3;
    double retryBudgetShare = 0.2;  ///< Retries allowed as a share of first attempts.
    std::size_t requestTraces = 4096;
    base::Duration claimWindow =
        base::seconds (600);  ///< Claims are kept this long after the request's deadline.
    /// An answer that is not streamed is buffered up to this size, so that a broken attempt can be
    /// repeated.
    std::size_t maximumBufferedAnswer = 1024UL * 1024;
    /// Urgent repeatable requests without streaming get a second attempt at another replica after
    /// this time without a byte. nullopt disables hedging.
    std::optional<base::Duration> hedgeAfter;
    int hedgeMaximumUrgency = 0;  ///< Largest urgency value that is hedged.
    /// Wait limit for the outcome of a non-repeatable request after its caller was answered or
    /// disconnected.
    base::Duration outcomeWait = base::seconds (30);
    PlantedFault plantedFault = PlantedFault::kNone;
};

enum class Protocol : std::uint8_t
{
    kCompletions,  ///< Calls of /v1/chat/completions or /v1/completions at an engine.
    kApplication,  ///< Calls of /apps/NAME/... at an application back end.
};

/// The part of a request that the core needs; the adapter keeps the bytes.
struct RequestHead
{
    base::RequestId id;
    Protocol protocol = Protocol::kCompletions;
    std::string target;  ///< Model, adapter or application name.
    std::optional<base::RequestClassName> requestClass;
    std::optional<base::Duration> deadline;  ///< Time from arrival to the first byte.
    base::IdempotencyKey idempotencyKey;     ///< May be empty.
    std::string requestDigest;  ///< Result of sha256Hex over method, path, query and body.
    std::string caller;         ///< API key or peer address, for fair queueing.
    bool isStreaming = false;
    bool isSafeMethod = false;  ///< GET or HEAD, which are repeatable in every class.
    std::size_t bodyBytes = 0;
    std::vector<std::uint64_t> prefixHashes;  ///< Hashes of the prompt's leading blocks, in order.
};

// Events of an attempt, reported by the adapter (or simulator).

/// The connection could not be opened; no byte was sent.
struct AttemptNotSent
{
};
/// The back end refused the request without running it (429 or 503 with `not_run`).
struct AttemptRefused
{
    int httpStatus = 0;
    bool runnerIsLeaving = false;
    std::optional<base::Duration> retryAfter;
};
/// The status line and headers of the answer arrived.
struct AttemptHeaders
{
    int httpStatus = 0;
    bool runnerIsLeaving = false;
};
/// Part of the answer arrived. `offset` is the position of its first token in a completion stream,
/// and of its first byte in other bodies.
struct AttemptData
{
    std::uint64_t offset = 0;
    std::uint64_t count = 0;  ///< Number of tokens (or bytes) in `data`.
    std::string data;
};
/// The answer is complete.
struct AttemptEnded
{
};
/// The connection broke, or the adapter found the answer to be malformed.
struct AttemptBroken
{
};

using AttemptEvent = std::variant<AttemptNotSent, AttemptRefused, AttemptHeaders, AttemptData,
                                  AttemptEnded, AttemptBroken>;

// Effects that the adapter executes.

struct SendToController
{
    cell::RouterToController message;
};
using cell::ConnectController;
/// Send the request, whose bytes the adapter has, to this back end once.
struct StartAttempt
{
    RequestTicket ticket = 0;
    AttemptId attempt = 0;
    cell::RoutableReplica replica;
    int urgency = 0;
    std::uint64_t resumeFrom = 0;  ///< Token offset for a resumed stream.
    base::Duration connectTimeout{};
};
/// Cancel an attempt, also at the back end, and ignore the rest of its answer.
struct CancelAttempt
{
    AttemptId attempt = 0;
};
/// Begin the caller's answer with the headers of `attempt`, one of possibly several attempts at the
/// request. All events of the attempt may have arrived before.
struct AnswerHeaders
{
    RequestTicket ticket = 0;
    int httpStatus = 200;
    AttemptId attempt = 0;
};
/// Write the next part of the caller's answer.
struct AnswerData
{
    RequestTicket ticket = 0;
    std::string data;
};
/// Complete the caller's answer.
struct AnswerEnd
{
    RequestTicket ticket = 0;
};
/// Answer the caller with an error: as the complete answer if nothing was sent yet, else as an
/// error event that ends the stream.
struct AnswerError
{
    RequestTicket ticket = 0;
    base::Error error;
    base::Execution execution = base::Execution::kNotRun;
    std::optional<base::Duration> retryAfter;
};

using Effect = std::variant<SendToController, ConnectController, StartAttempt, CancelAttempt,
                            AnswerHeaders, AnswerData, AnswerEnd, AnswerError>;

/// Counters for /metrics and for the leak check:
/// admitted = answered + refused + callersDisconnected + open.
struct RouterCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t callersDisconnected = 0;
    std::uint64_t open = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t claims = 0;
};

/// The state machine. Every call may produce effects, which takeEffects() returns.
class RouterCore
{
public:
    RouterCore (RouterOptions options, std::uint64_t randomSeed, base::TimePoint now,
                base::UnixMilliseconds unixNow);
    ~RouterCore();
    RouterCore (RouterCore&&) noexcept;
    RouterCore& operator= (RouterCore&&) noexcept;

    /// Sets the time for the calls that follow. Call before every other input.
    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);
    void onTick();

    void onControllerConnected();
    void onControllerLost();
    void onControllerMessage (const cell::ControllerToRouter& message);

    /// A complete request arrived. It ends with exactly one AnswerEnd or AnswerError, unless
    /// onCallerDisconnected() is called first.
    RequestTicket onRequest (const RequestHead& head);
    void onCallerDisconnected (RequestTicket ticket);
    /// The caller has stopped (or resumed) reading its answer, and with it the adapter the answers
    /// of the attempts. Attempts do not time out while paused.
    void onCallerPaused (RequestTicket ticket, bool isPaused);
    void onAttemptEvent (AttemptId attempt, const AttemptEvent& event);
    /// Applies prefix cache events of a runner, in order. Returns the sequence number after which
    /// the next poll continues.
    std::uint64_t onCacheEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                                 const std::vector<routing::CacheEvent>& events);

    /// Begins a planned stop: refuses new requests and completes open ones. The stop is complete
    /// when isIdle() is true.
    void beginStop();
    [[nodiscard]] bool isIdle() const;
    /// True while the router has a valid lease on its configuration.
    [[nodiscard]] bool isReady() const;

    /// Version of the held configuration, with or without a valid lease; 0 before the first one.
    [[nodiscard]] std::uint64_t configurationVersion() const;
    [[nodiscard]] const std::string& configurationDigest() const;

    [[nodiscard]] std::vector<Effect> takeEffects();
    [[nodiscard]] RouterCounters counters() const;
    /// Models and adapters that callers may name, for /v1/models.
    [[nodiscard]] std::vector<std::string> targets() const;
    /// Trace of a recent request as JSON; empty if there is none.
    [[nodiscard]] std::string explainRequest (const base::RequestId& id) const;
    [[nodiscard]] std::string metricsText() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::router
