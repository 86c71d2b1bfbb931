#pragma once

/// Commands of the replicated state machine of a cell. Every decision of a cell is one of these
/// commands, applied in the order of the log. The layouts are stored in logs and must stay
/// readable.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/QuarantineTable.h"
#include "cell/ServiceInstances.h"
#include "engine/EngineApi.h"
#include "wire/OptionalTail.h"

namespace fernlift::cell
{

/// Activates a configuration file if its version is higher than the one in force.
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

/// A runner was observed with this incarnation. Replicas of its other incarnations are removed.
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

/// The runner is no longer in the machine list: it is removed with its replicas.
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

/// Decision to load a replica. Granted only if the replica bound and the runner's free memory allow
/// it when the command is applied. The log index becomes the id of the replica and the fence of the
/// order.
struct DecideLoad
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ModelName model;
    base::AdapterName adapter;        ///< Empty for a base model.
    base::ReplicaId baseReplica = 0;  ///< Replica of the base model; adapters only.
    std::string reason;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& incarnation& model& adapter& baseReplica& reason& proposedAt;
    }
};

/// Decision to unload a replica. The log index becomes the fence of the order. The replica counts
/// against its bound and reserves memory until ReplicaReleased.
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

/// The engine reported that the replica is ready.
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

/// The engine confirmed that the replica uses no memory: it was unloaded, or its load failed.
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

/// Claim of an idempotency key, committed before the router sends any byte of the request.
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

/// Claims that are committed as one group.
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
    kPending,  ///< Claimed; the outcome is not known yet.
    kRan,      ///< The back end answered.
    kNotRun,   ///< The request was certainly not performed; the key is free again.
    kUnknown,  ///< The answer was lost; the request may have been performed.
};

struct OutcomeRecord
{
    base::IdempotencyKey key;
    base::RequestId request;  ///< Must be the request that holds the claim.
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    std::int32_t httpStatus = 0;  ///< Status of the back end's answer; set if the request ran.

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

/// Starts or ends draining of a runner on an operator's request.
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
    /// Version of the runner's software, empty if it states none. Leaders of earlier builds set
    /// nothing.
    std::optional<std::string> softwareVersion{};

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& proposedAt;
        wire::serializeTail (archive, softwareVersion);
    }
};

/// A registered runner reported that it is leaving: it receives no new requests.
struct DrainInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< First layout version with `startedAt`.

    std::string instance;
    base::UnixMilliseconds proposedAt = 0;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: the known incarnation.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& proposedAt;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// A registered runner is removed because it deregistered or sent no heartbeat for too long.
struct RemoveInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< First layout version with `startedAt`.

    std::string instance;
    bool isDeregistered = false;  ///< The runner deregistered itself, which is final.
    base::UnixMilliseconds proposedAt = 0;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: the known incarnation.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& isDeregistered& proposedAt;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// Models that one registered runner holds.
struct InstanceHeldModels
{
    static constexpr unsigned kStartVersion = 1;  ///< First layout version with `startedAt`.

    std::string instance;
    std::vector<HeldModel> models;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: the known incarnation.

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& instance& models;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// Models that runners hold according to the leader. Replicated so that the next leader has them
/// immediately.
struct RecordHeldModels
{
    std::vector<InstanceHeldModels> heldModels;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& heldModels& proposedAt;
    }
};

/// An order that the leader is about to send to a registered engine.
struct RecordedOrder
{
    std::string instance;
    bool isFromStore = false;  ///< A load that counts against the load rate of the weight store.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& isFromStore;
    }
};

/// Committed before the orders are sent, so that the next leader can tell which engines may have
/// received one recently. Does not change the state; each member records the time at which it
/// applies the command.
struct RecordOrders
{
    std::vector<RecordedOrder> orders;
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& orders& proposedAt;
    }
};

/// Runner crashes with the requests that were running, and requests that were cleared of suspicion.
struct RecordSuspects
{
    std::vector<RunnerCrash> crashes;
    std::vector<std::string> cleared;  ///< Digests of the cleared requests.
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& crashes& cleared& proposedAt;
    }
};

/// An operator releases requests from quarantine.
struct ReleaseSuspects
{
    std::vector<std::string> digests;  ///< Requests to release; empty: all.
    base::UnixMilliseconds proposedAt = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& digests& proposedAt;
    }
};

using Command = std::variant<ApplyConfiguration, ObserveRunner, RemoveRunner, DecideLoad,
                             DecideUnload, ReplicaReady, ReplicaReleased, ClaimKeys, RecordOutcomes,
                             SetDraining, AddInstance, DrainInstance, RemoveInstance,
                             RecordHeldModels, RecordOrders, RecordSuspects, ReleaseSuspects>;

}  // namespace fernlift::cell

BOOST_CLASS_VERSION (fernlift::cell::DrainInstance, fernlift::cell::DrainInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::RemoveInstance, fernlift::cell::RemoveInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::InstanceHeldModels,
                     fernlift::cell::InstanceHeldModels::kStartVersion)
