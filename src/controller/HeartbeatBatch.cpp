#include "controller/HeartbeatBatch.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// A sixth of the silence after which the leader calls an instance silent (3.5 s), with the usual
/// interval of heartbeats (1.2 s) well within it.
constexpr base::Duration kInterval = base::milliseconds (300);
/// News of many runners within this time goes out together: while a cell of 3,000 runners formed,
/// the leader got a message for each first heartbeat.
constexpr base::Duration kUrgentInterval = base::milliseconds (25);
/// Holdings are told again after this time, should the leader believe something else.
constexpr base::Duration kRepeatAfter = base::milliseconds (2500);
/// The same where many runners call this controller: so much for each of them, so that the leader
/// reads some 30 repeats a second from each controller however large the cell. Repeats for 3,000
/// runners each 2.5 s took it a hundredth of a core, of the 0.15 that it has.
constexpr base::Duration kRepeatIntervalForRunner = base::milliseconds (30);
constexpr std::int64_t kSpreadParts = 16;
/// What was told this long ago may not be in the log when the leader changes.
constexpr base::Duration kNotedAfter = base::seconds (2);
/// A runner that was not heard for this long has gone, or calls another controller.
constexpr base::Duration kForgetAfter = base::seconds (30);

bool isSameHoldings (const cell::InstanceSighting& left, const cell::InstanceSighting& right)
{
    return left.models == right.models && left.inMemory == right.inMemory
           && left.onDisk == right.onDisk && left.startedAt == right.startedAt;
}

}  // namespace

/// Other than those of other runners, so that what was told of all at once, to a new leader, is not
/// repeated at once.
base::Duration HeartbeatBatch::repeatAfter (const std::string& id) const
{
    const auto runners = static_cast<std::int64_t> (m_told.size());
    const base::Duration mean =
        std::max<base::Duration> (kRepeatAfter, runners * kRepeatIntervalForRunner);
    const auto part =
        static_cast<std::int64_t> (std::hash<std::string>{}(id) % std::size_t{ kSpreadParts });
    return kRepeatAfter + 2 * (mean - kRepeatAfter) * part / kSpreadParts;
}

bool HeartbeatBatch::isRepeatDue (const std::string& id, const Told& told, base::TimePoint now)
{
    if (now - told.at >= repeatAfter (id))
        return true;
    return told.leader != m_leaders && (now - told.at < kNotedAfter || m_repeats.take (now));
}

void HeartbeatBatch::add (const InstanceHeartbeat& heartbeat, bool isKnown, base::TimePoint now)
{
    const std::string& id = heartbeat.instance.id;
    cell::InstanceSighting sighting;
    sighting.instance = id;
    sighting.sequence = heartbeat.sequence;
    sighting.startedAt = heartbeat.instance.startedAt;
    sighting.hasHoldings = true;
    sighting.models = heartbeat.models;
    sighting.inMemory = heartbeat.inMemory;
    sighting.onDisk = heartbeat.onDisk;
    if (! isKnown)
        sighting.first = { heartbeat.instance };
    cell::InstanceSighting& waiting = m_waiting[id];
    if (cell::isEarlierIncarnation (sighting.startedAt, waiting.startedAt))
        return;
    const bool isLater = cell::isEarlierIncarnation (waiting.startedAt, sighting.startedAt);
    if (waiting.sequence > sighting.sequence && ! isLater)
        return;
    const auto told = m_told.find (id);
    const bool isNews =
        ! isKnown || told == m_told.end() || ! isSameHoldings (told->second.sighting, sighting);
    if (isNews || isRepeatDue (id, told->second, now))
    {
        m_told[id] = { sighting, now, m_leaders };
        m_isUrgent = m_isUrgent || isNews;
        waiting = std::move (sighting);
        return;
    }
    // Holdings that still wait to be told stay.
    waiting.instance = id;
    waiting.sequence = sighting.sequence;
    waiting.startedAt = sighting.startedAt;
}

std::vector<cell::InstanceSighting> HeartbeatBatch::takeDue (base::TimePoint now)
{
    std::vector<cell::InstanceSighting> due;
    const base::Duration interval = m_isUrgent ? kUrgentInterval : kInterval;
    if (m_waiting.empty() || now - m_sentAt < interval)
        return due;
    m_isUrgent = false;
    m_sentAt = now;
    std::erase_if (m_told, [&] (const auto& item) { return now - item.second.at > kForgetAfter; });
    for (auto& [id, sighting] : std::exchange (m_waiting, {}))
        due.push_back (std::move (sighting));
    return due;
}

}  // namespace fernlift::controller
