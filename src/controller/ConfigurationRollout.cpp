#include "controller/ConfigurationRollout.h"

namespace fernlift::controller
{
namespace
{

/// Time after which an open version is late. A healthy router confirms within tens of milliseconds;
/// half of the shortest time that the known platforms allow for a change (2 s) leaves an operator
/// time to react.
constexpr base::Duration kLateThreshold = base::seconds (1);

}  // namespace

void ConfigurationRollout::onCommitted (std::uint64_t version, base::TimePoint now)
{
    if (m_open.empty() || m_open.back().version < version)
        m_open.push_back ({ version, now });
}

std::optional<ConfigurationConfirmed> ConfigurationRollout::onConfirmed (std::uint64_t version,
                                                                         base::TimePoint now)
{
    std::optional<ConfigurationConfirmed> confirmed;
    while (! m_open.empty() && m_open.front().version <= version)
    {
        m_lastDuration = now - m_open.front().committedAt;
        confirmed = { m_open.front().version, 0, m_lastDuration };
        m_open.pop_front();
    }
    return confirmed;
}

std::optional<ConfigurationLate> ConfigurationRollout::takeLate (base::TimePoint now)
{
    std::optional<ConfigurationLate> late;
    for (const Open& open : m_open)
    {
        const base::Duration age = now - open.committedAt;
        if (age < kLateThreshold || open.version <= m_lastLate)
            continue;
        late.emplace();
        late->version = open.version;
        late->sinceCommit = age;
    }
    if (late)
        m_lastLate = late->version;
    return late;
}

}  // namespace fernlift::controller
