// The faults that a simulated cluster is put through.

#include <algorithm>
#include <array>
#include <iterator>

#include "consensus/ClusterSimulation.h"

namespace fernlift::consensus
{
namespace
{

using base::Duration;
using base::milliseconds;

constexpr double kMeanFaultMilliseconds = 300;

}  // namespace

void ClusterSimulation::injectForever()
{
    const auto wait =
        static_cast<std::int64_t> (random_.exponential (kMeanFaultMilliseconds) * 1000);
    after (Duration (wait),
           [this]
           {
               if (isHealing_)
                   return;
               injectFault();
               injectForever();
           });
}

void ClusterSimulation::injectFault()
{
    using Fault = void (ClusterSimulation::*)();
    constexpr std::array<Fault, 17> kFaults{
        &ClusterSimulation::cutRandomly,    &ClusterSimulation::cutRandomly,
        &ClusterSimulation::cutRandomly,    &ClusterSimulation::freezeRandomly,
        &ClusterSimulation::crashRandomly,  &ClusterSimulation::crashRandomly,
        &ClusterSimulation::crashRandomly,  &ClusterSimulation::powerLoss,
        &ClusterSimulation::slowDisk,       &ClusterSimulation::loseDisk,
        &ClusterSimulation::changeMembers,  &ClusterSimulation::transferLeadership,
        &ClusterSimulation::disturbNetwork, &ClusterSimulation::disturbNetwork,
        &ClusterSimulation::deafenFollower, &ClusterSimulation::deafenFollower,
        &ClusterSimulation::failDisk
    };
    const auto chosen = random_.uniformInteger (0, static_cast<std::int64_t> (kFaults.size()) - 1);
    (this->*kFaults[static_cast<std::size_t> (chosen)])();
}

void ClusterSimulation::cutRandomly()
{
    const Process* leader = findLeader();
    const Process* process = leader != nullptr && random_.chance (0.5) ? leader : randomProcess();
    if (process == nullptr)
        return;
    if (random_.chance (0.5))
        quietUntil_ = now_ + randomDuration (300, 900);
    if (random_.chance (0.4))
    {
        isolateWithMinority (process->id);
        return;
    }
    const bool cutsOut = random_.chance (0.6);
    const bool cutsIn = ! cutsOut || random_.chance (0.4);
    const bool isOnePeer = random_.chance (0.4);
    const MemberId peer = isOnePeer ? randomProcess()->id : 0;
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [id, other] : processes_)
    {
        if (id == process->id || (isOnePeer && id != peer))
            continue;
        if (cutsOut)
            cuts.insert ({ process->id, id });
        if (cutsIn)
            cuts.insert ({ id, process->id });
    }
    count (cutsOut && cutsIn ? "cuts two ways" : "cuts one way");
    cuts_.insert (cuts.begin(), cuts.end());
    after (randomDuration (50, 2500),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   cuts_.erase (cut);
           });
}

/// Parts the member and a few others from the rest.
void ClusterSimulation::isolateWithMinority (MemberId member)
{
    std::set<MemberId> side{ member };
    for (const auto& [id, other] : processes_)
    {
        if (random_.chance (0.25))
            side.insert (id);
    }
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [from, sender] : processes_)
    {
        for (const auto& [to, receiver] : processes_)
        {
            if (side.contains (from) != side.contains (to))
                cuts.insert ({ from, to });
        }
    }
    count ("partitions");
    cuts_.insert (cuts.begin(), cuts.end());
    after (randomDuration (300, 2500),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   cuts_.erase (cut);
           });
}

void ClusterSimulation::isolateLeaderOf (const Process& campaigner)
{
    const Process* leader = findLeader();
    if (leader == nullptr || leader->id == campaigner.id)
        return;
    count ("leaders cut off during a campaign");
    quietUntil_ = now_;
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [id, other] : processes_)
    {
        cuts.insert ({ id, leader->id });
        cuts.insert ({ leader->id, id });
    }
    cuts_.insert (cuts.begin(), cuts.end());
    after (randomDuration (100, 1000),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   cuts_.erase (cut);
           });
}

void ClusterSimulation::deafenFollower()
{
    const Process* leader = findLeader();
    const Process* follower = randomProcess();
    if (leader == nullptr || leader->id == follower->id)
        return;
    count ("followers deaf to the leader");
    const std::pair cut (leader->id, follower->id);
    cuts_.insert (cut);
    quietUntil_ = now_ + randomDuration (600, 900);
    after (randomDuration (500, 900), [this, cut] { cuts_.erase (cut); });
}

void ClusterSimulation::freezeRandomly()
{
    Process* process = randomProcess();
    if (process == nullptr || process->isFrozen)
        return;
    count ("freezes");
    process->isFrozen = true;
    const std::uint64_t incarnation = process->incarnation;
    after (randomDuration (20, 3000),
           [this, id = process->id, incarnation]
           {
               Process& thawed = processes_.at (id);
               if (! thawed.node || thawed.incarnation != incarnation)
                   return;
               thawed.isFrozen = false;
               const auto waiting = std::exchange (thawed.whileFrozen, {});
               for (const auto& action : waiting)
               {
                   if (thawed.node)
                       action();
               }
           });
}

void ClusterSimulation::crashRandomly()
{
    Process* process = random_.chance (0.5) ? findLeader() : randomProcess();
    if (process == nullptr)
        return;
    count ("crashes");
    crash (*process);
    restartAfter (process->id, randomDuration (1, 1500));
}

void ClusterSimulation::powerLoss()
{
    count ("power losses");
    for (auto& [id, process] : processes_)
    {
        crash (process);
        restartAfter (id, randomDuration (1, 800));
    }
}

void ClusterSimulation::slowDisk()
{
    Process* process = randomProcess();
    if (process == nullptr)
        return;
    count ("slow disks");
    process->syncTime = randomDuration (20, 400);
    after (randomDuration (200, 2000),
           [this, id = process->id] { processes_.at (id).syncTime = milliseconds (1); });
}

/// A write fails; the member stays up, silent, until it is restarted with a disk that works.
void ClusterSimulation::failDisk()
{
    Process* process = randomProcess();
    if (process == nullptr)
        return;
    count ("disks that failed");
    process->hasDiskFailed = true;
    process->node->onStorageFailed();
    drain (*process);
    after (randomDuration (50, 1500),
           [this, id = process->id, incarnation = process->incarnation]
           {
               Process& failed = processes_.at (id);
               if (failed.incarnation == incarnation)
                   crash (failed);
               if (! failed.node && ! failed.isDiskLost)
                   start (failed);
           });
}

/// A disk is lost for good; the operator replaces the member by a new identity. Only while all
/// other voters have their disks: what two losses at once destroy cannot be had back.
void ClusterSimulation::loseDisk()
{
    if (! isReconfigured_)
        return;
    if (isLossDue_)
        count ("second disks lost right after a replacement");
    isLossDue_ = ! isLossDue_ && random_.chance (0.7);
    const auto chosen = random_.uniformInteger (0, static_cast<std::int64_t> (desired_.size()) - 1);
    const MemberId id = *std::next (desired_.begin(), chosen);
    count ("disks lost");
    Process& process = processes_.at (id);
    trace (process, "loses its disk");
    crash (process);
    process.disk = SimulatedDisk();
    if (options_.fault == PlantedFault::kIdentityReusedAfterDiskLoss)
    {
        process.initialMembers = {};
        restartAfter (id, randomDuration (1, 300));
        return;
    }
    process.isDiskLost = true;
    isReconfigured_ = false;
    desired_.erase (id);
    desired_.insert (nextId_);
    addProcess (nextId_++, {});
}

/// The operator grows or shrinks the quorum by two, so that two changes follow each other.
void ClusterSimulation::changeMembers()
{
    if (! isReconfigured_)
        return;
    constexpr std::size_t kSmall = 3;
    isReconfigured_ = false;
    if (desired_.size() > kSmall)
    {
        while (desired_.size() > kSmall)
        {
            const auto last = static_cast<std::int64_t> (desired_.size()) - 1;
            desired_.erase (std::next (desired_.begin(), random_.uniformInteger (0, last)));
        }
        return;
    }
    for (int added = 0; added < 2; ++added)
    {
        desired_.insert (nextId_);
        addProcess (nextId_++, {});
    }
}

void ClusterSimulation::transferLeadership()
{
    Process* leader = findLeader();
    if (leader == nullptr)
        return;
    count ("leadership transfers");
    base::handleErrors ([&]() -> base::Result<void>
                        { return leader->node->transferLeadership (clockOf (*leader)); },
                        [] (const base::Error&) {});
    drain (*leader);
}

void ClusterSimulation::disturbNetwork()
{
    count ("network disturbances");
    dropChance_ = random_.chance (0.5) ? 0.2 * random_.uniformReal() : 0;
    duplicateChance_ = random_.chance (0.5) ? 0.2 * random_.uniformReal() : 0;
    lateChance_ = random_.chance (0.5) ? 0.1 * random_.uniformReal() : 0;
    for (auto& [id, process] : processes_)
    {
        if (process.node)
            setClockRate (process, randomClockRate());
    }
}

void ClusterSimulation::healAll()
{
    isHealing_ = true;
    cuts_.clear();
    dropChance_ = 0;
    duplicateChance_ = 0;
    lateChance_ = 0;
    for (auto& [id, process] : processes_)
        process.syncTime = milliseconds (1);
}

}  // namespace fernlift::consensus
