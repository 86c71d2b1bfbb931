#include "router/ActiveConfiguration.h"

#include <optional>
#include <utility>

namespace fernlift::router
{

bool ActiveConfiguration::apply (const cell::ConfigurationUpdate& update)
{
    if (update.version <= held_.version)
        return false;
    std::optional<std::string> text = cell::wholeText (update, held_);
    if (! text)
        return false;
    config::CatalogueOutcome outcome = config::parseCatalogue (*text);
    if (! outcome.catalogue)
        return false;
    held_ = { update.version, update.digest, std::move (*text) };
    catalogue_ = std::move (*outcome.catalogue);
    reservation_ = admission::SlotReservation (catalogue_.classes);
    models_.clear();
    applications_.clear();
    for (const auto& model : catalogue_.models)
        models_[model.name.value] = model.defaultClass;
    for (const auto& adapter : catalogue_.adapters)
    {
        models_[adapter.name.value] = adapter.defaultClass;
    }
    for (const auto& application : catalogue_.applications)
    {
        applications_[application.name.value] = application.defaultClass;
    }
    return true;
}

bool ActiveConfiguration::hasTarget (Protocol protocol, const std::string& target) const
{
    const DefaultClasses& known = protocol == Protocol::kApplication ? applications_ : models_;
    return known.contains (target);
}

const config::RequestClass* ActiveConfiguration::classOf (const RequestHead& head) const
{
    if (head.requestClass)
        return catalogue_.findClass (*head.requestClass);
    const bool isApplication = head.protocol == Protocol::kApplication;
    const DefaultClasses& known = isApplication ? applications_ : models_;
    const auto entry = known.find (head.target);
    return entry == known.end() ? nullptr : catalogue_.findClass (entry->second);
}

std::vector<std::string> ActiveConfiguration::targets() const
{
    std::vector<std::string> names;
    for (const auto& model : catalogue_.models)
        names.push_back (model.name.value);
    for (const auto& adapter : catalogue_.adapters)
        names.push_back (adapter.name.value);
    return names;
}

}  // namespace fernlift::router
