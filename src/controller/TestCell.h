#pragma once

/// Test support: a cell of controllers, engines and routers in one thread, in memory, with a clock
/// and a network of its own. The same calls always give the same run.

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

/// Parser of configurations whose text is their version and a blank.
inline config::CatalogueOutcome parseVersion (std::string_view text)
{
    config::CatalogueOutcome outcome;
    outcome.catalogue.emplace();
    outcome.catalogue->version = std::stoull (std::string (text));
    return outcome;
}

/// An engine that takes fenced orders as docs/back-end-protocol.md says.
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
    /// Replicas of a target that hold memory.
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

/// A router that keeps its lease and states its demand.
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
    std::uint64_t regressions = 0;  ///< Times a lower version arrived after a higher one.
    bool isCut = false;             ///< Nothing passes to or from it.
    bool acceptsLastKnownState = false;
    std::uint32_t features = 0;  ///< Of cell::RouterFeature.

    [[nodiscard]] bool admits (base::TimePoint now) const
    {
        return configurationVersion != 0 && now < leaseUntil;
    }
    /// Registered runners, by id, as this router was told of them.
    std::map<std::string, cell::RoutableInstance> instances;
    base::Term instanceTerm = 0;
    std::uint64_t instanceVersion = 0;
    std::map<std::string, cell::InstanceLoad> loads;   ///< As told; without idle runners.
    std::map<std::string, cell::SuspectRow> suspects;  ///< By digest.
    std::vector<cell::RunnerEndReport> suspectHints;
    std::function<void (const cell::SuspectUpdate&)> onSuspects = [] (const auto&) {};
    std::function<void (const cell::InstanceLoadUpdate&)> onLoads = [] (const auto&) {};
    std::vector<std::string> received;                ///< Kinds of messages, in their order.
    std::optional<cell::InstanceRateUpdate> rates{};  ///< As told last.
    std::vector<cell::QuotaAllowance> permits;

    [[nodiscard]] bool knows (const std::string& target) const;
};

/// The cell.
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

    /// Runs for a time, or until the condition holds; returns whether it does.
    void run (base::Duration duration);
    bool runUntil (const std::function<bool()>& condition, base::Duration limit);

    /// The member that leads with a lease, 0 when none does.
    [[nodiscard]] base::MemberId leader() const;
    bool awaitLeader();
    void kill (base::MemberId member);
    void restart (base::MemberId member);
    void cut (base::MemberId member, bool isCut);
    /// Nothing passes between it and the other members; routers and engines still reach it.
    void isolate (base::MemberId member, bool isIsolated);
    /// Isolated, and its timers stand still; it answers what routers and engines send.
    void freeze (base::MemberId member, bool isFrozen);
    [[nodiscard]] bool isAlive (base::MemberId member) const;
    ControllerCore& core (base::MemberId member);
    /// Last entry that the snapshot on the member's disk covers; 0 without one.
    [[nodiscard]] base::LogIndex snapshotIndex (base::MemberId member) const
    {
        return m_nodes.at (member).disk.state.snapshot.lastIndex;
    }

    /// Sends an operator's request to a member, and waits for its answer.
    std::optional<AnswerAdmin> ask (base::MemberId member, AdminRequest request,
                                    base::Duration limit = base::seconds (10));
    /// Applies a configuration at the leader; its HTTP status, 0 without an answer.
    int apply (const std::string& text, bool waitInForce = false);

    /// Sends a request of a registered runner or of the operator of services, and waits for its
    /// answer.
    std::optional<ControlAnswer> askControl (base::MemberId member, ControlRequest request,
                                             base::Duration limit = base::seconds (3));
    /// Orders to registered engines, in the order in which they arrived. Each is taken.
    struct ArrivedEngineOrder
    {
        base::MemberId from = 0;
        base::TimePoint at{};
        engine::ServiceOrder order;
    };
    std::vector<ArrivedEngineOrder> engineOrders;
    /// What leaders told of the way of configurations, in order.
    std::vector<ConfigurationNews> configurationNews;
    /// What registered engines report, by instance; without an entry they do not answer.
    std::map<std::string, engine::ServiceReport> engineReports;
    std::size_t unusableMessages = 0;  ///< In runners' names, that controllers dropped.

    TestEngine& engine (const std::string& runner);
    TestRouter& router (std::size_t number) { return *m_routers[number]; }
    void setDemand (std::size_t router, const std::string& target, std::uint32_t waiting,
                    std::uint32_t running = 0, int urgency = 5);
    void claim (std::size_t router, std::uint64_t sequence, std::vector<cell::Claim> claims);
    void sendFromRouter (std::size_t router, const cell::RouterToController& message);
    void reconnect (std::size_t router, base::MemberId member);

    /// Replicas of a target that hold memory on all engines together.
    [[nodiscard]] std::uint32_t held (const std::string& target) const;
    [[nodiscard]] bool isReadySomewhere (const std::string& target) const;
    [[nodiscard]] base::TimePoint now() const { return m_now; }
    [[nodiscard]] base::UnixMilliseconds unixNow() const;

    /// While set, orders of this member are kept back instead of delivered.
    std::optional<base::MemberId> holdsOrdersOf;
    std::vector<std::pair<base::RunnerId, engine::Order>> heldOrders;
    bool refusesLeaderLinks = false;    ///< Members that do not lead can't connect to the leader.
    std::set<base::RunnerId> unlisted;  ///< Runners that the machine list omits.
    /// Called after every step, for invariants.
    std::function<void()> onStep;
    std::uint64_t ordersDelivered = 0;
    /// Messages with a configuration that controllers encoded, to one router or to several.
    std::uint64_t configurationMessages = 0;
    std::uint64_t instanceRowsSent =
        0;  ///< In updates of the table of instances, to each receiver.
    std::uint64_t lateOrders = 0;
    base::Duration diskDelay = base::milliseconds (1);  ///< Of a write to a member's disk.

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
        /// On which it acts for its routers; 0: none.
        RouterConnection leaderLink = 0;
        base::MemberId linkedTo = 0;
        std::uint64_t generation = 0;  ///< Counts restarts, so that old callbacks are dropped.
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
    [[nodiscard]] bool isOff (base::MemberId member) const;
    void step();
    Node& node (base::MemberId member) { return m_nodes.at (member); }
    void start (Node& node);
    /// Runs `input` on a live member at the present time and carries out its effects.
    void with (base::MemberId member, const std::function<void (ControllerCore&)>& input);
    void later (base::MemberId member, base::Duration delay,
                std::function<void (ControllerCore&)> input);
    void carryOut (Node& node);
    void carryOut (Node& node, PersistEffect effect);
    void carryOut (Node& node, SendToMember effect);
    void carryOut (Node& node, const ConnectToLeader& effect);
    void carryOut (Node& node, SendToLeader effect);
    /// The connection on which a member acts for its routers breaks; both ends hear of it.
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
    void carryOut (Node& node, ConfigurationNews news);
    void carryOut (Node& /*node*/, const RequestQuarantined& /*quarantined*/) {}
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
/// The same with so many routers that forward to registered runners; configurations are those of
/// parseVersion().
TestCell::Options forwardingOptions (std::size_t routers);

}  // namespace fernlift::controller::test
