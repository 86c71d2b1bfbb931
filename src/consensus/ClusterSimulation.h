#pragma once

/// Deterministic simulation of a cluster in one thread, for tests: RaftNode instances over a
/// simulated network, simulated disks and drifting clocks, under random faults. Runs with equal
/// options are identical.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "consensus/ClusterInvariants.h"
#include "consensus/RaftNode.h"
#include "consensus/SimulatedDisk.h"

namespace fernlift::consensus
{

[[nodiscard]] Member memberOf (MemberId id, bool isVoter);

struct ClusterOptions
{
    std::uint64_t seed = 1;
    MemberId memberCount = 3;
    PlantedFault fault = PlantedFault::kNone;
    base::Duration faultTime = base::seconds (10);
    base::Duration healTime = base::seconds (6);
    bool isTraced = false;  ///< Whether the last events are kept in ClusterReport::trace.
};

/// Number of injected faults and observed events of a run, by name.
struct ClusterCounts
{
    std::map<std::string, std::uint64_t> counts;
    void add (const ClusterCounts& other);
};

struct ClusterReport
{
    std::vector<std::string> violations;  ///< The first violation ends the run.
    std::deque<std::string> trace;        ///< The last events of the run, oldest first.
    ClusterCounts seen;
    std::uint64_t digest = 0;  ///< Digest of the whole run, equal for equal runs.
};

/// Runs one simulated cluster. Time, processes and the network are implemented in
/// ClusterSimulationTest.cpp, callers and the operator in ClusterOperatorTest.cpp, faults in
/// ClusterFaultsTest.cpp.
class ClusterSimulation
{
public:
    explicit ClusterSimulation (const ClusterOptions& options);
    ClusterReport run();

private:
    /// One process with its disk. Its clock runs `clockRate` times as fast as true time.
    struct Process
    {
        MemberId id = 0;
        std::unique_ptr<RaftNode> node;  ///< Null while the process is down.
        SimulatedDisk disk;
        MemberSet initialMembers;
        DigestState state;
        std::map<LogIndex, Term> proposals;
        LogIndex commitIndex = 0;
        Role role = Role::kFollower;
        std::uint64_t incarnation = 0;  ///< Number of starts; events of an earlier one are dropped.
        bool isDiskLost = false;
        bool isFrozen = false;
        std::vector<std::function<void()>> deferredActions;
        bool isSyncing = false;
        bool hasDiskFailed = false;  ///< Nothing is written until the next start.
        base::Duration syncTime = base::milliseconds (1);
        double clockRate = 1.0;
        base::TimePoint clockBase;
        base::TimePoint trueBase;
    };
    struct Event
    {
        base::TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    // Time and processes.
    void after (base::Duration delay, std::function<void()> action);
    /// Runs `action` after `delay`, or once the process is no longer frozen. Drops it if the
    /// process is down or has crashed in between.
    void onProcess (MemberId id, base::Duration delay, std::function<void (Process&)> action);
    [[nodiscard]] base::TimePoint clockOf (const Process& process) const;
    void setClockRate (Process& process, double rate);
    void addProcess (MemberId id, MemberSet initialMembers);
    void start (Process& process);
    void tickForever (MemberId id);
    void crash (Process& process);
    void restartAfter (MemberId id, base::Duration delay);

    // Input and output of the members.
    void drain (Process& process);
    void persist (Process& process, PersistRequest request);
    void beginSync (Process& process);
    void apply (Process& process, const Entry& entry);
    void compactIfDue (Process& process);
    void observe (Process& process);
    void transmit (const Message& message);
    void deliver (const Message& message, base::Duration delay);

    // Callers and operator.
    void proposeForever();
    void operateForever();
    void operate (Process& leader);
    bool proposeOperatorStep (Process& leader);
    /// Returns a random one of the processes that lead; nullptr if there is none.
    Process* findLeader();
    Process* randomProcess();

    // Faults.
    void injectForever();
    void injectFault();
    void cutRandomly();
    void isolateWithMinority (MemberId id);
    /// Drops all messages from the leader to one follower. Proposals pause meanwhile, so that the
    /// log of the follower does not fall behind and it can win an election.
    void blockLeaderToFollower();
    /// Partitions the leader from all other members at the moment when `campaigner` campaigns.
    void isolateLeaderDuringCampaign (const Process& campaigner);
    void freezeRandomly();
    void crashRandomly();
    void powerLoss();
    void slowDisk();
    void failDisk();
    void loseDisk();
    void changeMembers();
    void transferLeadership();
    void disturbNetwork();
    void healAll();
    void checkLiveness();
    void count (const std::string& what);
    void trace (const std::string& what);
    void trace (const Process& process, const std::string& what);

    double randomClockRate();
    base::Duration randomDuration (std::int64_t lowMilliseconds, std::int64_t highMilliseconds);

    const ClusterOptions m_options;
    RaftOptions m_raftOptions;
    base::Random m_random;
    ClusterInvariants m_invariants;
    ClusterReport m_report;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    base::TimePoint m_now;
    std::map<MemberId, Process> m_processes;
    std::set<std::pair<MemberId, MemberId>> m_cuts;  ///< Blocked links as sender and receiver.
    double m_dropChance = 0;
    double m_duplicateChance = 0;
    double m_lateChance = 0;
    LogIndex m_entriesBetweenSnapshots = 30;
    std::uint64_t m_commandCount = 0;
    base::TimePoint m_proposalsPausedUntil;  ///< Callers propose nothing, so that no log lags.
    MemberId m_nextId = 1;
    std::set<MemberId> m_desired;  ///< Voters that the operator works towards.
    bool m_isReconfigured = true;  ///< m_desired are the voters, and that is committed.
    bool m_isLossDue = false;      ///< A second disk is lost once the first is replaced.
    bool m_isHealing = false;
    std::uint64_t m_digest = 0;
};

/// Returns the command that runs a failing seed again.
[[nodiscard]] std::string replayHint (const ClusterOptions& options);

}  // namespace fernlift::consensus
