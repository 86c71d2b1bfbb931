#include "controller/ConfigurationRollout.h"

namespace fernlift::controller
{
namespace
{

/// A healthy router confirms within tens of milliseconds; half of the shortest time in which the
/// platforms known want a change in force (2 s) leaves an operator time to look.
constexpr base::Duration kLateAfter = base::seconds (1);

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
        if (age < kLateAfter || open.version <= m_toldLate)
            continue;
        late.emplace();
        late->version = open.version;
        late->sinceCommit = age;
    }
    if (late)
        m_toldLate = late->version;
    return late;
}

}  // namespace fernlift::controller
