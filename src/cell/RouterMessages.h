#pragma once

/// Messages between a router and the leader of its cell.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
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
#include "consensus/Messages.h"
#include "wire/OptionalTail.h"

namespace fernlift::cell
{

/// What a router or relay reads beyond the messages that all versions know; bits.
enum RouterFeature : std::uint32_t
{
    kReadsInstanceRates = 1U << 0U,  ///< InstanceRateUpdate and InstancePermitGrant.
    /// A relay that knows which of its routers can go on with their table of instances when another
    /// leader goes on with it.
    kFollowsTableOfNextLeader = 1U << 1U,
};

/// First message of a router on a new connection.
struct RouterHello
{
    base::RouterId router;
    base::CellId cell;
    base::ZoneName zone;
    std::string address;                     ///< "ip:port" of its HTTP interface.
    std::uint64_t configurationVersion = 0;  ///< 0: none yet.
    std::string configurationDigest;
    base::Term replicaTableTerm = 0;        ///< Of the leader that sent the replica table held.
    std::uint64_t replicaTableVersion = 0;  ///< 0: no table is held.
    /// It serves without a lease and may begin with what a controller that does not lead last knew.
    bool acceptsLastKnownState = false;
    /// A controller that serves routers on behalf of the leader, not a router. `router` then names
    /// one life of its process: leases that an earlier life granted go on without it.
    bool isRelay = false;
    base::Term instanceTerm = 0;        ///< Of the leader that sent the table of instances held.
    std::uint64_t instanceVersion = 0;  ///< 0: no table of instances is held.
    std::uint32_t features = 0;         ///< Of RouterFeature; 0 from versions without it.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& router& cell& zone& address& configurationVersion& configurationDigest&
            replicaTableTerm& replicaTableVersion& acceptsLastKnownState& isRelay& instanceTerm&
                instanceVersion;
        wire::serializeTail (archive, features);
    }
};

/// Asks for a lease on the configuration; sent every third of the lease's length.
struct LeaseRequest
{
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;  ///< In force at the router.
    std::string configurationDigest;
    std::uint64_t replicaTableVersion = 0;  ///< Last ReplicaUpdate applied.
    /// A change came that does not fit the configuration in force.
    bool needsWholeConfiguration = false;
    base::Term instanceTerm = 0;        ///< Of the leader that sent the table of instances held.
    std::uint64_t instanceVersion = 0;  ///< Last InstanceUpdate applied.
    // Of a relay, whose other fields state the least that any of its routers may serve by:
    /// Table of instances that it holds, and without which it renews no router's lease where the
    /// leader requires it.
    std::uint64_t heldInstanceVersion = 0;
    std::uint32_t routers = 0;  ///< That it serves.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& configurationVersion& configurationDigest& replicaTableVersion&
            needsWholeConfiguration& instanceTerm& instanceVersion& heldInstanceVersion& routers;
    }
};

/// Requests that wait at one router for one model, adapter included; absolute, not a difference.
struct Demand
{
    std::string target;  ///< Model or adapter name.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    int mostUrgent = 9;          ///< Smallest urgency among the waiting.
    std::uint32_t arrivals = 0;  ///< Since the router's previous report of this target.
    std::int64_t oldestWaitMilliseconds = 0;
    std::int64_t nearestDeadlineMilliseconds = 0;  ///< From now; of the waiting.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& target& waiting& running& mostUrgent& arrivals& oldestWaitMilliseconds&
            nearestDeadlineMilliseconds;
    }
};

/// Sent at once when the first request waits for a target without a ready replica, and then at a
/// steady interval. Holds the targets whose demand has changed much since they were last reported,
/// those for which requests wait, and now and then the others.
struct DemandReport
{
    std::vector<Demand> demands;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& demands;
    }
};

/// Asks to commit claims; answered by ClaimReply with the same sequence.
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

/// A router saw a sign that a runner is leaving (in an answer of the runner itself).
struct RunnerLeavingSeen
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& incarnation;
    }
};

/// Forwarded requests for one model (and adapter) of a service at one router.
struct EngineDemand
{
    std::string service;
    std::string model;
    std::string adapter;             ///< Empty: the model itself.
    std::uint32_t waiting = 0;       ///< For a runner that holds it.
    std::uint32_t running = 0;       ///< At runners.
    std::uint32_t arrivals = 0;      ///< Since the router's previous report.
    std::uint32_t unread = 0;        ///< Of the running, whose answer has not begun.
    std::uint64_t promptTokens = 0;  ///< Of the arrivals.

    bool operator== (const EngineDemand&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& service& model& adapter& waiting& running& arrivals& unread& promptTokens;
    }
};

/// Sent at once when a request begins to wait, and at a steady interval while there is demand.
struct EngineDemandReport
{
    std::vector<EngineDemand> demands;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& demands;
    }
};

/// A router found that a registered runner takes no connections, or that another one answers at its
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

/// What a runner told in a heartbeat to a controller that does not lead.
struct InstanceSighting
{
    std::string instance;
    std::uint64_t sequence = 0;  ///< Of the heartbeat.
    bool hasHoldings = false;    ///< Without: they are as this controller told them last.
    std::vector<HeldModel> models;
    std::vector<std::string> inMemory;  ///< Models it can load from its host memory.
    std::vector<std::string> onDisk;    ///< Models it can load from its own disk.
    /// The instance itself, as long as the cell does not know this incarnation; else empty.
    std::vector<ServiceInstance> first{};
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.

    bool operator== (const InstanceSighting&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& sequence& hasHoldings& models& inMemory& onDisk& first& startedAt;
    }
};

/// Heartbeats that a relay took since its last message of this kind.
struct InstanceSightings
{
    std::vector<InstanceSighting> sightings;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sightings;
    }
};

/// A controller that is not a voter asks to become one. Sent until it is.
struct MemberJoinRequest
{
    base::CellId cell;
    consensus::Member member;
    bool isFounding = false;  ///< It starts with the cell, and replaces no other member.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& cell& member& isFounding;
    }
};

using RouterToController =
    std::variant<RouterHello, LeaseRequest, DemandReport, ClaimRequest, OutcomeReport,
                 RunnerLeavingSeen, EngineDemandReport, MemberJoinRequest, InstanceUnreachable,
                 InstanceSightings, QuotaRequest, SuspectReport, InstanceLoadReport,
                 InstanceRateReport, InstancePermitRequest>;

/// This controller does not lead; try `leaderAddress` ("ip:port", empty when unknown).
struct NotLeaderReply
{
    std::string leaderAddress;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& leaderAddress;
    }
};

/// A stretch of a text that is told as a change of another one, the base: a part of the base, then
/// new text.
struct TextPiece
{
    std::uint64_t keptFrom = 0;   ///< Position in the base.
    std::uint64_t keptBytes = 0;  ///< 0: nothing of the base.
    std::string text;

    bool operator== (const TextPiece&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& keptFrom& keptBytes& text;
    }
};

/// The configuration in force: whole, or as a change of the one that the router holds.
struct ConfigurationUpdate
{
    std::uint64_t version = 0;
    std::string digest;
    std::string text;  ///< Whole; empty when it is a change.
    std::uint64_t baseVersion =
        0;  ///< 0: `text` is whole. Else `pieces` are of this version's text.
    std::string baseDigest{};
    std::vector<TextPiece> pieces{};

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& version& digest& text& baseVersion& baseDigest& pieces;
    }
};

/// The configuration named is in force until `duration` after the router SENT the request with this
/// sequence. A router without a valid lease admits no new request.
struct LeaseGrant
{
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    base::Term term = 0;
    std::int64_t durationMilliseconds = 0;
    std::uint64_t replicaTableVersion = 0;
    base::UnixMilliseconds cellTime = 0;  ///< Of the leader; claims expire by this clock.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& sequence& configurationVersion& configurationDigest& term& durationMilliseconds&
            replicaTableVersion& cellTime;
    }
};

/// One replica that routers may use, or one application runner (model empty).
struct RoutableReplica
{
    base::ReplicaId replica = 0;  ///< 0 for an application runner.
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ZoneName zone;
    std::string address;  ///< "ip:port".
    std::string target;   ///< Model, adapter or application name.
    bool isApplication = false;
    std::string baseModel;    ///< Adapters: the model they ride on.
    std::uint32_t slots = 0;  ///< Requests the runner can run at once.
    std::uint32_t load = 0;   ///< Running and waiting requests; lags, small changes are left out.
    std::uint32_t credits =
        0;  ///< Requests there at once of a router that has stated demand for it.
    std::uint32_t entryCredits = 0;  ///< The same for a router that has not.

    bool operator== (const RoutableReplica&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& replica& runner& incarnation& zone& address& target& isApplication& baseModel&
            slots& load& credits& entryCredits;
    }
};

/// New load of a runner, for all its rows.
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

/// What the leader expects of a target without a ready replica, for Retry-After.
struct TargetEstimate
{
    std::string target;
    bool canBeServed = true;               ///< False: no runner may hold it now.
    std::int64_t readyInMilliseconds = 0;  ///< Expected time until a replica is ready.

    bool operator== (const TargetEstimate&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& target& canBeServed& readyInMilliseconds;
    }
};

/// Change of the replica table from `fromVersion` to `toVersion`; fromVersion 0 replaces it whole.
struct ReplicaUpdate
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<RoutableReplica> upserts;   ///< Keyed by (replica, runner, target).
    std::vector<RoutableReplica> removals;  ///< Only the key fields are set.
    std::vector<TargetEstimate> estimates;  ///< Replaces the estimates of the named targets.
    std::vector<RunnerLoad> loads;  ///< Of runners whose rows are the same but for the load.
    base::Term term = 0;            ///< Of the leader; versions count within one term.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fromVersion& toVersion& upserts& removals& estimates& loads& term;
    }
};

enum class ClaimVerdict : std::uint8_t
{
    kGranted,         ///< The caller may send the request once.
    kInProgress,      ///< Another request holds the key; its outcome is not known yet.
    kAlreadyRan,      ///< A request with this key was performed.
    kOutcomeUnknown,  ///< A request with this key may have been performed.
    kConflict,        ///< The key was used for a different request.
    kWindowPassed,    ///< The request is older than the window in which keys are kept.
    kTableFull,       ///< Too many keys are held; nothing was claimed and nothing may be sent.
};

struct ClaimAnswer
{
    base::IdempotencyKey key;
    base::RequestId request;
    ClaimVerdict verdict = ClaimVerdict::kGranted;
    std::int32_t httpStatus = 0;  ///< Of the earlier answer, for kAlreadyRan.

    bool operator== (const ClaimAnswer&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& key& request& verdict& httpStatus;
    }
};

/// Sent only once the claims are committed. No reply means unknown: the router then treats each
/// claim as held by itself without having sent anything, and reports kNotRun.
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

/// One registered runner as routers see it.
struct RoutableInstance
{
    ServiceInstance instance;
    bool isSilent = false;  ///< Its heartbeats have stopped.

    bool operator== (const RoutableInstance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& isSilent;
    }
};

/// Term of a table that a controller sends to a router that knows nothing yet, from the state that
/// it last knew itself. The table of any leader replaces it.
constexpr base::Term kTermOfLastKnownState = 0;

/// A controller that routers may connect to.
struct ControllerEndpoint
{
    std::string peerAddress;  ///< "ip:port".
    std::string zone;
    bool isLeader = false;  ///< Has more to do than the others.

    bool operator== (const ControllerEndpoint&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& peerAddress& zone& isLeader;
    }
};

/// Change of the table of registered runners; fromVersion 0 replaces it whole.
struct InstanceUpdate
{
    base::Term term = 0;  ///< Of the leader that began the table; versions count within it.
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<RoutableInstance> upserts;
    std::vector<std::string> removals;  ///< Ids.
    std::vector<ControllerEndpoint> controllers;
    std::uint32_t routers = 1;  ///< Of the cell.
    /// The leader waits to hear that it is applied: the router states it at once.
    bool mustConfirm = false;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& fromVersion& toVersion& upserts& removals& controllers& routers& mustConfirm;
    }
};

/// Answer to MemberJoinRequest.
struct MemberJoinReply
{
    bool isVoter = false;  ///< The sender is a voter now, as this leader has committed it.

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isVoter;
    }
};

using ControllerToRouter =
    std::variant<NotLeaderReply, ConfigurationUpdate, LeaseGrant, ReplicaUpdate, ClaimReply,
                 InstanceUpdate, MemberJoinReply, QuotaGrant, SuspectUpdate, SuspectReport,
                 InstanceLoadUpdate, InstanceRateUpdate, InstancePermitGrant>;

}  // namespace fernlift::cell
