#include "controller/HeartbeatBatch.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// The leader counts an instance as silent after 3.5 s without a heartbeat. Heartbeats usually
/// arrive every 1.2 s, so this delay leaves a wide margin.
constexpr base::Duration kInterval = base::milliseconds (300);
/// Changes of many runners within this time are sent together. Without this delay the leader gets
/// one message for each first heartbeat while a cell of 3,000 runners forms.
constexpr base::Duration kUrgentInterval = base::milliseconds (25);
/// Unchanged held models are sent again after this time, in case the leader has other data.
constexpr base::Duration kRepeatInterval = base::milliseconds (2500);
/// With many runners at this controller, the mean repeat interval is this time for each of them, so
/// that the leader reads about 30 repeats per second from each controller in a cell of any size.
/// Repeats for 3,000 runners every 2.5 s take 0.01 of a core, out of 0.15 available to the leader.
constexpr base::Duration kRepeatIntervalPerRunner = base::milliseconds (30);
constexpr std::int64_t kSpreadParts = 16;
/// Held models sent less than this time ago may be missing from the log when the leader changes.
constexpr base::Duration kReplicationDelay = base::seconds (2);
/// Without heartbeats for this time, a runner was removed or is connected to another controller.
constexpr base::Duration kEntryLifetime = base::seconds (30);

bool hasSameModels (const cell::RelayedHeartbeat& left, const cell::RelayedHeartbeat& right)
{
    return left.models == right.models && left.inMemory == right.inMemory
           && left.onDisk == right.onDisk && left.startedAt == right.startedAt;
}

}  // namespace

/// Intervals differ between runners, so that held models that were all sent at once to a new leader
/// are not repeated all at once.
base::Duration HeartbeatBatch::repeatIntervalOf (const std::string& id) const
{
    const auto runners = static_cast<std::int64_t> (m_sent.size());
    const base::Duration mean =
        std::max<base::Duration> (kRepeatInterval, runners * kRepeatIntervalPerRunner);
    const auto part =
        static_cast<std::int64_t> (std::hash<std::string>{}(id) % std::size_t{ kSpreadParts });
    return kRepeatInterval + 2 * (mean - kRepeatInterval) * part / kSpreadParts;
}

bool HeartbeatBatch::isRepeatDue (const std::string& id, const SentModels& sent,
                                  base::TimePoint now)
{
    if (now - sent.at >= repeatIntervalOf (id))
        return true;
    return sent.leaderChange != m_leaderChanges
           && (now - sent.at < kReplicationDelay || m_repeats.take (now));
}

void HeartbeatBatch::add (const InstanceHeartbeat& heartbeat, bool isKnown, base::TimePoint now)
{
    const std::string& id = heartbeat.instance.id;
    cell::RelayedHeartbeat relayed;
    relayed.instance = id;
    relayed.sequence = heartbeat.sequence;
    relayed.startedAt = heartbeat.instance.startedAt;
    relayed.softwareVersion = heartbeat.softwareVersion;
    relayed.hasHeldModels = true;
    relayed.models = heartbeat.models;
    relayed.inMemory = heartbeat.inMemory;
    relayed.onDisk = heartbeat.onDisk;
    if (! isKnown)
        relayed.first = { heartbeat.instance };
    cell::RelayedHeartbeat& waiting = m_waiting[id];
    if (cell::isEarlierIncarnation (relayed.startedAt, waiting.startedAt))
        return;
    const bool isLater = cell::isEarlierIncarnation (waiting.startedAt, relayed.startedAt);
    if (waiting.sequence > relayed.sequence && ! isLater)
        return;
    const auto sent = m_sent.find (id);
    const bool isChange =
        ! isKnown || sent == m_sent.end() || ! hasSameModels (sent->second.relayed, relayed);
    if (isChange || isRepeatDue (id, sent->second, now))
    {
        m_sent[id] = { relayed, now, m_leaderChanges };
        m_isUrgent = m_isUrgent || isChange;
        waiting = std::move (relayed);
        return;
    }
    // Keeps held models that are still waiting to be sent.
    waiting.instance = id;
    waiting.sequence = relayed.sequence;
    waiting.startedAt = relayed.startedAt;
    waiting.softwareVersion = std::move (relayed.softwareVersion);
}

std::vector<cell::RelayedHeartbeat> HeartbeatBatch::takeDue (base::TimePoint now)
{
    std::vector<cell::RelayedHeartbeat> due;
    const base::Duration interval = m_isUrgent ? kUrgentInterval : kInterval;
    if (m_waiting.empty() || now - m_sentAt < interval)
        return due;
    m_isUrgent = false;
    m_sentAt = now;
    std::erase_if (m_sent,
                   [&] (const auto& item) { return now - item.second.at > kEntryLifetime; });
    for (auto& [id, relayed] : std::exchange (m_waiting, {}))
        due.push_back (std::move (relayed));
    return due;
}

}  // namespace fernlift::controller
