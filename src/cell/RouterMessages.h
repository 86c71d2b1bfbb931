#pragma once

/// Messages between a router and the leader of its cell. A controller that does not lead may act as
/// a relay: it serves routers on behalf of the leader, to which it sends the same messages.

#include <algorithm>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/Commands.h"
#include "cell/InstanceLoadMessages.h"
#include "cell/InstanceRateMessages.h"
#include "cell/QuarantineMessages.h"
#include "cell/QuotaMessages.h"
#include "cell/RetryReserveMessages.h"
#include "cell/RouterPeerMessages.h"
#include "cell/SlotMessages.h"
#include "cell/SoftwareHistoryMessage.h"
#include "cell/StreamMessages.h"
#include "consensus/Messages.h"
#include "wire/OptionalTail.h"

namespace fernlift::cell
{

/// Bits for the messages that a router or relay supports beyond those known to all versions.
enum RouterFeature : std::uint32_t
{
    kReadsInstanceRates = 1U << 0U,  ///< InstanceRateUpdate and InstancePermitGrant.
    /// The relay tracks which of its routers may keep their table of instances when a new leader
    /// continues that table.
    kFollowsTableOfNextLeader = 1U << 1U,
    kReadsRouterPeers = 1U << 2U,   ///< RouterPeers.
    kReadsRetryReserve = 1U << 3U,  ///< RetryReserveGrants.
    kReadsStreams = 1U << 4U,       ///< StreamRecords and StreamLookupReply.
    kReadsSlotGrants = 1U << 5U,    ///< BrittleServices and SlotGrants.
};

/// First message of a router on a new connection.
struct RouterHello
{
    base::RouterId router;
    base::CellId cell;
    base::ZoneName zone;
    std::string address;                     ///< "ip:port" of its HTTP interface.
    std::uint64_t configurationVersion = 0;  ///< 0: no configuration yet.
    std::string configurationDigest;
    base::Term replicaTableTerm = 0;  ///< Term of the leader that sent the replica table held.
    std::uint64_t replicaTableVersion = 0;  ///< 0: no table is held.
    /// The router serves without a lease and may start with the last known state of a controller
    /// that does not lead.
    bool acceptsLastKnownState = false;
    /// The sender is a relay, not a router. `router` then identifies one run of its process: leases
    /// granted by an earlier run stay valid without it.
    bool isRelay = false;
    base::Term instanceTerm = 0;        ///< Term of the leader that sent the instance table held.
    std::uint64_t instanceVersion = 0;  ///< 0: no instance table is held.
    std::uint32_t features = 0;         ///< Bits of RouterFeature; 0 from versions without it.
    /// "ip:port" at which the router accepts requests of other routers; empty: nowhere.
    std::string peerAddress{};
    std::uint64_t peerKey = 0;  ///< Key that such requests have to state.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& router& cell& zone& address& configurationVersion& configurationDigest&
            replicaTableTerm& replicaTableVersion& acceptsLastKnownState& isRelay& instanceTerm&
                instanceVersion;
        wire::serializeTail (archive, features);
        wire::serializeTail (archive, peerAddress);
        wire::serializeTail (archive, peerKey);
    }
};

/// Requests a lease on the configuration. Sent every third of the lease duration.
struct LeaseRequest
{
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;  ///< Version in force at the router.
    std::string configurationDigest;
    std::uint64_t replicaTableVersion = 0;  ///< Last ReplicaUpdate applied.
    /// The router received a difference to another configuration than the one in force.
    bool needsWholeConfiguration = false;
    base::Term instanceTerm = 0;        ///< Term of the leader that sent the instance table held.
    std::uint64_t instanceVersion = 0;  ///< Last InstanceUpdate applied.
    // From a relay only; its other fields state the minimum over its routers.
    /// Version of the instance table that the relay holds. Where the leader requires a version, the
    /// relay renews no lease of a router without it.
    std::uint64_t heldInstanceVersion = 0;
    std::uint32_t routers = 0;  ///< Number of routers that the relay serves.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& configurationVersion& configurationDigest& replicaTableVersion&
            needsWholeConfiguration& instanceTerm& instanceVersion& heldInstanceVersion& routers;
    }
};

/// Requests at one router for one model or adapter. Absolute values, not differences.
struct Demand
{
    std::string target;  ///< Model or adapter name.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    int mostUrgent = 9;          ///< Smallest urgency value of the waiting requests.
    std::uint32_t arrivals = 0;  ///< Arrivals since the router's previous report of this target.
    std::int64_t oldestWaitMilliseconds = 0;
    std::int64_t nearestDeadlineMilliseconds =
        0;  ///< Time left to the nearest deadline of the waiting requests.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& target& waiting& running& mostUrgent& arrivals& oldestWaitMilliseconds&
            nearestDeadlineMilliseconds;
    }
};

/// Sent immediately when the first request waits for a target without a ready replica, and then at
/// a fixed interval. Contains the targets whose demand has changed significantly since their last
/// report, those for which requests wait, and from time to time the others.
struct DemandReport
{
    std::vector<Demand> demands;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& demands;
    }
};

/// Requests that claims are committed. Answered by a ClaimReply with the same sequence.
struct ClaimRequest
{
    std::uint64_t sequence = 0;
    std::vector<Claim> claims;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& claims;
    }
};

struct OutcomeReport
{
    std::vector<OutcomeRecord> outcomes;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& outcomes;
    }
};

/// A router received an answer in which a runner announced that it is leaving.
struct RunnerLeavingReport
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& incarnation;
    }
};

/// Requests at one router for one model or adapter of a service.
struct EngineDemand
{
    std::string service;
    std::string model;
    std::string adapter;             ///< Empty: the base model.
    std::uint32_t waiting = 0;       ///< Requests that wait for a runner that holds the model.
    std::uint32_t running = 0;       ///< Requests at runners.
    std::uint32_t arrivals = 0;      ///< Arrivals since the router's previous report.
    std::uint32_t unread = 0;        ///< Running requests whose answer has not begun.
    std::uint64_t promptTokens = 0;  ///< Prompt tokens of the arrivals.

    bool operator== (const EngineDemand&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& service& model& adapter& waiting& running& arrivals& unread& promptTokens;
    }
};

/// Sent immediately when a request starts to wait, and at a fixed interval while there is demand.
struct EngineDemandReport
{
    std::vector<EngineDemand> demands;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& demands;
    }
};

/// A registered runner accepts no connections of a router, or another runner answers at its
/// address.
struct InstanceUnreachable
{
    std::string instance;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance;
    }
};

/// Heartbeat of a runner that a controller which does not lead received and relays to the leader.
struct RelayedHeartbeat
{
    std::string instance;
    std::uint64_t sequence = 0;  ///< Sequence number of the heartbeat.
    bool hasHeldModels =
        false;  ///< False: the held models are unchanged since this relay's last report.
    std::vector<HeldModel> models;
    std::vector<std::string> inMemory;  ///< Models that the runner can load from its host memory.
    std::vector<std::string> onDisk;    ///< Models that the runner can load from its own disk.
    /// The instance itself while the cell does not have this incarnation; otherwise empty.
    std::vector<ServiceInstance> first{};
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not reported.
    /// Version of the runner's software; empty: not reported. Serialized by RelayedHeartbeats.
    std::string softwareVersion{};

    bool operator== (const RelayedHeartbeat&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& sequence& hasHeldModels& models& inMemory& onDisk& first& startedAt;
    }
};

/// Reads or writes the software versions of these rows behind the last field of their message.
/// Nothing is written if none is known, unless another field follows.
template <class Archive, class Row>
void serializeSoftwareVersions (Archive& archive, std::vector<Row>& rows, bool isFollowed = false)
{
    std::vector<std::string> versions;
    if constexpr (Archive::is_saving::value)
    {
        const auto isKnown = [] (const Row& row) { return ! row.softwareVersion.empty(); };
        if (! isFollowed && std::ranges::none_of (rows, isKnown))
            return;
        for (const Row& row : rows)
            versions.push_back (row.softwareVersion);
    }
    wire::serializeTail (archive, versions);
    if constexpr (Archive::is_loading::value)
    {
        const std::size_t count = std::min (rows.size(), versions.size());
        for (std::size_t number = 0; number < count; ++number)
            rows[number].softwareVersion = std::move (versions[number]);
    }
}

/// Heartbeats that a relay received since its last message of this type.
struct RelayedHeartbeats
{
    std::vector<RelayedHeartbeat> relayedHeartbeats;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& relayedHeartbeats;
        serializeSoftwareVersions (archive, relayedHeartbeats);
    }
};

/// Request of a controller to become a voter. Sent repeatedly until it is one.
struct MemberJoinRequest
{
    base::CellId cell;
    consensus::Member member;
    bool isFounding = false;  ///< The controller starts with the cell and replaces no member.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& cell& member& isFounding;
    }
};

using RouterToController =
    std::variant<RouterHello, LeaseRequest, DemandReport, ClaimRequest, OutcomeReport,
                 RunnerLeavingReport, EngineDemandReport, MemberJoinRequest, InstanceUnreachable,
                 RelayedHeartbeats, QuotaRequest, SuspectReport, InstanceLoadReport,
                 InstanceRateReport, InstancePermitRequest, RouterPeers, RetryReserveRequests,
                 StreamRecords, StreamLookup, SlotReports>;

/// This controller does not lead. `leaderAddress` is "ip:port" of the leader, empty if unknown.
struct NotLeaderReply
{
    std::string leaderAddress;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& leaderAddress;
    }
};

/// Piece of a text that is encoded as a difference to another text, the base: a part of the base
/// followed by new text.
struct TextPiece
{
    std::uint64_t keptFrom = 0;   ///< Position in the base.
    std::uint64_t keptBytes = 0;  ///< 0: no part of the base.
    std::string text;

    bool operator== (const TextPiece&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& keptFrom& keptBytes& text;
    }
};

/// The configuration in force, either complete or as a difference to the one that the router holds.
struct ConfigurationUpdate
{
    std::uint64_t version = 0;
    std::string digest;
    std::string text;  ///< Complete text; empty for a difference.
    /// 0: `text` is complete. Otherwise the version of the text that `pieces` refer to.
    std::uint64_t baseVersion = 0;
    std::string baseDigest{};
    std::vector<TextPiece> pieces{};

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& version& digest& text& baseVersion& baseDigest& pieces;
    }
};

/// Lease on a configuration. It is valid for `durationMilliseconds` after the router SENT the
/// request with this sequence. A router without a valid lease admits no new requests.
struct LeaseGrant
{
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    base::Term term = 0;
    std::int64_t durationMilliseconds = 0;
    std::uint64_t replicaTableVersion = 0;
    base::UnixMilliseconds cellTime = 0;  ///< Clock of the leader, by which claims expire.
    /// Number of routers of the cell; none from earlier builds, or before a relay knows it.
    std::optional<std::uint32_t> routers{};

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& configurationVersion& configurationDigest& term& durationMilliseconds&
            replicaTableVersion& cellTime;
        wire::serializeTail (archive, routers);
    }
};

/// One replica that routers may use, or one application runner.
struct RoutableReplica
{
    base::ReplicaId replica = 0;  ///< 0 for an application runner.
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ZoneName zone;
    std::string address;  ///< "ip:port".
    std::string target;   ///< Model, adapter or application name.
    bool isApplication = false;
    std::string baseModel;    ///< Adapters only: the base model.
    std::uint32_t slots = 0;  ///< Maximum number of concurrent requests of the runner.
    std::uint32_t load = 0;   ///< Running and waiting requests; delayed, without small changes.
    /// Maximum number of concurrent requests from a router that has reported demand for the target.
    std::uint32_t credits = 0;
    std::uint32_t entryCredits = 0;  ///< Same limit for a router that has not reported demand.

    bool operator== (const RoutableReplica&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& replica& runner& incarnation& zone& address& target& isApplication& baseModel&
            slots& load& credits& entryCredits;
    }
};

/// New load of a runner, for all rows of the runner.
struct RunnerLoad
{
    base::RunnerId runner;
    std::uint32_t load = 0;

    bool operator== (const RunnerLoad&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& load;
    }
};

/// Estimate of the leader for a target without a ready replica; used for Retry-After.
struct TargetEstimate
{
    std::string target;
    bool canBeServed = true;               ///< False: currently no runner may hold the target.
    std::int64_t readyInMilliseconds = 0;  ///< Expected time until a replica is ready.

    bool operator== (const TargetEstimate&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& target& canBeServed& readyInMilliseconds;
    }
};

/// Change of the replica table from `fromVersion` to `toVersion`; fromVersion 0 replaces the whole
/// table.
struct ReplicaUpdate
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<RoutableReplica> upserts;   ///< Keyed by (replica, runner, target).
    std::vector<RoutableReplica> removals;  ///< Only the key fields are set.
    std::vector<TargetEstimate> estimates;  ///< Replaces the estimates of these targets.
    std::vector<RunnerLoad> loads;  ///< Loads of runners whose rows are otherwise unchanged.
    base::Term term = 0;            ///< Term of the leader; versions count within one term.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fromVersion& toVersion& upserts& removals& estimates& loads& term;
    }
};

enum class ClaimVerdict : std::uint8_t
{
    kGranted,         ///< The caller may send the request once.
    kInProgress,      ///< Another request holds the key and its outcome is not known yet.
    kAlreadyRan,      ///< A request with this key was performed.
    kOutcomeUnknown,  ///< A request with this key may have been performed.
    kConflict,        ///< The key was used for a request with other content.
    kWindowPassed,    ///< The request is older than the window in which keys are kept.
    kTableFull,       ///< The table is full; nothing was claimed, so the request must not be sent.
};

struct ClaimAnswer
{
    base::IdempotencyKey key;
    base::RequestId request;
    ClaimVerdict verdict = ClaimVerdict::kGranted;
    std::int32_t httpStatus = 0;  ///< Status of the earlier answer; set for kAlreadyRan.

    bool operator== (const ClaimAnswer&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& key& request& verdict& httpStatus;
    }
};

/// Sent only after the claims are committed. Without a reply, the router cannot determine whether
/// they were committed: it sends none of the requests and reports kNotRun for each claim, as if it
/// held them all.
struct ClaimReply
{
    std::uint64_t sequence = 0;
    std::vector<ClaimAnswer> answers;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& answers;
    }
};

/// Registered runner in the instance table of routers.
struct RoutableInstance
{
    ServiceInstance instance;
    bool isSilent = false;  ///< Its heartbeats have stopped.
    /// Version of the runner's software; empty: not known. Serialized by InstanceUpdate.
    std::string softwareVersion{};

    bool operator== (const RoutableInstance&) const = default;
    [[nodiscard]] Incarnation incarnation() const { return { instance.id, instance.startedAt }; }

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& isSilent;
    }
};

/// Term of a table that a controller sends, from its own last known state, to a router that has no
/// table yet. The table of any leader replaces it.
constexpr base::Term kTermOfLastKnownState = 0;

/// A controller that routers may connect to.
struct ControllerEndpoint
{
    std::string peerAddress;  ///< "ip:port".
    std::string zone;
    bool isLeader = false;  ///< The leader has a higher load than the other controllers.

    bool operator== (const ControllerEndpoint&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& peerAddress& zone& isLeader;
    }
};

/// Change of the table of registered runners; fromVersion 0 replaces the whole table.
struct InstanceUpdate
{
    base::Term term = 0;  ///< Term of the leader that began the table; versions count within it.
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<RoutableInstance> upserts;
    std::vector<std::string> removals;  ///< Ids of the removed instances.
    std::vector<ControllerEndpoint> controllers;
    std::uint32_t routers = 1;  ///< Number of routers of the cell.
    /// The leader waits until the update is applied: the router confirms it immediately.
    bool mustConfirm = false;
    /// Software versions before this update; not stated by controllers of earlier builds.
    SoftwareHistory softwareHistory{};

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& fromVersion& toVersion& upserts& removals& controllers& routers& mustConfirm;
        serializeSoftwareVersions (archive, upserts, softwareHistory.isStated());
        if (Archive::is_saving::value && ! softwareHistory.isStated())
            return;
        wire::serializeTail (archive, softwareHistory.knownMilliseconds);
        wire::serializeTail (archive, softwareHistory.departed);
    }
};

/// Answer to MemberJoinRequest.
struct MemberJoinReply
{
    bool isVoter = false;  ///< The leader has committed the requester as a voter.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isVoter;
    }
};

using ControllerToRouter =
    std::variant<NotLeaderReply, ConfigurationUpdate, LeaseGrant, ReplicaUpdate, ClaimReply,
                 InstanceUpdate, MemberJoinReply, QuotaGrant, SuspectUpdate, SuspectReport,
                 InstanceLoadUpdate, InstanceRateUpdate, InstancePermitGrant, RouterPeers,
                 RetryReserveGrants, StreamRecords, StreamLookupReply, BrittleServices, SlotGrants>;

}  // namespace fernlift::cell
