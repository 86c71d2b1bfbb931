#include "router/ActiveConfiguration.h"

#include <optional>
#include <utility>

namespace fernlift::router
{

bool ActiveConfiguration::apply (const cell::ConfigurationUpdate& update)
{
    if (update.version <= m_held.version)
        return false;
    std::optional<std::string> text = cell::wholeText (update, m_held);
    if (! text)
        return false;
    config::CatalogueOutcome outcome = config::parseCatalogue (*text);
    if (! outcome.catalogue)
        return false;
    m_held = { update.version, update.digest, std::move (*text) };
    m_catalogue = std::move (*outcome.catalogue);
    m_reservation = admission::SlotReservation (m_catalogue.classes);
    m_models.clear();
    m_applications.clear();
    for (const auto& model : m_catalogue.models)
        m_models[model.name.value] = model.defaultClass;
    for (const auto& adapter : m_catalogue.adapters)
    {
        m_models[adapter.name.value] = adapter.defaultClass;
    }
    for (const auto& application : m_catalogue.applications)
    {
        m_applications[application.name.value] = application.defaultClass;
    }
    return true;
}

bool ActiveConfiguration::hasTarget (Protocol protocol, const std::string& target) const
{
    const DefaultClasses& known = protocol == Protocol::kApplication ? m_applications : m_models;
    return known.contains (target);
}

const config::RequestClass* ActiveConfiguration::classOf (const RequestHead& head) const
{
    if (head.requestClass)
        return m_catalogue.findClass (*head.requestClass);
    const bool isApplication = head.protocol == Protocol::kApplication;
    const DefaultClasses& known = isApplication ? m_applications : m_models;
    const auto entry = known.find (head.target);
    return entry == known.end() ? nullptr : m_catalogue.findClass (entry->second);
}

std::vector<std::string> ActiveConfiguration::targets() const
{
    std::vector<std::string> names;
    for (const auto& model : m_catalogue.models)
        names.push_back (model.name.value);
    for (const auto& adapter : m_catalogue.adapters)
        names.push_back (adapter.name.value);
    return names;
}

}  // namespace fernlift::router
