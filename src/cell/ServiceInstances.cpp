#include "cell/ServiceInstances.h"

#include <algorithm>

namespace fernlift::cell
{

bool ServiceInstances::isDeregistered (const std::string& id) const
{
    return std::ranges::any_of (m_deregistered,
                                [&] (const auto& item) { return item.second == id; });
}

bool ServiceInstances::add (const ServiceInstance& instance)
{
    if (isDeregistered (instance.id))
        return false;
    return m_instances.emplace (instance.id, instance).second;
}

bool ServiceInstances::drain (const std::string& id)
{
    const auto found = m_instances.find (id);
    if (found == m_instances.end() || found->second.isDraining)
        return false;
    found->second.isDraining = true;
    return true;
}

bool ServiceInstances::noteModels (const std::string& id, const std::vector<HeldModel>& models)
{
    const auto found = m_instances.find (id);
    if (found == m_instances.end())
        return false;
    ServiceInstance& instance = found->second;
    if (instance.isReported && instance.models == models)
        return false;
    instance.isReported = true;
    instance.models = models;
    return true;
}

bool ServiceInstances::remove (const std::string& id, bool isDeregistered)
{
    const bool wasKnown = m_instances.erase (id) != 0;
    if (! isDeregistered || this->isDeregistered (id))
        return wasKnown;
    const std::uint64_t next = m_deregistered.empty() ? 1 : m_deregistered.rbegin()->first + 1;
    m_deregistered.emplace (next, id);
    if (m_deregistered.size() > kRememberedDeregistrations)
        m_deregistered.erase (m_deregistered.begin());
    return wasKnown;
}

const ServiceInstance* ServiceInstances::find (const std::string& id) const
{
    const auto found = m_instances.find (id);
    return found == m_instances.end() ? nullptr : &found->second;
}

}  // namespace fernlift::cell
