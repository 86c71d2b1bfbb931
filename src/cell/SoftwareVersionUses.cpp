#include "cell/SoftwareVersionUses.h"

#include <algorithm>

namespace fernlift::cell
{

void SoftwareVersionUses::add (const std::string& service, const std::string& version)
{
    if (! version.empty())
        ++m_services[service][version].runners;
}

void SoftwareVersionUses::remove (const std::string& service, const std::string& version, Time at)
{
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return;
    const auto use = versions->second.find (version);
    if (use == versions->second.end() || use->second.runners == 0)
        return;
    if (--use->second.runners > 0)
        return;
    use->second.lastListedAt = at;
    limitDeparted();
}

void SoftwareVersionUses::addDeparted (const DepartedSoftwareVersion& departed)
{
    if (departed.version.empty())
        return;
    Use& use = m_services[departed.service][departed.version];
    if (use.runners > 0)
        return;
    use.lastListedAt = std::max (use.lastListedAt, departed.lastListedAt);
    limitDeparted();
}

bool SoftwareVersionUses::isListed (const std::string& service, const std::string& version) const
{
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return false;
    const auto use = versions->second.find (version);
    return use != versions->second.end() && use->second.runners > 0;
}

std::vector<std::string> SoftwareVersionUses::versionsSince (const std::string& service,
                                                             Time since) const
{
    std::vector<std::string> found;
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return found;
    for (const auto& [version, use] : versions->second)
    {
        if (use.runners > 0 || use.lastListedAt >= since)
            found.push_back (version);
    }
    return found;
}

std::vector<DepartedSoftwareVersion> SoftwareVersionUses::departed() const
{
    std::vector<DepartedSoftwareVersion> departed;
    for (const auto& [service, versions] : m_services)
    {
        for (const auto& [version, use] : versions)
        {
            if (use.runners == 0)
                departed.push_back ({ service, version, use.lastListedAt });
        }
    }
    return departed;
}

void SoftwareVersionUses::onGapUntil (Time time)
{
    m_completeSince = std::max (m_completeSince, time);
}

void SoftwareVersionUses::limitDeparted()
{
    std::size_t count = 0;
    Time earliest = kNeverComplete;
    std::map<std::string, Use>* versions = nullptr;  // Of the service of the earliest one.
    std::map<std::string, Use>::iterator first;
    for (auto& [service, uses] : m_services)
    {
        for (auto use = uses.begin(); use != uses.end(); ++use)
        {
            if (use->second.runners > 0)
                continue;
            ++count;
            if (use->second.lastListedAt >= earliest)
                continue;
            earliest = use->second.lastListedAt;
            versions = &uses;
            first = use;
        }
    }
    if (count <= kMaxDeparted)
        return;
    versions->erase (first);
    onGapUntil (earliest + 1);
}

}  // namespace fernlift::cell
