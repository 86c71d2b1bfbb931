#include "controller/InstanceLoadTable.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Known engines process 38 prompt tokens per millisecond, so this number takes about 3 ms and does
/// not affect routing.
constexpr std::uint64_t kNegligibleTokens = 100;
/// A slowdown that persists is sent again before receivers consider it expired.
constexpr base::Duration kSlowdownRepeatInterval = base::milliseconds (200);
/// Differences up to one part in this many of a slowdown do not affect routing.
constexpr std::uint32_t kNegligibleDivisor = 10;

std::uint64_t difference (std::uint64_t one, std::uint64_t other)
{
    return std::max (one, other) - std::min (one, other);
}

}  // namespace

void InstanceLoadTable::onReport (const cell::InstanceLoadReport& report, base::TimePoint now)
{
    m_lastUpdateAt = now;
    for (const cell::InstanceUse& use : report.uses)
    {
        Row& row = m_rows[use.instance];
        const bool isPrefillComplete =
            use.pendingPrefillTokens == 0 && row.pendingPrefillTokens != 0;
        const bool isChanged =
            use.inFlight != row.inFlight || isPrefillComplete
            || difference (use.pendingPrefillTokens, row.pendingPrefillTokens) > kNegligibleTokens;
        if (! isChanged)
            continue;
        row.inFlight = use.inFlight;
        row.pendingPrefillTokens = use.pendingPrefillTokens;
        markChanged (row);
    }
    for (const cell::InstanceSlowdown& slowdown : report.slowdowns)
    {
        setSlowdown (m_rows[slowdown.instance], slowdown.percent,
                     now - base::milliseconds (slowdown.ageMilliseconds));
    }
}

void InstanceLoadTable::setSlowdown (Row& row, std::uint32_t percent, base::TimePoint statedAt)
{
    if (statedAt < row.slowdownAt)
        return;
    row.slowdownAt = statedAt;
    const bool isNominal =
        difference (percent, cell::kNominalPercent) * kNegligibleDivisor <= cell::kNominalPercent;
    const bool isSignificant =
        isNominal != (row.slowdownPercent == cell::kNominalPercent)
        || difference (percent, row.slowdownPercent) * kNegligibleDivisor > row.slowdownPercent;
    const bool isRepeated = ! isNominal && statedAt - row.slowdownSentAt >= kSlowdownRepeatInterval;
    if (! isSignificant && ! isRepeated)
        return;
    row.slowdownPercent = isNominal ? cell::kNominalPercent : percent;
    row.slowdownSentAt = statedAt;
    markChanged (row);
}

void InstanceLoadTable::setSpeed (const std::string& instance, std::uint32_t percent)
{
    Row& row = m_rows[instance];
    if (row.speedPercent == percent)
        return;
    row.speedPercent = percent;
    markChanged (row);
}

void InstanceLoadTable::apply (const cell::InstanceLoadUpdate& update, base::TimePoint now)
{
    m_lastUpdateAt = now;
    std::map<std::string, Row> earlier;
    if (update.isWhole)
        std::swap (earlier, m_rows);
    for (const cell::InstanceLoad& load : update.loads)
    {
        Row& row = m_rows[load.instance];
        row.inFlight = load.inFlight;
        row.pendingPrefillTokens = load.pendingPrefillTokens;
        row.speedPercent = load.speedPercent;
        row.slowdownPercent = load.slowdownPercent;
        row.slowdownAt = now - base::milliseconds (load.slowdownAgeMilliseconds);
        markChanged (row);
    }
    for (const auto& [instance, row] : earlier)
    {
        if (! isNominal (row) && ! m_rows.contains (instance))
            markChanged (m_rows[instance]);
    }
}

void InstanceLoadTable::keepOnly (const std::function<bool (const std::string&)>& isKept)
{
    std::erase_if (m_rows, [&] (const auto& item) { return ! isKept (item.first); });
}

std::size_t InstanceLoadTable::rowsSince (std::uint64_t version) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_rows, [=] (const auto& item) { return item.second.changedAt > version; }));
}

cell::InstanceLoadUpdate InstanceLoadTable::updateSince (std::uint64_t version,
                                                         base::TimePoint now) const
{
    cell::InstanceLoadUpdate update;
    update.isWhole = version == 0;
    for (const auto& [instance, row] : m_rows)
    {
        if (row.changedAt > version && ! (update.isWhole && isNominal (row)))
            update.loads.push_back (toMessage (instance, row, now));
    }
    return update;
}

cell::InstanceLoad InstanceLoadTable::loadOf (const std::string& instance,
                                              base::TimePoint now) const
{
    const auto found = m_rows.find (instance);
    return toMessage (instance, found == m_rows.end() ? Row{} : found->second, now);
}

void InstanceLoadTable::visit (base::TimePoint now,
                               const std::function<void (const cell::InstanceLoad&)>& visit) const
{
    for (const auto& [instance, row] : m_rows)
        visit (toMessage (instance, row, now));
}

bool InstanceLoadTable::isNominal (const Row& row)
{
    return row.inFlight == 0 && row.pendingPrefillTokens == 0
           && row.speedPercent == cell::kNominalPercent
           && row.slowdownPercent == cell::kNominalPercent;
}

cell::InstanceLoad InstanceLoadTable::toMessage (const std::string& instance, const Row& row,
                                                 base::TimePoint now)
{
    cell::InstanceLoad load;
    load.instance = instance;
    load.inFlight = row.inFlight;
    load.pendingPrefillTokens = row.pendingPrefillTokens;
    load.speedPercent = row.speedPercent;
    load.slowdownPercent = row.slowdownPercent;
    load.slowdownAgeMilliseconds = base::toMilliseconds (now - row.slowdownAt);
    return load;
}

}  // namespace fernlift::controller
