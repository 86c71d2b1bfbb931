// Faults that ClusterSimulation injects into a simulated cluster.

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
        static_cast<std::int64_t> (m_random.exponential (kMeanFaultMilliseconds) * 1000);
    after (Duration (wait),
           [this]
           {
               if (m_isHealing)
                   return;
               injectFault();
               injectForever();
           });
}

void ClusterSimulation::injectFault()
{
    using Fault = void (ClusterSimulation::*)();
    constexpr std::array<Fault, 17> kFaults{ &ClusterSimulation::cutRandomly,
                                             &ClusterSimulation::cutRandomly,
                                             &ClusterSimulation::cutRandomly,
                                             &ClusterSimulation::freezeRandomly,
                                             &ClusterSimulation::crashRandomly,
                                             &ClusterSimulation::crashRandomly,
                                             &ClusterSimulation::crashRandomly,
                                             &ClusterSimulation::powerLoss,
                                             &ClusterSimulation::slowDisk,
                                             &ClusterSimulation::loseDisk,
                                             &ClusterSimulation::changeMembers,
                                             &ClusterSimulation::transferLeadership,
                                             &ClusterSimulation::disturbNetwork,
                                             &ClusterSimulation::disturbNetwork,
                                             &ClusterSimulation::blockLeaderToFollower,
                                             &ClusterSimulation::blockLeaderToFollower,
                                             &ClusterSimulation::failDisk };
    const auto chosen = m_random.uniformInteger (0, static_cast<std::int64_t> (kFaults.size()) - 1);
    (this->*kFaults[static_cast<std::size_t> (chosen)])();
}

void ClusterSimulation::cutRandomly()
{
    const Process* leader = findLeader();
    const Process* process = leader != nullptr && m_random.chance (0.5) ? leader : randomProcess();
    if (process == nullptr)
        return;
    if (m_random.chance (0.5))
        m_proposalsPausedUntil = m_now + randomDuration (300, 900);
    if (m_random.chance (0.4))
    {
        isolateWithMinority (process->id);
        return;
    }
    const bool cutsOut = m_random.chance (0.6);
    const bool cutsIn = ! cutsOut || m_random.chance (0.4);
    const bool isOnePeer = m_random.chance (0.4);
    const MemberId peer = isOnePeer ? randomProcess()->id : 0;
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [id, other] : m_processes)
    {
        if (id == process->id || (isOnePeer && id != peer))
            continue;
        if (cutsOut)
            cuts.insert ({ process->id, id });
        if (cutsIn)
            cuts.insert ({ id, process->id });
    }
    count (cutsOut && cutsIn ? "cuts two ways" : "cuts one way");
    m_cuts.insert (cuts.begin(), cuts.end());
    after (randomDuration (50, 2500),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   m_cuts.erase (cut);
           });
}

/// Partitions the member and a random few others from the rest.
void ClusterSimulation::isolateWithMinority (MemberId member)
{
    std::set<MemberId> side{ member };
    for (const auto& [id, other] : m_processes)
    {
        if (m_random.chance (0.25))
            side.insert (id);
    }
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [from, sender] : m_processes)
    {
        for (const auto& [to, receiver] : m_processes)
        {
            if (side.contains (from) != side.contains (to))
                cuts.insert ({ from, to });
        }
    }
    count ("partitions");
    m_cuts.insert (cuts.begin(), cuts.end());
    after (randomDuration (300, 2500),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   m_cuts.erase (cut);
           });
}

void ClusterSimulation::isolateLeaderDuringCampaign (const Process& campaigner)
{
    const Process* leader = findLeader();
    if (leader == nullptr || leader->id == campaigner.id)
        return;
    count ("leaders cut off during a campaign");
    m_proposalsPausedUntil = m_now;
    std::set<std::pair<MemberId, MemberId>> cuts;
    for (const auto& [id, other] : m_processes)
    {
        cuts.insert ({ id, leader->id });
        cuts.insert ({ leader->id, id });
    }
    m_cuts.insert (cuts.begin(), cuts.end());
    after (randomDuration (100, 1000),
           [this, cuts]
           {
               for (const auto& cut : cuts)
                   m_cuts.erase (cut);
           });
}

void ClusterSimulation::blockLeaderToFollower()
{
    const Process* leader = findLeader();
    const Process* follower = randomProcess();
    if (leader == nullptr || leader->id == follower->id)
        return;
    count ("followers deaf to the leader");
    const std::pair cut (leader->id, follower->id);
    m_cuts.insert (cut);
    m_proposalsPausedUntil = m_now + randomDuration (600, 900);
    after (randomDuration (500, 900), [this, cut] { m_cuts.erase (cut); });
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
               Process& thawed = m_processes.at (id);
               if (! thawed.node || thawed.incarnation != incarnation)
                   return;
               thawed.isFrozen = false;
               const auto waiting = std::exchange (thawed.deferredActions, {});
               for (const auto& action : waiting)
               {
                   if (thawed.node)
                       action();
               }
           });
}

void ClusterSimulation::crashRandomly()
{
    Process* process = m_random.chance (0.5) ? findLeader() : randomProcess();
    if (process == nullptr)
        return;
    count ("crashes");
    crash (*process);
    restartAfter (process->id, randomDuration (1, 1500));
}

void ClusterSimulation::powerLoss()
{
    count ("power losses");
    for (auto& [id, process] : m_processes)
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
           [this, id = process->id] { m_processes.at (id).syncTime = milliseconds (1); });
}

/// Fails a disk write. The process stays up but sends nothing until it is restarted with a working
/// disk.
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
               Process& failed = m_processes.at (id);
               if (failed.incarnation == incarnation)
                   crash (failed);
               if (! failed.node && ! failed.isDiskLost)
                   start (failed);
           });
}

/// Loses a disk permanently; the operator replaces the member by one with a new identity. Happens
/// only while all other voters have their disks, as two losses at once may destroy committed
/// entries.
void ClusterSimulation::loseDisk()
{
    if (! m_isReconfigured)
        return;
    if (m_isLossDue)
        count ("second disks lost right after a replacement");
    m_isLossDue = ! m_isLossDue && m_random.chance (0.7);
    const auto chosen =
        m_random.uniformInteger (0, static_cast<std::int64_t> (m_desired.size()) - 1);
    const MemberId id = *std::next (m_desired.begin(), chosen);
    count ("disks lost");
    Process& process = m_processes.at (id);
    trace (process, "loses its disk");
    crash (process);
    process.disk = SimulatedDisk();
    if (m_options.fault == PlantedFault::kIdentityReusedAfterDiskLoss)
    {
        process.initialMembers = {};
        restartAfter (id, randomDuration (1, 300));
        return;
    }
    process.isDiskLost = true;
    m_isReconfigured = false;
    m_desired.erase (id);
    m_desired.insert (m_nextId);
    addProcess (m_nextId++, {});
}

/// Makes the operator add two voters or, with more than three, remove voters until three are left,
/// so that membership changes follow each other.
void ClusterSimulation::changeMembers()
{
    if (! m_isReconfigured)
        return;
    constexpr std::size_t kSmall = 3;
    m_isReconfigured = false;
    if (m_desired.size() > kSmall)
    {
        while (m_desired.size() > kSmall)
        {
            const auto last = static_cast<std::int64_t> (m_desired.size()) - 1;
            m_desired.erase (std::next (m_desired.begin(), m_random.uniformInteger (0, last)));
        }
        return;
    }
    for (int added = 0; added < 2; ++added)
    {
        m_desired.insert (m_nextId);
        addProcess (m_nextId++, {});
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
    m_dropChance = m_random.chance (0.5) ? 0.2 * m_random.uniformReal() : 0;
    m_duplicateChance = m_random.chance (0.5) ? 0.2 * m_random.uniformReal() : 0;
    m_lateChance = m_random.chance (0.5) ? 0.1 * m_random.uniformReal() : 0;
    for (auto& [id, process] : m_processes)
    {
        if (process.node)
            setClockRate (process, randomClockRate());
    }
}

void ClusterSimulation::healAll()
{
    m_isHealing = true;
    m_cuts.clear();
    m_dropChance = 0;
    m_duplicateChance = 0;
    m_lateChance = 0;
    for (auto& [id, process] : m_processes)
        process.syncTime = milliseconds (1);
}

}  // namespace fernlift::consensus
