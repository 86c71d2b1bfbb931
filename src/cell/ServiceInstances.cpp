#include "cell/ServiceInstances.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fernlift::cell
{
namespace
{

constexpr char kStartMark = '@';

}  // namespace

std::vector<HeldModel> sortedByName (std::vector<HeldModel> models)
{
    std::ranges::sort (models, {}, &HeldModel::model);
    for (HeldModel& model : models)
        std::ranges::sort (model.adapters);
    return models;
}

std::string Incarnation::name() const
{
    return startedAt == 0 ? id : id + kStartMark + std::to_string (startedAt);
}

Incarnation Incarnation::fromName (std::string_view name)
{
    Incarnation incarnation{ std::string (name), 0 };
    const std::size_t mark = name.rfind (kStartMark);
    if (mark == std::string_view::npos)
        return incarnation;
    const std::string_view start = name.substr (mark + 1);
    const auto [end, error] =
        std::from_chars (start.data(), start.data() + start.size(), incarnation.startedAt);
    if (error == std::errc() && end == start.data() + start.size())
        incarnation.id.resize (mark);
    else
        incarnation.startedAt = 0;
    return incarnation;
}

bool ServiceInstances::isDeregistered (const std::string& id,
                                       base::UnixMilliseconds startedAt) const
{
    return std::ranges::any_of (m_deregistered,
                                [&] (const auto& item)
                                {
                                    const Deregistration& known = item.second;
                                    return known.id == id && startedAt <= known.startedAt;
                                });
}

bool ServiceInstances::differsFromRecorded (const ServiceInstance& instance) const
{
    const ServiceInstance* known = find (instance.id);
    // A start time that was missing so far is a change, too.
    return known == nullptr ? ! isDeregistered (instance.id, instance.startedAt)
                            : known->startedAt < instance.startedAt;
}

bool ServiceInstances::add (const ServiceInstance& instance)
{
    if (! differsFromRecorded (instance))
        return false;
    ServiceInstance& known = m_instances[instance.id];
    const bool isSame = known.id == instance.id && known.startedAt == 0;
    if (! isSame)
    {
        known = instance;
        return true;
    }
    known.startedAt = instance.startedAt;
    known.isDraining = known.isDraining || instance.isDraining;
    return true;
}

ServiceInstance* ServiceInstances::findFor (const std::string& id, base::UnixMilliseconds startedAt)
{
    const auto found = m_instances.find (id);
    if (found == m_instances.end() || isEarlierIncarnation (startedAt, found->second.startedAt))
        return nullptr;
    return &found->second;
}

bool ServiceInstances::drain (const std::string& id, base::UnixMilliseconds startedAt)
{
    ServiceInstance* instance = findFor (id, startedAt);
    if (instance == nullptr || instance->isDraining)
        return false;
    instance->isDraining = true;
    return true;
}

bool ServiceInstances::setModels (const std::string& id, const std::vector<HeldModel>& models,
                                  base::UnixMilliseconds startedAt)
{
    ServiceInstance* instance = findFor (id, startedAt);
    if (instance == nullptr || (instance->isReported && instance->models == models))
        return false;
    instance->isReported = true;
    instance->models = models;
    return true;
}

bool ServiceInstances::remove (const std::string& id, bool isDeregistered,
                               base::UnixMilliseconds startedAt)
{
    const ServiceInstance* known = find (id);
    if (known != nullptr && findFor (id, startedAt) == nullptr)
        return false;
    const bool wasKnown = known != nullptr;
    Deregistration removed{ id, startedAt };
    if (wasKnown)
        removed.startedAt = std::max (startedAt, known->startedAt);
    m_instances.erase (id);
    if (! isDeregistered || this->isDeregistered (id, removed.startedAt))
        return wasKnown;
    const std::uint64_t next = m_deregistered.empty() ? 1 : m_deregistered.rbegin()->first + 1;
    m_deregistered.emplace (next, std::move (removed));
    if (m_deregistered.size() > kMaxDeregistrations)
        m_deregistered.erase (m_deregistered.begin());
    return wasKnown;
}

base::UnixMilliseconds ServiceInstances::lastStartOf (const std::string& id) const
{
    if (const ServiceInstance* known = find (id))
        return known->startedAt;
    base::UnixMilliseconds last = 0;
    for (const auto& [order, removed] : m_deregistered)
    {
        if (removed.id == id)
            last = std::max (last, removed.startedAt);
    }
    return last;
}

const ServiceInstance* ServiceInstances::find (const std::string& id) const
{
    const auto found = m_instances.find (id);
    return found == m_instances.end() ? nullptr : &found->second;
}

}  // namespace fernlift::cell
