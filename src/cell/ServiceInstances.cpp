#include "cell/ServiceInstances.h"

#include <algorithm>

namespace fernlift::cell
{

bool ServiceInstances::isDeregistered (const std::string& id) const
{
    return std::ranges::any_of (deregistered_,
                                [&] (const auto& item) { return item.second == id; });
}

bool ServiceInstances::add (const ServiceInstance& instance)
{
    if (isDeregistered (instance.id))
        return false;
    return instances_.emplace (instance.id, instance).second;
}

bool ServiceInstances::drain (const std::string& id)
{
    const auto found = instances_.find (id);
    if (found == instances_.end() || found->second.isDraining)
        return false;
    found->second.isDraining = true;
    return true;
}

bool ServiceInstances::noteModels (const std::string& id, const std::vector<HeldModel>& models)
{
    const auto found = instances_.find (id);
    if (found == instances_.end())
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
    const bool wasKnown = instances_.erase (id) != 0;
    if (! isDeregistered || this->isDeregistered (id))
        return wasKnown;
    const std::uint64_t next = deregistered_.empty() ? 1 : deregistered_.rbegin()->first + 1;
    deregistered_.emplace (next, id);
    if (deregistered_.size() > kRememberedDeregistrations)
        deregistered_.erase (deregistered_.begin());
    return wasKnown;
}

const ServiceInstance* ServiceInstances::find (const std::string& id) const
{
    const auto found = instances_.find (id);
    return found == instances_.end() ? nullptr : &found->second;
}

}  // namespace fernlift::cell
