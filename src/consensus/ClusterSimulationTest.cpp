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
    : options_ (options), random_ (options.seed), now_ (milliseconds (1000))
{
    raftOptions_.plantedFault = options.fault;
    raftOptions_.snapshotChunkBytes = static_cast<std::size_t> (random_.uniformInteger (100, 500));
    raftOptions_.maximumAppendBytes = static_cast<std::size_t> (random_.uniformInteger (1, 200));
    raftOptions_.maximumInflightAppends = static_cast<std::size_t> (random_.uniformInteger (1, 8));
    raftOptions_.entriesKeptByCompaction =
        static_cast<std::size_t> (random_.uniformInteger (0, 20));
    entriesBetweenSnapshots_ = static_cast<LogIndex> (random_.uniformInteger (10, 60));
    MemberSet initial;
    for (MemberId id = 1; id <= options.memberCount; ++id)
    {
        initial.members.push_back (memberOf (id, true));
        desired_.insert (id);
    }
    for (MemberId id = 1; id <= options.memberCount; ++id)
        addProcess (id, initial);
    nextId_ = options.memberCount + 1;
}

ClusterReport ClusterSimulation::run()
{
    proposeForever();
    operateForever();
    injectForever();
    after (options_.faultTime, [this] { healAll(); });
    const TimePoint end = now_ + options_.faultTime + options_.healTime;
    while (now_ < end && invariants_.violations().empty())
    {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    if (invariants_.violations().empty())
        checkLiveness();
    report_.violations = invariants_.violations();
    report_.digest = digest_;
    report_.seen.counts["committed entries"] += invariants_.committedIndex();
    return report_;
}

void ClusterSimulation::count (const std::string& what)
{
    ++report_.seen.counts[what];
    trace (what);
}

void ClusterSimulation::trace (const std::string& what)
{
    constexpr std::size_t kKeptEvents = 150;
    if (! options_.isTraced)
        return;
    const auto time = base::toMilliseconds (now_.time_since_epoch());
    report_.trace.push_back (std::to_string (time) + " ms " + what);
    if (report_.trace.size() > kKeptEvents)
        report_.trace.pop_front();
}

void ClusterSimulation::trace (const Process& process, const std::string& what)
{
    if (! options_.isTraced)
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
    events_.push ({ now_ + delay, ++eventCount_, std::move (action) });
}

void ClusterSimulation::onProcess (MemberId id, Duration delay,
                                   std::function<void (Process&)> action)
{
    const std::uint64_t incarnation = processes_.at (id).incarnation;
    after (delay,
           [this, id, incarnation, action = std::move (action)]
           {
               Process& process = processes_.at (id);
               if (! process.node || process.incarnation != incarnation)
                   return;
               if (! process.isFrozen)
               {
                   action (process);
                   return;
               }
               process.whileFrozen.push_back ([action, &process] { action (process); });
           });
}

TimePoint ClusterSimulation::clockOf (const Process& process) const
{
    const auto elapsed = static_cast<double> ((now_ - process.trueBase).count());
    return process.clockBase
           + microseconds (static_cast<std::int64_t> (elapsed * process.clockRate));
}

void ClusterSimulation::setClockRate (Process& process, double rate)
{
    process.clockBase = clockOf (process);
    process.trueBase = now_;
    process.clockRate = rate;
}

void ClusterSimulation::addProcess (MemberId id, MemberSet initialMembers)
{
    Process& process = processes_[id];
    process.id = id;
    process.initialMembers = std::move (initialMembers);
    process.trueBase = now_;
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
    process.node = std::make_unique<RaftNode> (process.id, raftOptions_,
                                               process.disk.recover (process.initialMembers),
                                               random_.bits(), clockOf (process));
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
    process.whileFrozen.clear();
    process.proposals.clear();
    const auto unsynced = static_cast<std::int64_t> (process.disk.unsyncedCount());
    if (unsynced > 0)
        count ("crashes with unsynced writes");
    process.disk.crash (static_cast<std::size_t> (random_.uniformInteger (0, unsynced)));
}

void ClusterSimulation::restartAfter (MemberId id, Duration delay)
{
    after (delay,
           [this, id]
           {
               Process& process = processes_.at (id);
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
            invariants_.onSent (message, process.disk.synced());
            transmit (message);
        }
        if (output.installedSnapshot)
        {
            invariants_.onInstalled (process.id, *output.installedSnapshot);
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
    invariants_.onWritten (process.id, request, process.disk.written());
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
        process.syncTime / 2 + Duration (random_.uniformInteger (0, process.syncTime.count()));
    after (time,
           [this, id = process.id, sequence, incarnation]
           {
               Process& synced = processes_.at (id);
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
        invariants_.fail ("state-machine safety", process.id,
                          "applies entry " + std::to_string (entry.index) + " out of order");
    }
    process.state.apply (entry);
    const Term term = process.node->status (clockOf (process)).term;
    invariants_.onApplied (process.id, term, process.state, entry);
    digest_ = base::stableHash (std::to_string (digest_ ^ process.state.digest ^ process.id));
    const auto proposal = process.proposals.find (entry.index);
    if (proposal == process.proposals.end())
        return;
    if (proposal->second == entry.term)
    {
        invariants_.onAcknowledged (entry.index);
        count ("commands acknowledged");
    }
    process.proposals.erase (proposal);
}

void ClusterSimulation::compactIfDue (Process& process)
{
    const LogIndex covered = process.disk.written().snapshot.lastIndex;
    if (process.state.lastIndex < covered + entriesBetweenSnapshots_)
        return;
    process.node->compact (process.state.lastIndex, process.state.encode (process.id));
    count ("compactions");
}

void ClusterSimulation::observe (Process& process)
{
    const RaftStatus status = process.node->status (clockOf (process));
    invariants_.onCommit (process.id, status, process.commitIndex, process.disk.written());
    process.commitIndex = status.commitIndex;
    const bool isCampaign = status.role == Role::kPreCandidate && process.role != status.role;
    if (process.role != status.role && status.role == Role::kLeader)
        trace (process, "leads");
    process.role = status.role;
    if (isCampaign && ! isHealing_ && random_.chance (0.5))
        isolateLeaderOf (process);
    if (status.role != Role::kLeader)
        return;
    invariants_.onLeader (process.id, status.term, process.disk.written());
}

void ClusterSimulation::transmit (const Message& message)
{
    if (! processes_.contains (message.to) || cuts_.contains ({ message.from, message.to }))
        return;
    if (random_.chance (dropChance_))
        return;
    deliver (message, Duration (random_.uniformInteger (200, 4000)));
    if (random_.chance (lateChance_))
    {
        count ("messages repeated late");
        deliver (message, randomDuration (50, 3000));
    }
    if (random_.chance (duplicateChance_))
        deliver (message, randomDuration (1, 30));
}

void ClusterSimulation::deliver (const Message& message, Duration delay)
{
    after (delay,
           [this, message]
           {
               Process& process = processes_.at (message.to);
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
    return microseconds (random_.uniformInteger (lowMilliseconds * 1000, highMilliseconds * 1000));
}

double ClusterSimulation::randomClockRate()
{
    /// Clocks run this much slow or fast at most: a ratio of 1.22 between two of them.
    constexpr double kMaximumDrift = 0.1;
    return 1.0 + kMaximumDrift * (2 * random_.uniformReal() - 1);
}

std::string replayHint (const ClusterOptions& options)
{
    return "replay: FERNLIFT_CLUSTER_SEED=" + std::to_string (options.seed)
           + " FERNLIFT_CLUSTER_MEMBERS=" + std::to_string (options.memberCount)
           + " FERNLIFT_CLUSTER_FAULT=" + std::to_string (static_cast<int> (options.fault))
           + " consensus_test --gtest_filter=ClusterSweep.replaysOneSeed";
}

}  // namespace fernlift::consensus
