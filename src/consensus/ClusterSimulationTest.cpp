#include <gtest/gtest.h>

#include <algorithm>

#include "base/Digest.h"
#include "consensus/ClusterSimulation.h"

namespace fernlift::consensus
{
namespace
{

using base::Duration;
using base::microseconds;
using base::milliseconds;
using base::TimePoint;

constexpr Duration kTickInterval = milliseconds (10);

}  // namespace

Member memberOf (MemberId id, bool isVoter)
{
    return { id, "127.0.0.1:" + std::to_string (id), "", "zone", isVoter };
}

void ClusterCounts::add (const ClusterCounts& other)
{
    for (const auto& [name, count] : other.counts)
        counts[name] += count;
}

ClusterSimulation::ClusterSimulation (const ClusterOptions& options)
    : m_options (options), m_random (options.seed), m_now (milliseconds (1000))
{
    m_raftOptions.plantedFault = options.fault;
    m_raftOptions.snapshotChunkBytes =
        static_cast<std::size_t> (m_random.uniformInteger (100, 500));
    m_raftOptions.maximumAppendBytes = static_cast<std::size_t> (m_random.uniformInteger (1, 200));
    m_raftOptions.maximumInflightAppends =
        static_cast<std::size_t> (m_random.uniformInteger (1, 8));
    m_raftOptions.entriesKeptByCompaction =
        static_cast<std::size_t> (m_random.uniformInteger (0, 20));
    m_entriesBetweenSnapshots = static_cast<LogIndex> (m_random.uniformInteger (10, 60));
    MemberSet initial;
    for (MemberId id = 1; id <= options.memberCount; ++id)
    {
        initial.members.push_back (memberOf (id, true));
        m_desired.insert (id);
    }
    for (MemberId id = 1; id <= options.memberCount; ++id)
        addProcess (id, initial);
    m_nextId = options.memberCount + 1;
}

ClusterReport ClusterSimulation::run()
{
    proposeForever();
    operateForever();
    injectForever();
    after (m_options.faultTime, [this] { healAll(); });
    const TimePoint end = m_now + m_options.faultTime + m_options.healTime;
    while (m_now < end && m_invariants.violations().empty())
    {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    if (m_invariants.violations().empty())
        checkLiveness();
    m_report.violations = m_invariants.violations();
    m_report.digest = m_digest;
    m_report.seen.counts["committed entries"] += m_invariants.committedIndex();
    return m_report;
}

void ClusterSimulation::count (const std::string& what)
{
    ++m_report.seen.counts[what];
    trace (what);
}

void ClusterSimulation::trace (const std::string& what)
{
    constexpr std::size_t kKeptEvents = 150;
    if (! m_options.isTraced)
        return;
    const auto time = base::toMilliseconds (m_now.time_since_epoch());
    m_report.trace.push_back (std::to_string (time) + " ms " + what);
    if (m_report.trace.size() > kKeptEvents)
        m_report.trace.pop_front();
}

void ClusterSimulation::trace (const Process& process, const std::string& what)
{
    if (! m_options.isTraced)
        return;
    std::string text = "member " + std::to_string (process.id) + " " + what;
    if (process.node)
    {
        const RaftStatus status = process.node->status (clockOf (process));
        text += ", term " + std::to_string (status.term) + ", last "
                + std::to_string (status.lastIndex) + ", commit "
                + std::to_string (status.commitIndex) + ", members";
        for (const Member& member : status.members.members)
        {
            text += (member.isVoter ? " " : " learner ") + std::to_string (member.id);
        }
    }
    trace (text);
}

void ClusterSimulation::after (Duration delay, std::function<void()> action)
{
    m_events.push ({ m_now + delay, ++m_eventCount, std::move (action) });
}

void ClusterSimulation::onProcess (MemberId id, Duration delay,
                                   std::function<void (Process&)> action)
{
    const std::uint64_t incarnation = m_processes.at (id).incarnation;
    after (delay,
           [this, id, incarnation, action = std::move (action)]
           {
               Process& process = m_processes.at (id);
               if (! process.node || process.incarnation != incarnation)
                   return;
               if (! process.isFrozen)
               {
                   action (process);
                   return;
               }
               process.deferredActions.push_back ([action, &process] { action (process); });
           });
}

TimePoint ClusterSimulation::clockOf (const Process& process) const
{
    const auto elapsed = static_cast<double> ((m_now - process.trueBase).count());
    return process.clockBase
           + microseconds (static_cast<std::int64_t> (elapsed * process.clockRate));
}

void ClusterSimulation::setClockRate (Process& process, double rate)
{
    process.clockBase = clockOf (process);
    process.trueBase = m_now;
    process.clockRate = rate;
}

void ClusterSimulation::addProcess (MemberId id, MemberSet initialMembers)
{
    Process& process = m_processes[id];
    process.id = id;
    process.initialMembers = std::move (initialMembers);
    process.trueBase = m_now;
    process.clockBase = TimePoint (randomDuration (0, 1000000));
    start (process);
}

void ClusterSimulation::start (Process& process)
{
    ++process.incarnation;
    process.state = {};
    process.commitIndex = 0;
    process.role = Role::kFollower;
    process.isSyncing = false;
    process.hasDiskFailed = false;
    setClockRate (process, randomClockRate());
    process.node = std::make_unique<RaftNode> (process.id, m_raftOptions,
                                               process.disk.recover (process.initialMembers),
                                               m_random.bits(), clockOf (process));
    trace (process, "starts");
    drain (process);
    tickForever (process.id);
}

void ClusterSimulation::tickForever (MemberId id)
{
    onProcess (id, kTickInterval,
               [this, id] (Process& process)
               {
                   tickForever (id);
                   process.node->tick (clockOf (process));
                   drain (process);
               });
}

void ClusterSimulation::crash (Process& process)
{
    if (! process.node)
        return;
    trace (process, "crashes");
    process.node.reset();
    process.isFrozen = false;
    process.deferredActions.clear();
    process.proposals.clear();
    const auto unsynced = static_cast<std::int64_t> (process.disk.unsyncedCount());
    if (unsynced > 0)
        count ("crashes with unsynced writes");
    process.disk.crash (static_cast<std::size_t> (m_random.uniformInteger (0, unsynced)));
}

void ClusterSimulation::restartAfter (MemberId id, Duration delay)
{
    after (delay,
           [this, id]
           {
               Process& process = m_processes.at (id);
               if (! process.node && ! process.isDiskLost)
                   start (process);
           });
}

void ClusterSimulation::drain (Process& process)
{
    while (true)
    {
        RaftOutput output = process.node->takeOutput();
        const bool isEmpty = output.writes.empty() && output.messages.empty()
                             && output.committed.empty() && ! output.installedSnapshot;
        if (isEmpty)
            break;
        for (PersistRequest& write : output.writes)
            persist (process, std::move (write));
        for (const Message& message : output.messages)
        {
            m_invariants.onSent (message, process.disk.synced());
            transmit (message);
        }
        if (output.installedSnapshot)
        {
            m_invariants.onInstalled (process.id, *output.installedSnapshot);
            process.state =
                DigestState::decode (output.installedSnapshot->data).value_or (DigestState());
            count ("snapshots installed");
        }
        for (const Entry& entry : output.committed)
            apply (process, entry);
        observe (process);
        compactIfDue (process);
    }
    beginSync (process);
}

void ClusterSimulation::persist (Process& process, PersistRequest request)
{
    m_invariants.onWritten (process.id, request, process.disk.written());
    process.disk.submit (std::move (request));
}

void ClusterSimulation::beginSync (Process& process)
{
    const bool canWrite = ! process.isSyncing && ! process.hasDiskFailed;
    if (! canWrite || ! process.disk.hasUnsynced())
        return;
    process.isSyncing = true;
    const std::uint64_t sequence = process.disk.lastSequence();
    const std::uint64_t incarnation = process.incarnation;
    const Duration time =
        process.syncTime / 2 + Duration (m_random.uniformInteger (0, process.syncTime.count()));
    after (time,
           [this, id = process.id, sequence, incarnation]
           {
               Process& synced = m_processes.at (id);
               if (! synced.node || synced.incarnation != incarnation)
                   return;
               synced.disk.sync (sequence);
               onProcess (id, Duration (0),
                          [this, sequence] (Process& notified)
                          {
                              notified.isSyncing = false;
                              notified.node->onPersisted (sequence, clockOf (notified));
                              drain (notified);
                          });
           });
}

void ClusterSimulation::apply (Process& process, const Entry& entry)
{
    if (entry.index != process.state.lastIndex + 1)
    {
        m_invariants.fail ("state-machine safety", process.id,
                           "applies entry " + std::to_string (entry.index) + " out of order");
    }
    process.state.apply (entry);
    const Term term = process.node->status (clockOf (process)).term;
    m_invariants.onApplied (process.id, term, process.state, entry);
    m_digest = base::stableHash (std::to_string (m_digest ^ process.state.digest ^ process.id));
    const auto proposal = process.proposals.find (entry.index);
    if (proposal == process.proposals.end())
        return;
    if (proposal->second == entry.term)
    {
        m_invariants.onAcknowledged (entry.index);
        count ("commands acknowledged");
    }
    process.proposals.erase (proposal);
}

void ClusterSimulation::compactIfDue (Process& process)
{
    const LogIndex covered = process.disk.written().snapshot.lastIndex;
    if (process.state.lastIndex < covered + m_entriesBetweenSnapshots)
        return;
    process.node->compact (process.state.lastIndex, process.state.encode (process.id));
    count ("compactions");
}

void ClusterSimulation::observe (Process& process)
{
    const RaftStatus status = process.node->status (clockOf (process));
    m_invariants.onCommit (process.id, status, process.commitIndex, process.disk.written());
    process.commitIndex = status.commitIndex;
    const bool isCampaign = status.role == Role::kPreCandidate && process.role != status.role;
    if (process.role != status.role && status.role == Role::kLeader)
        trace (process, "leads");
    process.role = status.role;
    if (isCampaign && ! m_isHealing && m_random.chance (0.5))
        isolateLeaderDuringCampaign (process);
    if (status.role != Role::kLeader)
        return;
    m_invariants.onLeader (process.id, status.term, process.disk.written());
}

void ClusterSimulation::transmit (const Message& message)
{
    if (! m_processes.contains (message.to) || m_cuts.contains ({ message.from, message.to }))
        return;
    if (m_random.chance (m_dropChance))
        return;
    deliver (message, Duration (m_random.uniformInteger (200, 4000)));
    if (m_random.chance (m_lateChance))
    {
        count ("messages repeated late");
        deliver (message, randomDuration (50, 3000));
    }
    if (m_random.chance (m_duplicateChance))
        deliver (message, randomDuration (1, 30));
}

void ClusterSimulation::deliver (const Message& message, Duration delay)
{
    after (delay,
           [this, message]
           {
               Process& process = m_processes.at (message.to);
               if (! process.node)
                   return;
               onProcess (message.to, Duration (0),
                          [this, message] (Process& receiver)
                          {
                              receiver.node->receive (message, clockOf (receiver));
                              drain (receiver);
                          });
           });
}

Duration ClusterSimulation::randomDuration (std::int64_t lowMilliseconds,
                                            std::int64_t highMilliseconds)
{
    return microseconds (m_random.uniformInteger (lowMilliseconds * 1000, highMilliseconds * 1000));
}

double ClusterSimulation::randomClockRate()
{
    /// Greatest deviation of a clock rate; two clocks differ by a ratio of 1.22 at most.
    constexpr double kMaxDrift = 0.1;
    return 1.0 + kMaxDrift * (2 * m_random.uniformReal() - 1);
}

std::string replayHint (const ClusterOptions& options)
{
    return "replay: FERNLIFT_CLUSTER_SEED=" + std::to_string (options.seed)
           + " FERNLIFT_CLUSTER_MEMBERS=" + std::to_string (options.memberCount)
           + " FERNLIFT_CLUSTER_FAULT=" + std::to_string (static_cast<int> (options.fault))
           + " consensus_test --gtest_filter=ClusterSweep.replaysOneSeed";
}

}  // namespace fernlift::consensus
