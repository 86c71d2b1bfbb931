#include "proxy/SoftwareVersions.h"

namespace fernlift::proxy
{

void SoftwareVersions::add (const std::string& service, const std::string& version)
{
    if (! version.empty())
        ++m_services[service][version].runners;
}

void SoftwareVersions::remove (const std::string& service, const std::string& version,
                               base::TimePoint now)
{
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return;
    const auto use = versions->second.find (version);
    if (use == versions->second.end() || use->second.runners == 0)
        return;
    if (--use->second.runners == 0)
        use->second.lastListedAt = now;
    std::erase_if (versions->second,
                   [&] (const auto& item)
                   {
                       const Use& other = item.second;
                       return other.runners == 0 && now - other.lastListedAt > kMaxAge;
                   });
}

bool SoftwareVersions::isListed (const std::string& service, const std::string& version) const
{
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return false;
    const auto use = versions->second.find (version);
    return use != versions->second.end() && use->second.runners > 0;
}

std::optional<std::string> SoftwareVersions::onlySince (const std::string& service,
                                                        base::TimePoint since) const
{
    std::string only;
    const auto versions = m_services.find (service);
    if (versions == m_services.end())
        return only;
    for (const auto& [version, use] : versions->second)
    {
        const bool wasListed = use.runners > 0 || use.lastListedAt >= since;
        if (! wasListed)
            continue;
        if (! only.empty())
            return std::nullopt;
        only = version;
    }
    return only;
}

}  // namespace fernlift::proxy
