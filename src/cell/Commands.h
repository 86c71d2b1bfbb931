#pragma once

/// Commands of the replicated state machine of a cell: everything that is decided in a cell is one
/// of these, in the order of the log.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/QuarantineTable.h"
#include "cell/ServiceInstances.h"
#include "engine/EngineApi.h"

namespace fernlift::cell
{

/// Puts a configuration file in force, if its version allows.
struct ApplyConfiguration
{
    std::uint64_t version = 0;
    std::string digest;  ///< sha256Hex of `text`.
    std::string text;    ///< The whole TOML file, already validated by the proposer.
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& version& digest& text& proposedAt;
    }
};

/// A runner was seen with this incarnation. Every replica of an earlier incarnation is gone.
struct ObserveRunner
{
    engine::Machine machine;
    base::Incarnation incarnation = 0;
    bool isLeaving = false;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& machine& incarnation& isLeaving& proposedAt;
    }
};

/// The machine list no longer names the runner: its replicas are gone.
struct RemoveRunner
{
    base::RunnerId runner;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& proposedAt;
    }
};

/// Decision to load. Applied only if the replica bound and the runner's memory allow it in the
/// state it meets; the log index becomes the replica's id and the fence of the order.
struct DecideLoad
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ModelName model;
    base::AdapterName adapter;        ///< Empty for a base model.
    base::ReplicaId baseReplica = 0;  ///< Adapters only.
    std::string reason;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& incarnation& model& adapter& baseReplica& reason& proposedAt;
    }
};

/// Decision to unload a replica; the log index is the fence of the order. The replica still counts
/// until ReplicaReleased.
struct DecideUnload
{
    base::ReplicaId replica = 0;
    std::string reason;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& replica& reason& proposedAt;
    }
};

/// The engine reported the replica ready.
struct ReplicaReady
{
    base::ReplicaId replica = 0;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& replica& proposedAt;
    }
};

/// The engine confirmed that the replica holds no memory (unloaded, or its load failed).
struct ReplicaReleased
{
    base::ReplicaId replica = 0;
    std::string reason;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& replica& reason& proposedAt;
    }
};

/// One claim of an idempotency key, before the request's bytes leave a router.
struct Claim
{
    base::IdempotencyKey key;
    std::string requestDigest;  ///< sha256Hex of method, path and body.
    base::RouterId router;
    base::RequestId request;
    base::UnixMilliseconds expiresAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& key& requestDigest& router& request& expiresAt;
    }
};

/// Group commit of claims.
struct ClaimKeys
{
    std::vector<Claim> claims;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& claims& proposedAt;
    }
};

enum class ClaimOutcome : std::uint8_t
{
    kPending,  ///< Claimed; nothing known yet.
    kRan,      ///< The back end answered.
    kNotRun,   ///< Certainly not performed; the key is free again.
    kUnknown,  ///< The answer was lost.
};

struct OutcomeRecord
{
    base::IdempotencyKey key;
    base::RequestId request;  ///< Only the claim's own request may record its outcome.
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    std::int32_t httpStatus = 0;  ///< Of the back end's answer, when it ran.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& key& request& outcome& httpStatus;
    }
};

struct RecordOutcomes
{
    std::vector<OutcomeRecord> outcomes;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& outcomes& proposedAt;
    }
};

/// Marks a runner as draining by an operator's wish, or takes the mark away.
struct SetDraining
{
    base::RunnerId runner;
    bool isDraining = true;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& isDraining& proposedAt;
    }
};

/// A runner registered itself.
struct AddInstance
{
    ServiceInstance instance;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& proposedAt;
    }
};

/// A registered runner said that it is leaving: it gets no new requests.
struct DrainInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< Of the layout, that has `startedAt`.

    std::string instance;
    base::UnixMilliseconds proposedAt = 0;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: the one that is known.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& proposedAt;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// A registered runner is gone: it said so, or was silent for long.
struct RemoveInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< Of the layout, that has `startedAt`.

    std::string instance;
    bool isDeregistered = false;  ///< It said so itself; final.
    base::UnixMilliseconds proposedAt = 0;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: the one that is known.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& isDeregistered& proposedAt;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// What one registered runner holds.
struct InstanceHoldings
{
    static constexpr unsigned kStartVersion = 1;  ///< Of the layout, that has `startedAt`.

    std::string instance;
    std::vector<HeldModel> models;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: the one that is known.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& models;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// The leader's knowledge of what runners hold, so that the next leader has it at once.
struct NoteHoldings
{
    std::vector<InstanceHoldings> holdings;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& holdings& proposedAt;
    }
};

/// An order that the leader is about to send to a registered engine.
struct NotedOrder
{
    std::string instance;
    bool isFromStore = false;  ///< A load that takes from the weight store's rate.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& isFromStore;
    }
};

/// Committed before the orders leave, so that the next leader knows which engines may have had one
/// lately. Changes no state; members note when they apply it.
struct NoteOrders
{
    std::vector<NotedOrder> orders;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& orders& proposedAt;
    }
};

/// Requests under which runners ended, and which turned out to be harmless.
struct NoteSuspects
{
    std::vector<RunnerEnd> ends;
    std::vector<std::string> acquitted;  ///< Digests.
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& ends& acquitted& proposedAt;
    }
};

/// An operator lets requests out of quarantine.
struct ReleaseSuspects
{
    std::vector<std::string> digests;  ///< Empty: all.
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& digests& proposedAt;
    }
};

using Command = std::variant<ApplyConfiguration, ObserveRunner, RemoveRunner, DecideLoad,
                             DecideUnload, ReplicaReady, ReplicaReleased, ClaimKeys, RecordOutcomes,
                             SetDraining, AddInstance, DrainInstance, RemoveInstance, NoteHoldings,
                             NoteOrders, NoteSuspects, ReleaseSuspects>;

}  // namespace fernlift::cell

BOOST_CLASS_VERSION (fernlift::cell::DrainInstance, fernlift::cell::DrainInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::RemoveInstance, fernlift::cell::RemoveInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::InstanceHoldings,
                     fernlift::cell::InstanceHoldings::kStartVersion)
