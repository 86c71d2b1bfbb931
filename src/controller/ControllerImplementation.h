#pragma once

/// State of ControllerCore and its duties, split by the part of the cell they deal with.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/DecayingRate.h"
#include "cell/CellState.h"
#include "consensus/RaftNode.h"
#include "controller/AdminAnswers.h"
#include "controller/ClaimBatcher.h"
#include "controller/ConfigurationChange.h"
#include "controller/ConfigurationRollout.h"
#include "controller/ControllerCore.h"
#include "controller/CreditShare.h"
#include "controller/DemandTable.h"
#include "controller/InstanceLoadSum.h"
#include "controller/InstanceLoadTable.h"
#include "controller/InstanceRateLedger.h"
#include "controller/InstanceTable.h"
#include "controller/LoadEstimates.h"
#include "controller/MemberAdmission.h"
#include "controller/OrderNotes.h"
#include "controller/OrderQueue.h"
#include "controller/PacedWork.h"
#include "controller/Reconciliation.h"
#include "controller/RoutableTable.h"
#include "controller/RouterRelay.h"
#include "controller/RouterSessions.h"
#include "controller/RunnerSpeeds.h"
#include "controller/RunnerWatch.h"
#include "controller/SnapshotSchedule.h"
#include "placement/Placement.h"
#include "placement/StorePace.h"
#include "quota/QuotaLedger.h"

namespace fernlift::controller
{

// What a proposal is for: decides what happens once it is committed.

/// A decision of placement; the next round waits for it.
struct ForPlacement
{
};
struct ForApply
{
    AdminTicket ticket = 0;
    bool waitInForce = false;
    base::TimePoint deadline{};
};
struct ForDrain
{
    AdminTicket ticket = 0;
};
struct ForMembers
{
    AdminTicket ticket = 0;
};
struct ForClaims
{
    std::uint64_t batch = 0;
};
/// A fact about a replica (ready, failed, released).
struct ForReplica
{
    base::ReplicaId replica = 0;
};
/// A fact about a runner (seen, gone).
struct ForRunner
{
    base::RunnerId runner;
};
/// Requests that an operator lets out of quarantine.
struct ForRelease
{
    AdminTicket ticket = 0;
};
/// The index becomes the fence of an unload of a replica that the state does not know.
struct ForStray
{
    StrayReplica stray;
};
struct ForNothing
{
};
/// A request of the control interface, answered once it is committed.
struct ForControl
{
    ControlTicket ticket = 0;
};
/// What is to be acknowledged about an instance that leaves.
struct Leaving
{
    std::string instance;
    bool isRemoval = false;                ///< It is gone; else it drains.
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.

    auto operator<=> (const Leaving&) const = default;  // NOLINT(modernize-use-nullptr)
};
/// An instance that drains or is gone.
struct ForLeavingInstance
{
    ControlTicket ticket = 0;
    Leaving leaving;
};
/// A change of the configuration by an operator of services.
struct ForConfiguration
{
    ControlTicket ticket = 0;
    std::uint64_t version = 0;
    base::TimePoint arrivedAt{};
};
/// A change of the members that no operator asked for.
struct ForOwnMembers
{
};
/// Orders to registered engines that leave once their note is committed.
struct ForEngineOrders
{
    std::vector<placement::SendEngineOrder> orders;
    base::TimePoint notedAt{};
};
using Purpose = std::variant<ForPlacement, ForApply, ForDrain, ForMembers, ForClaims, ForReplica,
                             ForRunner, ForStray, ForNothing, ForControl, ForLeavingInstance,
                             ForConfiguration, ForOwnMembers, ForEngineOrders, ForRelease>;

/// An apply that is committed and whose operator waits until it is in force everywhere.
struct InForceWait
{
    AdminTicket ticket = 0;
    cell::ConfigurationResult result;
    base::TimePoint deadline{};
};

/// A change of the configuration that is committed and whose operator waits until no router serves
/// under an earlier one.
struct ConfigurationWait
{
    ForConfiguration purpose;
    std::uint64_t version = 0;  ///< In force since the commit, or a later one.
    ControlAnswer answer;
};

/// An instance that drains or is gone, as is committed; it is told once no router may send there.
/// Runners ask again after a second: the wait goes on from where it began, however often.
struct LeavingWait
{
    std::vector<ControlTicket> tickets;
    std::uint64_t tableVersion = 0;  ///< Of instances, the first that says so; 0: not sent yet.
    /// Routers that have not heard of it by then have no lease any more.
    base::TimePoint leasesEndAt{};
    bool isConfirmed = false;  ///< For good, as long as this member leads.
};

/// A load that failed on a runner lately.
struct LoadFailure
{
    std::uint32_t count = 0;
    base::TimePoint avoidedUntil{};
};

/// An end that was reported and is not applied yet.
struct UnsettledEnd
{
    cell::RunnerEndReport report;
    base::TimePoint receivedAt{};
    bool isHinted = false;  ///< Routers were told of it.
};

/// Everything that lasts only as long as one term of leadership.
struct Leadership
{
    Leadership (const ControllerOptions& options, base::Term leadTerm, base::TimePoint now,
                placement::EnginePlacementOptions engineOptions)
        : term (leadTerm),
          since (now),
          watch (options.reportInterval, now),
          orders (options.orderTimeout, options.plantedFault),
          sessions (options.routerLease),
          instances (leadTerm, options.instanceSilence),
          quotas (options.quotaTolerance),
          engines (std::move (engineOptions))
    {
    }

    base::Term term = 0;
    base::TimePoint since{};
    base::UnixMilliseconds unixSince = 0;
    RunnerWatch watch;
    OrderQueue orders;
    RouterSessions sessions;
    bool isTableShared = false;               ///< One table for all routers; see RoutableTable.
    RoutableTable table;                      ///< While shared.
    std::vector<cell::RoutableReplica> rows;  ///< While not shared.
    std::optional<CreditShare> exactShare;    ///< While not shared.
    std::map<std::string, std::uint32_t> sharers;  ///< Routers told to share a target's replicas.
    std::uint32_t enteringSharers = 0;             ///< The same for routers without stated demand.
    DemandTable demands;
    ClaimBatcher claims;
    std::map<base::LogIndex, Purpose> proposals;
    std::set<base::ReplicaId> busyReplicas;  ///< With a proposal about them under way.
    std::set<base::RunnerId> busyRunners;
    std::set<std::pair<base::RunnerId, base::ReplicaId>> busyStrays;
    /// Replicas whose unload was decided without their being known; until then reports may lag.
    std::map<std::pair<base::RunnerId, base::ReplicaId>, base::TimePoint> strayPauses;
    std::set<base::RunnerId> ordersDue;  ///< Runners to which a new order may go.
    std::size_t placementProposals = 0;  ///< Under way.
    bool isPlacementDue = true;
    base::TimePoint nextPlacementAt{};
    bool isTableDue = true;  ///< Routers should hear of a change at the next tick.
    base::TimePoint nextTableAt{};
    base::TimePoint nextWholeTableAt{};
    base::TimePoint nextRoutineAt{};
    base::TimePoint nextMachineListAt{};
    bool isMachineListPolled = false;
    std::vector<InForceWait> inForceWaits;
    std::map<std::pair<std::string, base::RunnerId>, LoadFailure> failures;
    /// When each replica was last in use or asked for.
    std::map<base::ReplicaId, base::TimePoint> lastUse;
    placement::StorePace storePace;
    /// Replicas that load from the weight store, not from their runner's memory or disk.
    std::map<base::ReplicaId, bool> usesStore;
    ReadyEstimates estimates;  ///< As last stated to routers.
    InstanceTable instances;
    InstanceLoadSum loadSum;  ///< Of its own routers and of the other controllers.
    InstanceLoadTable loads;  ///< The same with what was learned, for routers.
    RunnerSpeeds speeds;
    /// Of the incarnations that `loads` and `speeds` are of.
    std::map<std::string, base::UnixMilliseconds> loadStarts;
    base::TimePoint nextLoadsAt{};  ///< Routers hear of loads no earlier.
    InstanceRateLedger rates;       ///< Of runners that state one.
    std::uint64_t placedRates = 0;  ///< Version of `rates` that placement has.
    RateNews rateNews;
    base::DecayingRate heartbeats;  ///< That this member took itself while it leads.
    quota::QuotaLedger quotas;
    QuotaBasis quotaBasis;        ///< Of what `quotas` counts.
    cell::NoteSuspects suspects;  ///< Reported and not proposed yet.
    std::vector<UnsettledEnd> unsettledEnds;
    base::TimePoint nextSuspectExpiryAt{};
    base::TimePoint nextHoldingsAt{};
    // Versions that placement has:
    std::uint64_t placedConfiguration = 0;
    std::uint64_t placedInstances = 0;
    /// While placement takes over all instances: the first that it lacks, by id.
    std::optional<std::string> firstUnplaced;
    PacedWork missingInstances;      ///< Some of these are to be taken over.
    std::uint64_t notedVersion = 0;  ///< Of `instances`, of which the log has the holdings.
    base::TimePoint nextRemovalAt{};
    std::uint64_t announcedVersion = 0;  ///< Configuration that routers were to be sent last.
    PacedWork configurationSend;         ///< Routers may have to be sent the configuration.
    ConfigurationRollout rollout;
    std::vector<ConfigurationWait> configurationWaits;
    std::map<Leaving, LeavingWait> leavingWaits;
    /// Table of instances without those whose leaving is or will be acknowledged; a version of this
    /// leader, so that what an earlier one sent does not do.
    std::uint64_t requiredInstanceVersion = 0;
    PacedWork instanceTable;  ///< Routers may have to hear of a change of the instances.
    PacedWork wholeTable;     ///< Some have to be sent all of them.
    PacedWork instanceSweep;  ///< All are to be looked at.
    MemberAdmission admission;
    placement::EnginePlacement engines;
    PacedWork enginePlacement;
    base::Duration placementTime{};  ///< That the last run of it took.
    PacedWork urgentPlacement;       ///< Of what waits only.
};

/// Counters for /metrics.
struct ControllerCounters
{
    std::uint64_t proposals = 0;
    std::uint64_t entriesApplied = 0;
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t ordersFailed = 0;
    std::uint64_t reports = 0;
    std::uint64_t reportsFailed = 0;
    std::uint64_t leasesGranted = 0;
    std::uint64_t leasesWithheld = 0;
    std::uint64_t claims = 0;
    std::uint64_t replicaUpdates = 0;
    std::uint64_t placementRounds = 0;
    std::uint64_t strayReplicas = 0;
    std::uint64_t leaderships = 0;
};

class ControllerCore::Implementation
{
public:
    Implementation (base::MemberId self, ControllerOptions options,
                    consensus::RecoveredState recovered, std::uint64_t randomSeed,
                    base::TimePoint now, base::UnixMilliseconds unixNow);

    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);
    void onTick();
    void onMemberMessage (const consensus::Message& message);
    void onPersisted (std::uint64_t sequence);
    void onStorageFailed();

    void onRouterMessage (RouterConnection connection, const cell::RouterToController& message);
    void onRouterGone (RouterConnection connection);
    void onLeaderConnected();
    void onLeaderLost();
    void onLeaderMessage (const cell::ControllerToRouter& message);
    [[nodiscard]] RelayStatus relayStatus() const;

    void onOrderAnswer (const base::RunnerId& runner, const engine::Order& order,
                        const engine::OrderAnswer& answer);
    void onOrderFailed (const base::RunnerId& runner, const engine::Order& order);
    void onReport (const base::RunnerId& runner, const engine::Report& report);
    void onReportFailed (const base::RunnerId& runner);
    void onMachineList (const engine::MachineList& list);
    void onMachineListFailed();

    void onAdmin (AdminTicket ticket, const AdminRequest& request);
    void onControl (ControlTicket ticket, const ControlRequest& request);

    void onEngineOrderAnswer (const engine::ServiceOrder& order, engine::OrderOutcome outcome);
    void onEngineReport (const std::string& instance, const engine::ServiceReport* report);
    void addContact (const std::string& peerAddress);
    void beginStop();
    [[nodiscard]] bool isStopped() const;

    [[nodiscard]] std::vector<Effect> takeEffects();
    [[nodiscard]] consensus::RaftStatus raftStatus() const { return m_raft.status (m_now); }
    [[nodiscard]] consensus::RaftSummary raftSummary() const { return m_raft.summary(); }
    [[nodiscard]] bool holdsLease() const { return m_raft.holdsLease (m_now); }
    [[nodiscard]] const cell::CellState& state() const { return m_state; }
    [[nodiscard]] std::string metricsText() const;

private:
    // ControllerCore.cpp: consensus and leadership. ControllerProposals.cpp: proposals and their
    // ends.
    void drain();
    bool takeRaftOutput();
    void sendToMember (consensus::Message message);
    void sendToUnknownMember (const consensus::Message& message);
    void applyEntry (const consensus::Entry& entry);
    void finishProposal (const consensus::Entry& entry, const cell::ApplyResult& result);
    void finish (const ForPlacement& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForApply& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForDrain& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForMembers& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForClaims& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForReplica& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForRunner& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForStray& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForNothing& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForControl& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForLeavingInstance& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForConfiguration& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForOwnMembers& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForEngineOrders& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForRelease& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void updateLeadership();
    void beginLeadership();
    void endLeadership();
    void compactIfDue();
    bool propose (const cell::Command& command, Purpose purpose);
    /// Time of the cell: wall-clock time at the begin of leadership plus monotonic time since, so
    /// that a step of the wall clock changes nothing.
    [[nodiscard]] base::UnixMilliseconds cellTime() const;

    // ControllerRunners.cpp
    void runRoutine();
    void pollRunners();
    void pollMachineList();
    void reconcile (const base::RunnerId& runner);
    void observe (const base::RunnerId& runner);
    void removeRunner (const base::RunnerId& runner);
    void noteUse (const engine::Report& report);
    void failReplica (base::ReplicaId replica, const std::string& reason);
    void proposeForReplica (base::ReplicaId replica, const cell::Command& command);
    void proposeStray (const StrayReplica& stray);
    void sendOrders();
    void sendOrders (const base::RunnerId& runner);
    void onOrderRefused (const base::RunnerId& runner, const engine::Order& order,
                         const engine::OrderAnswer& answer);

    // ControllerPlacement.cpp
    void placeIfDue();
    [[nodiscard]] placement::Snapshot placementSnapshot();
    void addRunnerViews (placement::Snapshot& snapshot) const;
    void addReplicaViews (placement::Snapshot& snapshot);
    void forgetGoneReplicas();
    [[nodiscard]] bool loadsFromStore (const cell::Replica& replica) const;
    void proposeDecision (const placement::Decision& decision);

    // ControllerRouters.cpp
    void onHello (RouterConnection connection, const cell::RouterHello& hello);
    void onLeaseRequest (RouterConnection connection, const cell::LeaseRequest& request);
    void grantLease (RouterConnection connection, RouterSession& session,
                     const cell::LeaseRequest& request);
    /// The table of instances that a router must have stated before it gets a lease.
    [[nodiscard]] std::uint64_t requiredInstanceVersion() const;
    /// What the parts of tenants' quotas are divided by now.
    [[nodiscard]] QuotaBasis quotaBasis() const;
    /// Counts the quotas of the tenants in force from now on. Before they are asked for, or they
    /// would begin with little when traffic does.
    void takeTenants();
    /// Grants units of tenants' quotas to a router or a relay.
    void grantQuota (RouterConnection connection, const cell::QuotaRequest& request);
    void onLeavingSeen (const cell::RunnerLeavingSeen& seen);
    /// Keeps a router that came while another member leads, or none, to tell it of the leader.
    void admitWatcher (RouterConnection connection, const cell::RouterHello& hello);
    /// Sends what this member has applied: a router that serves without a lease and has just
    /// started may work with it until it has found the leader.
    void sendLastKnownState (RouterConnection connection);
    /// Tells all watchers who leads.
    void tellWatchers();
    void onDemand (RouterConnection connection, const cell::DemandReport& report);
    void sendTablesIfDue();
    void refreshTable();
    void sendTable (RouterConnection connection, RouterSession& session);
    void sendExactTable (RouterConnection connection, RouterSession& session);
    void sendSharedTable (RouterConnection connection, RouterSession& session);
    [[nodiscard]] std::vector<cell::RoutableReplica> routableReplicas() const;
    void refreshEstimates();
    void shareCredits (std::vector<cell::RoutableReplica>& replicas);
    void flushClaims();
    void replyNotLeader (RouterConnection connection);
    void sendToRouter (RouterConnection connection, cell::ControllerToRouter message);

    // ControllerAdmin.cpp
    void admin (AdminTicket ticket, const AdminApply& request);
    void admin (AdminTicket ticket, const AdminStatus& request);
    void admin (AdminTicket ticket, const AdminExplain& request);
    void admin (AdminTicket ticket, const AdminMembers& request);
    void admin (AdminTicket ticket, const AdminAddMember& request);
    void admin (AdminTicket ticket, const AdminPromoteMember& request);
    void admin (AdminTicket ticket, const AdminRemoveMember& request);
    void admin (AdminTicket ticket, const AdminDrain& request);
    void admin (AdminTicket ticket, const AdminQuarantine& request);
    void admin (AdminTicket ticket, const AdminRelease& request);
    [[nodiscard]] bool isMembersChangePending() const;
    void changeMembers (AdminTicket ticket, consensus::MemberSet members);
    void answer (AdminTicket ticket, AdminAnswer answer);
    void answerInForceWaits();
    [[nodiscard]] AdminView adminView (const consensus::RaftStatus& status) const;

    // ControllerConfiguration.cpp
    void control (ControlTicket ticket, const ReplaceConfiguration& request);
    void control (ControlTicket ticket, const ReadConfiguration& request);
    /// A proposed configuration was applied.
    void noteConfiguration (const cell::ConfigurationResult& result);
    /// Keeps the configuration in force for those that hold an earlier one.
    void keepConfiguration();
    /// Answers once no router serves under an earlier configuration than the one in force now.
    void awaitRollout (const ForConfiguration& purpose);
    void answerConfiguration (const ForConfiguration& purpose, ControlAnswer answer);
    /// Sends the configuration to those that need it, when it came into force or one of them asked.
    void sendConfigurationIfDue();
    void sendConfigurationTo (RouterSessions& sessions, PacedWork& pacing,
                              std::uint64_t& announcedVersion);
    /// Answers and tells which configurations have reached all routers, and which are late.
    void followRollout();
    void answerConfigurationWaits (std::uint64_t confirmedVersion);

    // ControllerQuarantine.cpp
    /// The router waits to be shown what it reported.
    void noteReporter (RouterSession& session, const cell::SuspectReport& report);
    void onSuspectReport (const cell::SuspectReport& report);
    /// Whether the instance has said that it leaves or has left.
    [[nodiscard]] bool isLeaving (const std::string& instance) const;
    /// Puts into the log what was reported since the last time.
    void proposeSuspectsIfDue();
    /// Shows a router what became of ends that it reported.
    void answerReporter (RouterConnection connection, RouterSession& session);
    void sendToAllOf (const RouterSessions& sessions, cell::ControllerToRouter message);
    /// Tells routers of ends that the log takes long to agree on.
    void hintAtSuspects();
    /// Ends that routers reported were applied.
    void noteSuspects (const cell::NoteSuspects& command);
    /// Sends to routers what they lack of the table of suspects as it is applied here.
    void sendSuspectsTo (RouterSessions& sessions);

    // ControllerInstances.cpp
    void control (ControlTicket ticket, const InstanceHeartbeat& heartbeat);
    void control (ControlTicket ticket, const InstanceDeregistration& request);
    void proposeFor (ControlTicket ticket, const cell::Command& command, Purpose purpose);
    void sendInstancesIfDue();
    /// Answers once no router may send by a table in which the instance still takes requests.
    void awaitLeaving (ControlTicket ticket, const Leaving& leaving);
    void answerLeavingWaits();
    /// Brings all routers up to date; false when some need the whole table and it may not go out.
    bool sendInstancesToAll (bool mayBeWhole);
    struct TableState
    {
        std::uint64_t version = 0;
        TableVersions known;  ///< Of these versions the changes are known.
        std::size_t rows = 0;
    };
    /// Sends what changed to those behind; those that hold the same version get the same message.
    /// False when some were left out, since they need the whole table and it may not go out.
    bool sendInstancesTo (RouterSessions& sessions, const TableState& table, bool mayBeWhole,
                          const std::function<cell::InstanceUpdate (std::uint64_t)>& updateSince);
    /// No more often than this do changes of the table go out.
    [[nodiscard]] static base::Duration tableInterval (std::size_t routers);
    /// The same for all that costs time for each row of the table.
    [[nodiscard]] static base::Duration wholeTableInterval (std::size_t routers, std::size_t rows);
    /// Notes which instances a command that was applied concerns.
    void noteAgreedInstances (const cell::Command& command);
    /// Takes over what was told of instances; of all of them, or of those that changed.
    void refreshInstances (bool isSweep);
    void onSightings (const cell::InstanceSightings& sightings);
    void takeHeartbeat (const InstanceHeartbeat& heartbeat);
    /// Drops a heartbeat that no runner of the services in force can have sent, and says so.
    bool isUsable (const InstanceHeartbeat& heartbeat);
    /// Whether the configuration in force may have the service that the instance states.
    [[nodiscard]] bool hasService (const cell::ServiceInstance& instance) const;
    /// A later incarnation of the instance is known.
    [[nodiscard]] bool isOfEarlierIncarnation (const cell::ServiceInstance& instance) const;
    /// Removes those that had the address of an instance that registers.
    void removePredecessors (const cell::ServiceInstance& instance);
    [[nodiscard]] cell::AddInstance additionOf (const InstanceHeartbeat& heartbeat) const;
    [[nodiscard]] cell::InstanceUpdate instanceUpdateSince (std::uint64_t version) const;
    void runInstanceRoutine();
    /// Where an instance is to send its next heartbeats.
    [[nodiscard]] std::string heartbeatAddressFor (const std::string& instance);
    /// Proposes what changed of runners' holdings, so that the next leader knows it.
    void noteHoldingsIfDue();
    void removeSilent();
    [[nodiscard]] std::string ownAdminAddress() const;
    void answerNotLeader (ControlTicket ticket);
    void answerControl (ControlTicket ticket, ControlAnswer answer);

    // ControllerLoads.cpp
    /// At the leader: takes over what was reported and tells it on.
    void shareLoads();
    /// The same at a controller that does not lead.
    void relayLoads();
    void sendLoadsTo (RouterSessions& sessions, const InstanceLoadTable& loads,
                      base::TimePoint& nextAt);
    void forgetLoadsOfGone();
    /// Takes from a report what it tells of speeds; its slowdowns are against the usual afterwards.
    void learnSpeeds (cell::InstanceLoadReport& report);
    /// What this member was told of speeds before it led.
    void keepEarlierSpeeds (const InstanceLoadTable& loads);
    void leaveOutSilent (InstanceLoadSum& sum, const RouterSessions& sessions) const;

    // ControllerRates.cpp
    /// What routers are told of limited runners, by the leader or by a relay.
    [[nodiscard]] cell::InstanceRateUpdate rateTable() const;
    [[nodiscard]] std::uint64_t rateTableVersion() const;
    /// Sends the table before anything else, so that a router never sends by a table of runners
    /// without knowing which are limited.
    void greetWithRates (RouterConnection connection, RouterSession& session,
                         const cell::RouterHello& hello);
    void sendRatesTo (const RouterSessions& sessions, RateNews& news);
    void onRateReport (const cell::InstanceRateReport& report);
    void grantPermits (RouterConnection connection, const cell::InstancePermitRequest& request);
    void forgetRatesOfGone();
    /// At the leader: how many of the routers keep to its permits.
    void shareRates();
    void tellPlacementOfRates();
    /// False when the message is about something else.
    bool relayRateMessage (RouterConnection connection, const cell::RouterToController& message);
    void takeLeaderRates (const cell::ControllerToRouter& message);
    void passPermitsOn (const cell::InstancePermitGrant& grant);

    // ControllerEngines.cpp
    [[nodiscard]] placement::EnginePlacementOptions engineOptions() const;
    void placeOnEngines();
    /// Orders leave once every later leader will know of them.
    void noteAndSend (std::vector<placement::SendEngineOrder> orders);
    /// Tells placement of instances; of all of them, or of those that changed.
    void refreshEngines (bool isSweep);
    /// Tells it of some of those that changed; false when there are more.
    bool placeChangedInstances();
    /// Tells it of some of those that it lacks.
    void placeMissingInstances();
    /// Shows routers what engines hold; all engines, or those that changed.
    void publishHoldings (bool isSweep);
    /// False when it is shown already.
    bool publishHoldings (const std::string& instance, const cell::RoutableInstance& row);
    void requestPlacement();
    [[nodiscard]] base::Duration placementInterval() const;
    /// Time as the work itself spends it; stands still where nothing measures it.
    [[nodiscard]] base::TimePoint workTime() const;

    // ControllerRelay.cpp: while this member does not lead.
    /// False when the message is not that of a router which it serves.
    bool relayRouterMessage (RouterConnection connection, const cell::RouterToController& message);
    bool relayHello (RouterConnection connection, const cell::RouterHello& hello);
    void relayLeaseRequest (RouterConnection connection, RouterSession& session,
                            const cell::LeaseRequest& request);
    void passLeaseOn (RouterConnection connection, RouterSession& session,
                      const cell::LeaseRequest& request);
    void relayRouterGone (RouterConnection connection);
    /// False when the heartbeat is for the leader itself.
    bool relayHeartbeat (const InstanceHeartbeat& heartbeat);
    /// End of the lease that covers the configuration applied here; the begin of time without one.
    [[nodiscard]] base::TimePoint relayedLeaseEnd() const;
    void runRelay();
    /// Keeps the session with whoever leads.
    void followLeader();
    void stateToLeader (cell::LeaseRequest request);
    void stateIfNews();
    void takeRelayedInstances (const cell::InstanceUpdate& update);
    void sendRelayedInstances();
    void beginRelay();
    void endRelay();
    [[nodiscard]] std::string peerAddressOf (base::MemberId id) const;
    /// Takes over which table of instances a router holds when it comes.
    static void takeInstanceVersion (RouterSession& session, const cell::RouterHello& hello,
                                     base::Term term);
    /// The same at the leader.
    void takeInstanceVersion (RouterSession& session, const cell::RouterHello& hello);

    // ControllerMembers.cpp
    void onJoinRequest (RouterConnection connection, const cell::MemberJoinRequest& request);
    void changeMembersIfDue();

    base::MemberId m_self;
    ControllerOptions m_options;
    base::TimePoint m_now;
    base::UnixMilliseconds m_unixNow;
    cell::CellState m_state;
    consensus::RaftNode m_raft;
    consensus::RaftSummary m_status;            ///< As of the last drain.
    ConfigurationChange m_configurationChange;  ///< Kept by every member; see there.
    std::optional<Leadership> m_leader;
    /// Connections of routers that this member does not lead; they are told when a leader is known.
    std::set<RouterConnection> m_watchers;
    base::MemberId m_toldLeader = 0;  ///< That watchers were told of last; 0: none.
    OrderNotes m_orderNotes;
    base::LogIndex m_suspectsVersion = 0;  ///< That routers were to be sent last.
    PacedWork m_suspectsSend;              ///< Routers may have to hear of suspects.
    base::Random m_relaySeeds;
    std::optional<RouterRelay> m_relay;  ///< While this member does not lead.
    std::vector<Effect> m_effects;
    SnapshotSchedule m_snapshots{ m_options.entriesBetweenSnapshots };
    bool m_isStopping = false;
    base::TimePoint m_stopDeadline{};
    ControllerCounters m_counters;
};

}  // namespace fernlift::controller
