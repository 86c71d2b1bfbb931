#pragma once

/// One router as a pure state machine: admission, choice of replica, dispatch, retry and the lease
/// on the configuration. The Qt adapter and the simulator run the same code.

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

/// Identifies one caller's request inside this router; never reused.
using RequestTicket = std::uint64_t;
/// Identifies one attempt at a back end inside this router; never reused.
using AttemptId = std::uint64_t;

/// Faults that tests plant to show that their checks find them. Never set outside tests.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kRetrySentUnrepeatable,  ///< A request that may not be repeated is sent again.
    kPassDuplicateChunks,    ///< Repeated chunks go to the caller again.
    kDropRefusal,            ///< Refused requests get no answer.
    kIgnoreLease,            ///< Requests are admitted without a lease.
    kNotRunAfterBytes,       ///< Every failure is said to be "not run".
    kMixAttempts,            ///< Parts of an earlier attempt stay in an answer begun anew.
    kDispatchToLeaving,      ///< Signs that a runner is leaving are not heeded.
    kStarveUrgent,           ///< Queues are served in the wrong order of urgency.
    kHoldHopeless,           ///< Requests that cannot be met wait for their deadline.
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
    /// The whole answer has to be there this long after the deadline of its first byte.
    base::Duration wholeAnswerTimeout = base::seconds (600);
    base::Duration demandInterval = base::milliseconds (200);
    std::uint32_t maximumAttempts = 3;
    double retryBudgetShare = 0.2;  ///< Retries allowed as a share of first attempts.
    std::size_t requestTraces = 4096;
    base::Duration claimWindow =
        base::seconds (600);  ///< Claims are kept this long past a deadline.
    /// An answer that is not streamed is kept back up to this size, so that an attempt that breaks
    /// in the middle can be repeated.
    std::size_t maximumBufferedAnswer = 1024UL * 1024;
    /// Urgent repeatable requests without streaming get a second attempt elsewhere after this time
    /// without a byte. Nothing: never.
    std::optional<base::Duration> hedgeAfter;
    int hedgeMaximumUrgency = 0;  ///< Largest urgency that is hedged.
    /// How long the outcome of a request that may not be repeated is awaited after its caller was
    /// answered or left.
    base::Duration outcomeWait = base::seconds (30);
    PlantedFault plantedFault = PlantedFault::kNone;
};

enum class Protocol : std::uint8_t
{
    kCompletions,  ///< /v1/chat/completions or /v1/completions at an engine.
    kApplication,  ///< /apps/NAME/... at an application back end.
};

/// What the core needs to know of a request; the adapter keeps the bytes.
struct RequestHead
{
    base::RequestId id;
    Protocol protocol = Protocol::kCompletions;
    std::string target;  ///< Model, adapter or application name.
    std::optional<base::RequestClassName> requestClass;
    std::optional<base::Duration> deadline;  ///< From arrival to the first byte.
    base::IdempotencyKey idempotencyKey;     ///< May be empty.
    std::string requestDigest;               ///< sha256Hex of method, path and body.
    std::string caller;                      ///< For fairness: API key or peer address.
    bool isStreaming = false;
    bool isSafeMethod = false;  ///< GET, HEAD: repeatable whatever the class says.
    std::size_t bodyBytes = 0;
    std::vector<std::uint64_t> prefixHashes;  ///< Hashes of the prompt's leading blocks, in order.
};

// What happens to an attempt, told by the adapter (or simulator).

/// The connection could not be opened: no byte left.
struct AttemptNotSent
{
};
/// The back end answered that it did not take the request (429, 503 with `not_run`).
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
/// Part of the answer arrived. For streams of completions `offset` is the position of its first
/// token; for other bodies the position of its first byte.
struct AttemptData
{
    std::uint64_t offset = 0;
    std::uint64_t count = 0;  ///< Tokens (or bytes) in `data`.
    std::string data;
};
/// The answer is whole.
struct AttemptEnded
{
};
/// The connection broke, or the adapter's own checks found the answer damaged.
struct AttemptBroken
{
};

using AttemptEvent = std::variant<AttemptNotSent, AttemptRefused, AttemptHeaders, AttemptData,
                                  AttemptEnded, AttemptBroken>;

// Effects the adapter carries out.

struct SendToController
{
    cell::RouterToController message;
};
using cell::ConnectController;
/// Send the request (the adapter has its bytes) to this back end, once.
struct StartAttempt
{
    RequestTicket ticket = 0;
    AttemptId attempt = 0;
    cell::RoutableReplica replica;
    int urgency = 0;
    std::uint64_t resumeFrom = 0;  ///< Token offset for a resumed stream.
    base::Duration connectTimeout{};
};
/// Stop an attempt; nothing more is wanted of it. The back end is told to cancel.
struct CancelAttempt
{
    AttemptId attempt = 0;
};
/// Begin the caller's answer. With several attempts at one request, the headers to pass on are
/// those of `attempt`; its events may all have come before.
struct AnswerHeaders
{
    RequestTicket ticket = 0;
    int httpStatus = 200;
    AttemptId attempt = 0;
};
/// Next part of the caller's answer.
struct AnswerData
{
    RequestTicket ticket = 0;
    std::string data;
};
/// The caller's answer is whole.
struct AnswerEnd
{
    RequestTicket ticket = 0;
};
/// The request failed: the whole answer if nothing was sent yet, else an error event that ends the
/// stream.
struct AnswerError
{
    RequestTicket ticket = 0;
    base::Error error;
    base::Execution execution = base::Execution::kNotRun;
    std::optional<base::Duration> retryAfter;
};

using Effect = std::variant<SendToController, ConnectController, StartAttempt, CancelAttempt,
                            AnswerHeaders, AnswerData, AnswerEnd, AnswerError>;

/// Counters for /metrics and for the leak check: admitted = answered + refused + callersGone +
/// open.
struct RouterCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t open = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t claims = 0;
};

/// The state machine. Single-threaded; every call may produce effects, taken by takeEffects().
class RouterCore
{
public:
    RouterCore (RouterOptions options, std::uint64_t randomSeed, base::TimePoint now,
                base::UnixMilliseconds unixNow);
    ~RouterCore();
    RouterCore (RouterCore&&) noexcept;
    RouterCore& operator= (RouterCore&&) noexcept;

    /// Time for this and the following calls. Call before every other input.
    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);
    void onTick();

    void onControllerConnected();
    void onControllerLost();
    void onControllerMessage (const cell::ControllerToRouter& message);

    /// A whole request arrived. It ends in exactly one AnswerEnd or AnswerError, unless
    /// onCallerGone comes first.
    RequestTicket onRequest (const RequestHead& head);
    void onCallerGone (RequestTicket ticket);
    /// The caller does not read its answer, so that its attempts are not read either (or does
    /// again). Meanwhile the silence of a back end is no fault of it.
    void onCallerPaused (RequestTicket ticket, bool isPaused);
    void onAttemptEvent (AttemptId attempt, const AttemptEvent& event);
    /// Prefix cache events of a runner, in order. Returns the sequence to ask after next.
    std::uint64_t onCacheEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                                 const std::vector<routing::CacheEvent>& events);

    /// Begins a planned stop: refuses new requests, finishes open ones. Done when isIdle().
    void beginStop();
    [[nodiscard]] bool isIdle() const;
    /// True while the lease on a configuration holds.
    [[nodiscard]] bool isReady() const;

    /// Of the configuration held, whether the lease holds or not; version 0: none yet.
    [[nodiscard]] std::uint64_t configurationVersion() const;
    [[nodiscard]] const std::string& configurationDigest() const;

    [[nodiscard]] std::vector<Effect> takeEffects();
    [[nodiscard]] RouterCounters counters() const;
    /// Models, adapters that callers may name, for /v1/models.
    [[nodiscard]] std::vector<std::string> targets() const;
    /// What happened to a recent request, as JSON; empty when it is not remembered.
    [[nodiscard]] std::string explainRequest (const base::RequestId& id) const;
    [[nodiscard]] std::string metricsText() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::router
