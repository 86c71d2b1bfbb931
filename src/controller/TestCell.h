#pragma once

/// Test support: a simulated cell of controllers, engines and routers in one thread, in memory,
/// with its own clock and network. Runs are deterministic: the same calls always give the same run.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "controller/ControllerCore.h"

namespace fernlift::controller::test
{

/// Parser of configurations whose text is only their version, for example "1 ".
inline config::CatalogueOutcome parseVersion (std::string_view text)
{
    config::CatalogueOutcome outcome;
    outcome.catalogue.emplace();
    outcome.catalogue->version = std::stoull (std::string (text));
    return outcome;
}

/// An engine that accepts fenced orders as specified in docs/back-end-protocol.md.
class TestEngine
{
public:
    explicit TestEngine (engine::Machine machine) : m_machine (std::move (machine)) { restart(); }

    engine::OrderAnswer take (const engine::Order& order, base::TimePoint now);
    [[nodiscard]] engine::Report report() const;
    void advance (base::TimePoint now);
    void restart();

    [[nodiscard]] const engine::Machine& machine() const { return m_machine; }
    [[nodiscard]] engine::Megabytes usedMemory() const;
    /// Number of replicas of a target that occupy memory.
    [[nodiscard]] std::uint32_t holds (const std::string& target) const;
    [[nodiscard]] bool isReady (const std::string& target) const;

    base::Duration loadTime = base::milliseconds (300);
    base::Duration unloadTime = base::milliseconds (50);
    bool isAlive = true;
    bool isLeaving = false;
    bool failsLoads = false;
    std::uint32_t runningRequests = 0;
    std::uint32_t memoryRefusals = 0;

private:
    struct Held
    {
        engine::ReplicaReport report;
        base::TimePoint changesAt{};
    };

    std::optional<base::ErrorKind> refusalOf (const engine::Order& order) const;
    void carryOut (const engine::Order& order, base::TimePoint now);

    engine::Machine m_machine;
    base::Incarnation m_incarnation = 0;
    base::Fence m_highestFence = 0;
    engine::OrderAnswer m_lastAnswer;
    std::map<base::ReplicaId, Held> m_held;
};

/// A router that renews its lease and reports its demand.
struct TestRouter
{
    base::RouterId id;
    std::optional<base::MemberId> connectedTo;
    RouterConnection connection = 0;
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    std::uint64_t tableVersion = 0;
    std::map<std::pair<base::ReplicaId, std::string>, cell::RoutableReplica> table;
    std::map<std::string, cell::TargetEstimate> estimates;
    std::map<std::string, cell::Demand> demands;
    std::vector<cell::ClaimReply> claimReplies;
    std::map<std::uint64_t, base::TimePoint> leaseSentAt;
    base::TimePoint leaseUntil{};
    std::uint64_t leaseSequence = 0;
    base::TimePoint nextLeaseAt{};
    std::uint64_t regressions = 0;  ///< Lower configuration versions received after a higher one.
    bool isCut = false;             ///< No message to or from this router is delivered.
    bool acceptsLastKnownState = false;
    std::uint32_t features = 0;  ///< Flags of cell::RouterFeature.

    [[nodiscard]] bool admits (base::TimePoint now) const
    {
        return configurationVersion != 0 && now < leaseUntil;
    }
    /// Registered runners by id, as received by this router.
    std::map<std::string, cell::RoutableInstance> instances;
    base::Term instanceTerm = 0;
    std::uint64_t instanceVersion = 0;
    std::map<std::string, cell::InstanceLoad> loads;   ///< Received loads, without idle runners.
    std::map<std::string, cell::SuspectRow> suspects;  ///< By digest.
    std::vector<cell::RunnerCrashReport> suspectHints;
    std::function<void (const cell::SuspectUpdate&)> onSuspects = [] (const auto&) {};
    std::function<void (const cell::InstanceLoadUpdate&)> onLoads = [] (const auto&) {};
    std::vector<std::string> received;                ///< Kinds of received messages, in order.
    std::optional<cell::InstanceRateUpdate> rates{};  ///< Latest received rates.
    std::vector<cell::QuotaAllowance> permits;
    std::vector<cell::RetryReserveGrants> reserveGrants;
    std::vector<cell::StreamRecords> streamRecords;
    std::vector<cell::StreamLookupReply> streamReplies;
    std::optional<cell::BrittleServices> brittle{};  ///< Latest received list.
    std::vector<cell::SlotGrant> slotGrants;
    std::optional<std::uint32_t> cellRouters{};  ///< Number of routers stated with the last lease.

    [[nodiscard]] bool hasReplica (const std::string& target) const;
};

/// A cell of simulated controllers, engines and routers.
class TestCell
{
public:
    struct Options
    {
        std::size_t controllers = 3;
        std::vector<engine::Machine> machines;
        std::size_t routers = 2;
        ControllerOptions controller;
        std::uint64_t seed = 1;
    };

    explicit TestCell (Options options);
    ~TestCell();

    void run (base::Duration duration);
    /// Runs until the condition holds, at most for `limit`; returns whether it holds.
    bool runUntil (const std::function<bool()>& condition, base::Duration limit);

    /// Connected member that is the leader with the highest term; 0 if there is none.
    [[nodiscard]] base::MemberId leader() const;
    bool awaitLeader();
    void kill (base::MemberId member);
    void restart (base::MemberId member);
    void cut (base::MemberId member, bool isCut);
    /// Drops all messages between the member and the others; routers and engines still reach it.
    void isolate (base::MemberId member, bool isIsolated);
    /// Isolates the member and stops its timers; it still answers routers and engines.
    void freeze (base::MemberId member, bool isFrozen);
    [[nodiscard]] bool isAlive (base::MemberId member) const;
    ControllerCore& core (base::MemberId member);
    /// Index of the last entry that the snapshot on the member's disk covers; 0 without a snapshot.
    [[nodiscard]] base::LogIndex snapshotIndex (base::MemberId member) const
    {
        return m_nodes.at (member).disk.state.snapshot.lastIndex;
    }

    /// Sends an operator's request to a member, and waits for its answer.
    std::optional<AnswerAdmin> ask (base::MemberId member, AdminRequest request,
                                    base::Duration limit = base::seconds (10));
    /// Applies a configuration at the leader; returns the HTTP status, or 0 without an answer.
    int apply (const std::string& text, bool waitInForce = false);

    /// Sends a request of a registered runner or of the operator of services, and waits for its
    /// answer.
    std::optional<ControlAnswer> sendControlRequest (base::MemberId member, ControlRequest request,
                                                     base::Duration limit = base::seconds (3));
    /// An order that arrived at a registered engine. Every order is accepted.
    struct ReceivedEngineOrder
    {
        base::MemberId from = 0;
        base::TimePoint at{};
        engine::ServiceOrder order;
    };
    std::vector<ReceivedEngineOrder> engineOrders;  ///< In the order of arrival.
    /// Progress of configurations as reported by leaders, in order.
    std::vector<ConfigurationEvent> configurationEvents;
    /// Reports of registered engines by instance; an engine without an entry does not answer.
    std::map<std::string, engine::ServiceReport> engineReports;
    std::size_t unusableMessages = 0;  ///< Messages of runners that controllers dropped.

    TestEngine& engine (const std::string& runner);
    TestRouter& router (std::size_t number) { return *m_routers[number]; }
    void setDemand (std::size_t router, const std::string& target, std::uint32_t waiting,
                    std::uint32_t running = 0, int urgency = 5);
    void claim (std::size_t router, std::uint64_t sequence, std::vector<cell::Claim> claims);
    void sendFromRouter (std::size_t router, const cell::RouterToController& message);
    void reconnect (std::size_t router, base::MemberId member);

    /// Number of replicas of a target that occupy memory, over all engines.
    [[nodiscard]] std::uint32_t held (const std::string& target) const;
    [[nodiscard]] bool isReadySomewhere (const std::string& target) const;
    [[nodiscard]] base::TimePoint now() const { return m_now; }
    [[nodiscard]] base::UnixMilliseconds unixNow() const;

    /// While set, orders of this member are stored in `heldOrders` instead of delivered.
    std::optional<base::MemberId> holdsOrdersOf;
    std::vector<std::pair<base::RunnerId, engine::Order>> heldOrders;
    bool refusesLeaderLinks = false;    ///< Other members cannot connect to the leader.
    std::set<base::RunnerId> unlisted;  ///< Runners that the machine list omits.
    /// Called after every step, to check invariants.
    std::function<void()> onStep;
    std::uint64_t ordersDelivered = 0;
    /// Messages with a configuration that controllers encoded, to one router or to several.
    std::uint64_t configurationMessages = 0;
    /// Rows in updates of the table of instances, counted for each receiver.
    std::uint64_t instanceRowsSent = 0;
    std::uint64_t lateOrders = 0;
    base::Duration diskDelay = base::milliseconds (1);  ///< Duration of a write to a member's disk.

private:
    struct Disk
    {
        consensus::RecoveredState state;
    };
    struct Node
    {
        base::MemberId id = 0;
        std::unique_ptr<ControllerCore> core;
        Disk disk;
        bool isCut = false;
        bool isIsolated = false;
        bool isFrozen = false;
        /// Connection to the leader on which the member acts for its routers; 0 without one.
        RouterConnection leaderLink = 0;
        base::MemberId linkedTo = 0;
        std::uint64_t generation = 0;  ///< Incremented on kill and restart to drop old callbacks.
    };
    struct Event
    {
        base::TimePoint at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair (at, sequence) > std::pair (other.at, other.sequence);
        }
    };

    void schedule (base::Duration delay, std::function<void()> action);
    [[nodiscard]] bool isDisconnected (base::MemberId member) const;
    void step();
    Node& node (base::MemberId member) { return m_nodes.at (member); }
    void start (Node& node);
    /// Runs `input` on a live member at the present time, and then its effects.
    void runOn (base::MemberId member, const std::function<void (ControllerCore&)>& input);
    void later (base::MemberId member, base::Duration delay,
                std::function<void (ControllerCore&)> input);
    void carryOut (Node& node);
    void carryOut (Node& node, PersistEffect effect);
    void carryOut (Node& node, SendToMember effect);
    void carryOut (Node& node, const ConnectToLeader& effect);
    void carryOut (Node& node, SendToLeader effect);
    /// Breaks the connection on which a member acts for its routers, and notifies both ends.
    void breakLeaderLink (Node& node);
    [[nodiscard]] bool isLinked (base::MemberId member, RouterConnection connection) const;
    void carryOut (Node& node, SendToRouter effect);
    void deliver (Node& node, RouterConnection connection, cell::ControllerToRouter message);
    void countMessage (const cell::ControllerToRouter& message, std::size_t receivers);
    void carryOut (Node& node, const BroadcastToRouters& effect);
    void carryOut (Node& node, SendOrder effect);
    void carryOut (Node& node, PollRunner effect);
    void carryOut (Node& node, PollMachineList effect);
    void carryOut (Node& node, AnswerAdmin effect);
    void carryOut (Node& node, AnswerControl effect);
    void carryOut (Node& node, placement::SendEngineOrder effect);
    void carryOut (Node& node, const placement::PollEngine& effect);
    void carryOut (Node& /*node*/, const placement::EngineOrderDone& /*done*/) {}
    void carryOut (Node& node, ConfigurationEvent event);
    void carryOut (Node& /*node*/, const RequestQuarantined& /*quarantined*/) {}
    void carryOut (Node& /*node*/, const InstanceReportedUnreachable& /*report*/) {}
    void carryOut (Node& /*node*/, const RunnerMessageUnusable& /*unusable*/)
    {
        ++unusableMessages;
    }
    void tickRouter (TestRouter& router);
    void connect (TestRouter& router, base::MemberId member);
    void toController (TestRouter& router, cell::RouterToController message);
    void onMessage (TestRouter& router, const cell::ControllerToRouter& message);
    void onUpdate (TestRouter& router, const cell::ReplicaUpdate& update);
    TestEngine* findEngine (const base::RunnerId& runner);
    base::MemberId memberAt (const std::string& address) const;

    Options m_options;
    base::TimePoint m_now{ base::seconds (1000) };
    std::uint64_t m_nextSequence = 1;
    std::priority_queue<Event> m_events;
    std::map<base::MemberId, Node> m_nodes;
    std::map<base::RunnerId, std::unique_ptr<TestEngine>> m_engines;
    std::vector<std::unique_ptr<TestRouter>> m_routers;
    std::map<AdminTicket, AnswerAdmin> m_answers;
    std::map<ControlTicket, ControlAnswer> m_controlAnswers;
    AdminTicket m_nextTicket = 1;
    RouterConnection m_nextConnection = 1;
};

/// A model runner for tests.
engine::Machine modelRunner (const std::string& name, engine::Megabytes memory,
                             const std::string& zone = "z1");

/// A catalogue with models a (400 MB, two replicas), b and c (600 MB, one replica each) and adapter
/// x (100 MB) on a.
std::string testCatalogue (std::uint64_t version, const std::string& addition = "");
/// A cell of three controllers, two routers and runners r1, r2 and so on of 1000 MB.
TestCell::Options testOptions (std::size_t engines = 2);
/// The same cell with `routers` routers that forward to registered runners. Configurations are
/// parsed by parseVersion().
TestCell::Options forwardingOptions (std::size_t routers);

}  // namespace fernlift::controller::test
