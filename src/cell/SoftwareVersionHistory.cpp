#include "cell/SoftwareVersionHistory.h"

#include <algorithm>
#include <utility>

namespace fernlift::cell
{

SoftwareVersionHistory SoftwareVersionHistory::ofNewCell()
{
    SoftwareVersionHistory history;
    history.beginAt (0);
    return history;
}

void SoftwareVersionHistory::record (const ServiceInstance& instance, const std::string& version,
                                     base::UnixMilliseconds at)
{
    Runner& runner = m_runners[instance.id];
    const Runner earlier = runner;
    runner = { instance.service, version };
    m_uses.add (runner.service, runner.version);
    m_uses.remove (earlier.service, earlier.version, at);
}

void SoftwareVersionHistory::recordUnknown (const std::string& instance, base::UnixMilliseconds at)
{
    remove (instance, at);
    m_uses.onGapUntil (at);
}

void SoftwareVersionHistory::remove (const std::string& instance, base::UnixMilliseconds at)
{
    const auto found = m_runners.find (instance);
    if (found == m_runners.end())
    {
        // The runner had a version that is not in the record.
        m_uses.onGapUntil (at);
        return;
    }
    m_uses.remove (found->second.service, found->second.version, at);
    m_runners.erase (found);
}

SoftwareHistory SoftwareVersionHistory::statedAt (base::UnixMilliseconds now) const
{
    SoftwareHistory history;
    history.knownMilliseconds = completeSince() == 0
                                    ? SoftwareHistory::kWholePast
                                    : std::max<std::int64_t> (now - completeSince(), 0);
    for (DepartedSoftwareVersion& version : departed())
    {
        history.departed.push_back ({ std::move (version.service), std::move (version.version),
                                      std::max<std::int64_t> (now - version.lastListedAt, 0) });
    }
    return history;
}

const std::string* SoftwareVersionHistory::versionOf (const std::string& instance) const
{
    const auto found = m_runners.find (instance);
    return found == m_runners.end() ? nullptr : &found->second.version;
}

}  // namespace fernlift::cell
