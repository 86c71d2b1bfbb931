#pragma once

/// Implementation of ControllerCore: the state of one controller and its duties. The member
/// functions are defined in the Controller*.cpp files, one for each duty. Single-threaded, like
/// ControllerCore.

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
#include "controller/BrittlenessTable.h"
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
#include "controller/OrderHistory.h"
#include "controller/OrderQueue.h"
#include "controller/Reconciliation.h"
#include "controller/RecordedStreams.h"
#include "controller/RetryReserveLedger.h"
#include "controller/RoutableTable.h"
#include "controller/RouterPeerGroups.h"
#include "controller/RouterPeerTable.h"
#include "controller/RouterRelay.h"
#include "controller/RouterSessions.h"
#include "controller/RunnerSpeeds.h"
#include "controller/RunnerWatch.h"
#include "controller/SlotLedger.h"
#include "controller/SnapshotSchedule.h"
#include "controller/ThrottledWork.h"
#include "placement/Placement.h"
#include "placement/StoreLoadLimiter.h"
#include "quota/QuotaLedger.h"

namespace fernlift::controller
{

// Purposes of proposals: each decides what happens once the proposal is committed.

/// A placement decision; the next placement round waits until it is committed.
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
/// A change of a replica: ready, failed or released.
struct ForReplica
{
    base::ReplicaId replica = 0;
};
/// A change of a runner: observed or removed.
struct ForRunner
{
    base::RunnerId runner;
};
/// Requests that an operator releases from quarantine.
struct ForRelease
{
    AdminTicket ticket = 0;
};
/// Unload of a replica that the replicated state does not contain; the log index of the proposal
/// becomes the fence of the unload order.
struct ForOrphan
{
    OrphanedReplica orphan;
};
struct ForNothing
{
};
/// A request of the control interface that is answered once it is committed.
struct ForControl
{
    ControlTicket ticket = 0;
};
/// The state of a leaving instance that is to be acknowledged.
struct LeavingInstance
{
    std::string instance;
    bool isRemoval = false;                ///< True: it was removed; false: it drains.
    base::UnixMilliseconds startedAt = 0;  ///< Start time of the incarnation; 0: unknown.

    auto operator<=> (const LeavingInstance&) const = default;  // NOLINT(modernize-use-nullptr)
};
/// An instance that drains or was removed.
struct ForLeavingInstance
{
    ControlTicket ticket = 0;
    LeavingInstance leaving;
};
/// A change of the configuration by the operator of services.
struct ForConfiguration
{
    ControlTicket ticket = 0;
    std::uint64_t version = 0;
    base::TimePoint arrivedAt{};
};
/// A membership change that the leader makes without a request of an operator.
struct ForAutomaticMembers
{
};
/// Orders to registered engines that are sent once the record of them is committed.
struct ForEngineOrders
{
    std::vector<placement::SendEngineOrder> orders;
    base::TimePoint recordedAt{};
};
using Purpose = std::variant<ForPlacement, ForApply, ForDrain, ForMembers, ForClaims, ForReplica,
                             ForRunner, ForOrphan, ForNothing, ForControl, ForLeavingInstance,
                             ForConfiguration, ForAutomaticMembers, ForEngineOrders, ForRelease>;

/// A committed apply whose operator waits until it is in force at every router.
struct PendingApply
{
    AdminTicket ticket = 0;
    cell::ConfigurationResult result;
    base::TimePoint deadline{};
};

/// A committed change of the configuration whose operator waits until no router serves under an
/// earlier one.
struct PendingConfiguration
{
    ForConfiguration purpose;
    std::uint64_t version = 0;  ///< In force after the commit: this change or a later one.
    ControlAnswer answer;
};

/// A committed drain or removal of an instance. It is acknowledged once no router may send requests
/// there any more. Runners repeat the request after a second; a repeated request joins the wait
/// that is already under way.
struct PendingLeave
{
    std::vector<ControlTicket> tickets;
    /// First version of the instance table that contains the change; 0: none yet.
    std::uint64_t tableVersion = 0;
    /// Time at which the lease of every router that has not confirmed the table has expired.
    base::TimePoint leasesEndAt{};
    bool isConfirmed = false;  ///< Stays set as long as this member leads.
};

/// Recent failures to load one target on one runner.
struct LoadFailure
{
    std::uint32_t count = 0;
    base::TimePoint avoidedUntil{};
};

/// A runner crash that a router reported and the replicated state does not contain yet.
struct UnappliedCrash
{
    cell::RunnerCrashReport report;
    base::TimePoint receivedAt{};
    bool isAnnounced = false;  ///< Routers were notified ahead of the commit.
};

/// State of the leader. It is created anew for each term in which this member leads.
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
          retryReserve (now),
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
    bool isTableShared = false;               ///< All routers get the same replica table.
    RoutableTable table;                      ///< Used while the table is shared.
    std::vector<cell::RoutableReplica> rows;  ///< Used while the table is not shared.
    std::optional<CreditShare> exactShare;    ///< Used while the table is not shared.
    /// Number of routers that share a target's replicas, as last sent.
    std::map<std::string, std::uint32_t> sharers;
    std::uint32_t newRouterSharers = 0;  ///< The same number for routers that report no demand.
    DemandTable demands;
    ClaimBatcher claims;
    std::map<base::LogIndex, Purpose> proposals;
    std::set<base::ReplicaId> busyReplicas;  ///< Replicas with a proposal in flight.
    std::set<base::RunnerId> busyRunners;
    std::set<std::pair<base::RunnerId, base::ReplicaId>> busyOrphans;
    /// Orphaned replicas whose unload was proposed: no second unload is proposed before this time,
    /// since reports lag.
    std::map<std::pair<base::RunnerId, base::ReplicaId>, base::TimePoint> orphanUnloadDelays;
    std::set<base::RunnerId> ordersDue;  ///< Runners that may be sent a new order.
    std::size_t placementProposals = 0;  ///< Placement proposals in flight.
    bool isPlacementDue = true;
    base::TimePoint nextPlacementAt{};
    bool isTableDue = true;  ///< A change is to be sent to routers at the next tick.
    base::TimePoint nextTableAt{};
    base::TimePoint nextWholeTableAt{};
    base::TimePoint nextRoutineAt{};
    base::TimePoint nextMachineListAt{};
    bool isMachineListPolled = false;
    std::vector<PendingApply> pendingApplies;
    std::map<std::pair<std::string, base::RunnerId>, LoadFailure> failures;
    /// Time at which each replica was last in use or in demand.
    std::map<base::ReplicaId, base::TimePoint> lastUse;
    placement::StoreLoadLimiter storeLoadLimiter;
    /// Whether each replica loads from the weight store rather than from its runner's memory or
    /// disk.
    std::map<base::ReplicaId, bool> usesStore;
    ReadyEstimates estimates;  ///< Estimates as last sent to routers.
    InstanceTable instances;
    bool isSoftwareHistoryStated = false;  ///< Whether updates of `instances` state the past.
    /// Sum of the loads that this member's routers and the other controllers report.
    InstanceLoadSum loadSum;
    InstanceLoadTable loads;  ///< The same loads together with speeds, as sent to routers.
    RunnerSpeeds speeds;
    /// Start times of the incarnations to which `loads` and `speeds` apply, by instance.
    std::map<std::string, base::UnixMilliseconds> loadStarts;
    base::TimePoint nextLoadsAt{};  ///< Earliest time of the next load update to routers.
    InstanceRateLedger rates;       ///< Rates of the runners that state one.
    std::uint64_t placedRates = 0;  ///< Version of `rates` last passed to placement.
    RateUpdateState rateUpdateState;
    BrittlenessTable brittleness;     ///< Services whose runners state that they are brittle.
    std::optional<SlotLedger> slots;  ///< Set from the begin of the leadership.
    /// Connection by which each holder of slots reported last.
    std::map<std::uint64_t, RouterConnection> slotHolders;
    BrittleUpdateState brittleUpdateState;
    /// Heartbeats that arrived at this member itself while it leads.
    base::DecayingRate heartbeats;
    RetryReserveLedger retryReserve;
    quota::QuotaLedger quotas;
    QuotaBasis quotaBasis;          ///< Configuration and member count that `quotas` is set up for.
    cell::RecordSuspects suspects;  ///< Runner crashes reported and not proposed yet.
    std::vector<UnappliedCrash> unappliedCrashes;
    base::TimePoint nextSuspectExpiryAt{};
    base::TimePoint nextHeldModelsAt{};
    // Versions last passed to placement.
    std::uint64_t placedConfiguration = 0;
    std::uint64_t placedInstances = 0;
    /// While all instances are passed to placement in portions: the first id not passed yet.
    std::optional<std::string> firstUnplaced;
    ThrottledWork missingInstances;  ///< The next portion of these instances is due.
    std::uint64_t recordedHeldModelsVersion =
        0;  ///< Version of `instances` whose held models are in the log.
    base::TimePoint nextRemovalAt{};
    std::uint64_t announcedVersion =
        0;                            ///< Version of the configuration last scheduled for routers.
    ThrottledWork configurationSend;  ///< Some routers may need the configuration.
    ConfigurationRollout rollout;
    std::vector<PendingConfiguration> pendingConfigurations;
    std::map<LeavingInstance, PendingLeave> pendingLeaves;
    /// First version of the instance table that reflects every drain and removal of an instance
    /// that has been or will be acknowledged. It is a version of this leader, so that a table of an
    /// earlier leader does not satisfy it.
    std::uint64_t requiredInstanceVersion = 0;
    ThrottledWork instanceTable;  ///< Changes of the instances may have to be sent to routers.
    RouterPeerTable peers;        ///< Routers of this member and of the relays.
    ThrottledWork wholeTable;     ///< Some routers need the whole instance table.
    ThrottledWork instanceSweep;  ///< All instances are to be examined.
    MemberAdmission admission;
    placement::EnginePlacement engines;
    ThrottledWork enginePlacement;
    base::Duration placementTime{};  ///< Duration of the last full placement round.
    ThrottledWork urgentPlacement;   ///< Placement only of the models that requests wait for.
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
    std::uint64_t orphanedReplicas = 0;
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
    void onRouterDisconnected (RouterConnection connection);
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
    // ControllerCore.cpp: consensus and leadership. ControllerProposals.cpp: proposals and what
    // follows their commit.
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
    void finish (const ForOrphan& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForNothing& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForControl& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void finish (const ForLeavingInstance& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForConfiguration& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForAutomaticMembers& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForEngineOrders& purpose, base::LogIndex index,
                 const cell::ApplyResult& result);
    void finish (const ForRelease& purpose, base::LogIndex index, const cell::ApplyResult& result);
    void updateLeadership();
    void beginLeadership();
    void endLeadership();
    void compactIfDue();
    bool propose (const cell::Command& command, Purpose purpose);
    /// Time of the cell: the wall-clock time at the start of leadership plus the monotonic time
    /// since, so that a step of the wall clock has no effect.
    [[nodiscard]] base::UnixMilliseconds cellTime() const;

    // ControllerRunners.cpp
    void runRoutine();
    void pollRunners();
    void pollMachineList();
    void reconcile (const base::RunnerId& runner);
    void observe (const base::RunnerId& runner);
    void removeRunner (const base::RunnerId& runner);
    void recordUse (const engine::Report& report);
    void failReplica (base::ReplicaId replica, const std::string& reason);
    void proposeForReplica (base::ReplicaId replica, const cell::Command& command);
    void proposeOrphanUnload (const OrphanedReplica& orphan);
    void sendOrders();
    void sendOrders (const base::RunnerId& runner);
    void onOrderRefused (const base::RunnerId& runner, const engine::Order& order,
                         const engine::OrderAnswer& answer);

    // ControllerPlacement.cpp
    void placeIfDue();
    [[nodiscard]] placement::Snapshot placementSnapshot();
    void addRunnerViews (placement::Snapshot& snapshot) const;
    void addReplicaViews (placement::Snapshot& snapshot);
    void removeStaleReplicaRecords();
    [[nodiscard]] bool loadsFromStore (const cell::Replica& replica) const;
    void proposeDecision (const placement::Decision& decision);

    // ControllerRouters.cpp
    void onHello (RouterConnection connection, const cell::RouterHello& hello);
    void onLeaseRequest (RouterConnection connection, const cell::LeaseRequest& request);
    void grantLease (RouterConnection connection, RouterSession& session,
                     const cell::LeaseRequest& request);
    /// Lowest version of the instance table that a router must hold to be granted a lease.
    [[nodiscard]] std::uint64_t requiredInstanceVersion() const;
    /// Configuration version and number of members that the shares of tenants' quotas depend on.
    [[nodiscard]] QuotaBasis quotaBasis() const;
    /// Sets up the quotas of the tenants in the configuration in force. Runs ahead of the first
    /// quota request, since the buckets would otherwise be nearly empty when traffic starts.
    void applyTenants();
    /// Grants units of tenants' quotas to a router or a relay.
    void grantQuota (RouterConnection connection, const cell::QuotaRequest& request);
    void onLeavingSeen (const cell::RunnerLeavingReport& seen);
    /// Registers a router that connected while this member does not lead. It is notified when a
    /// leader is known.
    void admitWatcher (RouterConnection connection, const cell::RouterHello& hello);
    /// Sends the configuration and instances that this member has applied. A router that just
    /// started and serves without a lease uses them until it finds the leader.
    void sendLastKnownState (RouterConnection connection);
    /// Sends the address of the leader to all watchers.
    void notifyWatchers();
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
    void answerPendingApplies();
    [[nodiscard]] AdminView adminView (const consensus::RaftStatus& status) const;

    // ControllerConfiguration.cpp
    void control (ControlTicket ticket, const ReplaceConfiguration& request);
    void control (ControlTicket ticket, const ReadConfiguration& request);
    /// Called when a proposed configuration was applied.
    void onConfigurationApplied (const cell::ConfigurationResult& result);
    /// Adds the configuration in force to the recent ones, from which changes are computed for
    /// routers that hold an earlier one.
    void cacheConfiguration();
    /// Answers once no router serves under an earlier configuration than the one in force now.
    void awaitRollout (const ForConfiguration& purpose);
    void answerConfiguration (const ForConfiguration& purpose, ControlAnswer answer);
    /// Sends the configuration to the routers that need it, when it came into force or when a
    /// router requested it.
    void sendConfigurationIfDue();
    void sendConfigurationTo (RouterSessions& sessions, ThrottledWork& pacing,
                              std::uint64_t& announcedVersion);
    /// Answers operators and logs which configurations have reached all routers and which are late.
    void trackRollout();
    void answerPendingConfigurations (std::uint64_t confirmedVersion);

    // ControllerQuarantine.cpp
    /// Records that the router waits for the suspect status of the requests it reported.
    void recordReporter (RouterSession& session, const cell::SuspectReport& report);
    void onSuspectReport (const cell::SuspectReport& report);
    /// Whether the instance drains or was deregistered.
    [[nodiscard]] bool isLeaving (const std::string& instance) const;
    /// Proposes the crashes and clearances reported since the last proposal.
    void proposeSuspectsIfDue();
    /// Sends a router the suspect status of the requests whose crashes it reported.
    void sendReportedSuspects (RouterConnection connection, RouterSession& session);
    void sendToAllOf (const RouterSessions& sessions, cell::ControllerToRouter message);
    /// Notifies routers of repeated runner crashes whose commit is late.
    void announceLateCrashes();
    /// Called when runner crashes that routers reported were applied.
    void onSuspectsApplied (const cell::RecordSuspects& command);
    /// Sends routers the rows of the applied table of suspects that they lack.
    void sendSuspectsTo (RouterSessions& sessions);

    // ControllerInstances.cpp
    void control (ControlTicket ticket, const InstanceHeartbeat& heartbeat);
    void control (ControlTicket ticket, const InstanceDeregistration& request);
    void proposeFor (ControlTicket ticket, const cell::Command& command, Purpose purpose);
    void sendInstancesIfDue();
    /// Answers once no router may still use an instance table in which the instance takes requests.
    void awaitLeaveConfirmation (ControlTicket ticket, const LeavingInstance& leaving);
    void answerPendingLeaves();
    /// Sends instance changes to all routers that are behind. Returns false when some need the
    /// whole table and it may not be sent now.
    bool sendInstancesToAll (bool mayBeWhole);
    struct TableState
    {
        std::uint64_t version = 0;
        TableVersions known;  ///< Versions since which the changes are known.
        std::size_t rows = 0;
    };
    /// Sends the changes to the routers that are behind; routers that hold the same version get the
    /// same message. Returns false when some were skipped because they need the whole table and it
    /// may not be sent now.
    bool sendInstancesTo (RouterSessions& sessions, const TableState& table, bool mayBeWhole,
                          const std::function<cell::InstanceUpdate (std::uint64_t)>& updateSince);
    /// Minimum interval between messages with changes of the instance table.
    [[nodiscard]] static base::Duration tableInterval (std::size_t routers);
    /// Minimum interval between operations whose cost grows with the rows of the table.
    [[nodiscard]] static base::Duration wholeTableInterval (std::size_t routers, std::size_t rows);
    /// Marks the instances that an applied command concerns as changed.
    void recordAppliedInstances (const cell::Command& command);
    /// Updates placement and held models from the instance table: for all instances in a sweep,
    /// else for those that changed.
    void refreshInstances (bool isSweep);
    void onRelayedHeartbeats (const cell::RelayedHeartbeats& relayedHeartbeats);
    void applyHeartbeat (const InstanceHeartbeat& heartbeat);
    /// Returns false, and reports it, for a heartbeat that no runner of the services in force can
    /// have sent.
    bool isUsable (const InstanceHeartbeat& heartbeat);
    /// Whether the configuration in force has the service of the instance; true also before any
    /// configuration with services.
    [[nodiscard]] bool hasService (const cell::ServiceInstance& instance) const;
    /// Whether a later incarnation of the instance is known.
    [[nodiscard]] bool isOfEarlierIncarnation (const cell::ServiceInstance& instance) const;
    /// Removes the instances that had the address of an instance that registers.
    void removePredecessors (const cell::ServiceInstance& instance);
    [[nodiscard]] cell::AddInstance additionOf (const InstanceHeartbeat& heartbeat) const;
    [[nodiscard]] cell::InstanceUpdate instanceUpdateSince (std::uint64_t version) const;
    void runInstanceRoutine();
    /// Address of the controller to which an instance is to send its next heartbeats.
    [[nodiscard]] std::string heartbeatAddressFor (const std::string& instance);
    /// Proposes changes of the models that runners hold, so that the next leader has them.
    void proposeHeldModelsIfDue();
    void removeSilent();
    [[nodiscard]] std::string ownAdminAddress() const;
    void answerNotLeader (ControlTicket ticket);
    void answerControl (ControlTicket ticket, ControlAnswer answer);

    // ControllerLoads.cpp
    /// At the leader: adds up the reported loads and sends the changes to routers.
    void shareLoads();
    /// At a controller that does not lead: forwards reported loads to the leader and the leader's
    /// loads to routers.
    void relayLoads();
    void sendLoadsTo (RouterSessions& sessions, const InstanceLoadTable& loads,
                      base::TimePoint& nextUpdateAt);
    void removeLoadsOfGoneInstances();
    /// Updates the speeds of runners from a report, and converts its slowdowns so that they are
    /// relative to the nominal speed.
    void updateSpeeds (cell::InstanceLoadReport& report);
    /// Restores the speeds that this member received as a relay before it led.
    void restoreSpeeds (const InstanceLoadTable& loads);
    void excludeSilent (InstanceLoadSum& sum, const RouterSessions& sessions) const;

    // ControllerPeers.cpp
    /// Records the peer address of a router that has connected.
    void recordPeer (RouterConnection connection, const cell::RouterHello& hello);
    /// Sends the list of routers to those that do not have it yet.
    void sendPeers();
    void sendPeersTo (RouterSessions& sessions, std::uint64_t version,
                      const std::function<cell::RouterPeers()>& listOf);
    /// At a relay: reports its routers if they changed and the leader reads such reports.
    void reportPeersToLeader();
    void applyLeaderPeers (const cell::RouterPeers& list);

    // ControllerRates.cpp
    /// Table of rate-limited runners, as the leader or a relay sends it to routers.
    [[nodiscard]] cell::InstanceRateUpdate rateTable() const;
    [[nodiscard]] std::uint64_t rateTableVersion() const;
    /// Sends the rate table ahead of all else, so that a router never uses an instance table
    /// without the rate limits of the runners in it.
    void sendInitialRates (RouterConnection connection, RouterSession& session,
                           const cell::RouterHello& hello);
    void sendRatesTo (const RouterSessions& sessions, RateUpdateState& updateState);
    void onRateReport (const cell::InstanceRateReport& report);
    void grantPermits (RouterConnection connection, const cell::InstancePermitRequest& request);
    void removeRatesOfGoneInstances();
    /// At the leader: updates the share of the routers that use its permits.
    void shareRates();
    void updatePlacementRates();
    /// Returns false when the message is not about rates.
    bool relayRateMessage (RouterConnection connection, const cell::RouterToController& message);
    void applyLeaderRates (const cell::ControllerToRouter& message);
    void forwardPermits (const cell::InstancePermitGrant& grant);

    // ControllerSlots.cpp
    /// List of brittle services, as the leader or a relay sends it to routers.
    [[nodiscard]] cell::BrittleServices brittleServices() const;
    /// Sends the list ahead of all else, so that a router never uses an instance table without it.
    void announceSlots (RouterConnection connection, const cell::RouterHello& hello);
    void sendBrittleServicesTo (const RouterSessions& sessions, BrittleUpdateState& updateState);
    /// Begins with what this member knew as a relay.
    void beginSlots (const cell::BrittleServices& services,
                     const std::vector<cell::SlotReport>& reports);
    void onSlotReports (RouterConnection connection, const cell::SlotReports& reports);
    void onBrittleStatement (const cell::BrittleStatement& statement);
    /// At the leader: assigns slots that have become free by the time.
    void pollSlots();
    void sendSlotGrants();
    /// At the leader: updates the share of the routers that ask for slots.
    void shareSlots();
    /// Returns false when the message is not about slots.
    bool relaySlotReports (RouterConnection connection, const cell::RouterToController& message);
    void sendSlotReportsToLeader();
    void applyLeaderSlots (const cell::ControllerToRouter& message);

    // ControllerRetryReserve.cpp
    /// States to a router or relay that this member reads its requests for the reserve of retries.
    void announceRetryReserve (RouterConnection connection, const cell::RouterHello& hello);
    void grantRetryReserve (RouterConnection connection,
                            const cell::RetryReserveRequests& requests);
    /// At a relay: forwards the grants of the leader.
    void applyRetryReserveGrants (const cell::RetryReserveGrants& grants);

    // ControllerStreams.cpp
    /// States to a router or relay that this member keeps streams.
    void announceStreams (RouterConnection connection, const cell::RouterHello& hello);
    /// Returns false when the message is not about streams.
    bool onStreamMessage (RouterConnection connection, const cell::RouterToController& message);
    void answerStreamLookup (RouterConnection connection, const cell::StreamLookup& lookup);
    /// At a relay: applies what the leader states of streams.
    void applyLeaderStreams (const cell::ControllerToRouter& message);
    /// Sends the streams that are due to the leader, or from the leader to all relays.
    void passOnStreams();
    void sendStreamsToRelays();

    // ControllerEngines.cpp
    [[nodiscard]] placement::EnginePlacementOptions engineOptions() const;
    void placeOnEngines();
    /// Records orders in the log; they are sent once that is committed, so that every later leader
    /// has them.
    void recordAndSend (std::vector<placement::SendEngineOrder> orders);
    /// Passes instances to placement: all of them in a sweep, else those that changed.
    void refreshEngines (bool isSweep);
    /// Passes a portion of the changed instances to placement; returns false when more remain.
    bool placeChangedInstances();
    /// Passes a portion of the instances that placement lacks.
    void placeMissingInstances();
    /// Updates the models that engines hold in the instance table: of all engines in a sweep, else
    /// of those that changed.
    void publishHeldModels (bool isSweep);
    /// Returns false when the table already has them.
    bool publishHeldModels (const std::string& instance, const cell::RoutableInstance& row);
    void requestPlacement();
    [[nodiscard]] base::Duration placementInterval() const;
    /// Clock for the cost of placement; constant when the options have no work clock.
    [[nodiscard]] base::TimePoint workTime() const;

    // ControllerSoftware.cpp
    /// Proposes to record the software version of a registered runner, if another one or none is
    /// recorded.
    void recordSoftwareVersion (const cell::ServiceInstance& known,
                                base::UnixMilliseconds startedAt, const std::string& version);
    /// Sends the software versions that services had before as soon as they can be stated.
    void stateSoftwareHistory();
    /// Software versions that services had before; not stated while the version of a registered
    /// runner is not recorded.
    [[nodiscard]] cell::SoftwareHistory softwareHistory() const;

    // ControllerRelay.cpp: duties while this member does not lead.
    /// Returns false when the message is not from a router that this member serves.
    bool relayRouterMessage (RouterConnection connection, const cell::RouterToController& message);
    bool relayHello (RouterConnection connection, const cell::RouterHello& hello);
    void relayLeaseRequest (RouterConnection connection, RouterSession& session,
                            const cell::LeaseRequest& request);
    void forwardLease (RouterConnection connection, RouterSession& session,
                       const cell::LeaseRequest& request);
    void relayRouterGone (RouterConnection connection);
    /// Returns false when only the leader may take the heartbeat.
    bool relayHeartbeat (const InstanceHeartbeat& heartbeat);
    /// End of the leader's lease for the configuration applied here; a default time point without
    /// one.
    [[nodiscard]] base::TimePoint relayedLeaseEnd() const;
    void runRelay();
    /// Keeps up the session with the current leader.
    void followLeader();
    void sendStateToLeader (cell::LeaseRequest request);
    void requestLeaseIfConfirmed();
    void applyRelayedInstances (const cell::InstanceUpdate& update);
    void sendRelayedInstances();
    void beginRelay();
    void endRelay();
    [[nodiscard]] std::string peerAddressOf (base::MemberId id) const;
    /// Sets the version of the instance table that a router holds, from its hello.
    static void applyInstanceVersion (RouterSession& session, const cell::RouterHello& hello,
                                      base::Term term);
    /// Sets the version at the leader, which first checks whether it continues that table.
    void applyInstanceVersion (RouterSession& session, const cell::RouterHello& hello);

    // ControllerMembers.cpp
    void onJoinRequest (RouterConnection connection, const cell::MemberJoinRequest& request);
    void changeMembersIfDue();

    base::MemberId m_self;
    ControllerOptions m_options;
    base::TimePoint m_now;
    base::UnixMilliseconds m_unixNow;
    cell::CellState m_state;
    consensus::RaftNode m_raft;
    consensus::RaftSummary m_status;  ///< Raft status at the last drain.
    /// Recent configurations; kept also without leading.
    ConfigurationChange m_configurationChange;
    std::optional<Leadership> m_leader;
    /// Connections of routers that this member does not serve; they are notified when a leader is
    /// known.
    std::set<RouterConnection> m_watchers;
    base::MemberId m_announcedLeader = 0;  ///< Leader last announced to watchers; 0: none.
    OrderHistory m_orderHistory;
    base::LogIndex m_suspectsVersion = 0;  ///< Version of the suspects last scheduled for routers.
    ThrottledWork m_suspectsSend;          ///< Some routers may need changes of the suspects.
    std::uint64_t m_peersVersion = 0;      ///< Version of the list in `m_peerGroups`.
    RouterPeerGroups m_peerGroups;         ///< Routers as sent to routers.
    ThrottledWork m_peersSend;             ///< Some routers may need the list of routers.
    RecordedStreams m_streams;  ///< Streams of all routers, as far as this member received them.
    base::Random m_relaySeeds;
    std::optional<RouterRelay> m_relay;  ///< Set while this member does not lead.
    std::vector<Effect> m_effects;
    SnapshotSchedule m_snapshots{ m_options.entriesBetweenSnapshots };
    bool m_isStopping = false;
    base::TimePoint m_stopDeadline{};
    ControllerCounters m_counters;
};

}  // namespace fernlift::controller
