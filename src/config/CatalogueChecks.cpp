#include "config/CatalogueChecks.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "config/CatalogueLimits.h"

namespace fernlift::config
{
namespace
{

std::string element (std::string_view array, std::size_t index)
{
    return std::string (array) + "[" + std::to_string (index) + "]";
}

/// A set of names that must be unique, each with the key that defined it.
class NameRegister
{
public:
    explicit NameRegister (ProblemList& problems) : m_problems (problems) {}

    void add (const std::string& name, const std::string& key)
    {
        if (name.empty())
            return;
        const auto [position, isNew] = m_keys.emplace (name, key);
        if (isNew)
            return;
        m_problems.reportAt (key, "found '" + name + "', which " + position->second
                                      + " has already; allowed: a name of its own");
    }

    [[nodiscard]] bool contains (const std::string& name) const { return m_keys.count (name) != 0; }

private:
    ProblemList& m_problems;
    std::unordered_map<std::string, std::string> m_keys;
};

class Checker
{
public:
    Checker (const Catalogue& catalogue, ProblemList& problems)
        : m_catalogue (catalogue),
          m_problems (problems),
          m_zones (problems),
          m_classes (problems),
          m_targets (problems)
    {
    }

    void checkAll()
    {
        registerNames();
        checkClasses();
        for (std::size_t index = 0; index < m_catalogue.models.size(); ++index)
        {
            checkModel (m_catalogue.models[index], element ("model", index));
        }
        for (std::size_t index = 0; index < m_catalogue.adapters.size(); ++index)
        {
            checkAdapter (m_catalogue.adapters[index], element ("adapter", index));
        }
        for (std::size_t index = 0; index < m_catalogue.applications.size(); ++index)
        {
            const Application& application = m_catalogue.applications[index];
            const std::string key = element ("application", index);
            checkZones (application.zones, key);
            checkClass (application.defaultClass, key);
        }
    }

private:
    void registerNames()
    {
        for (std::size_t index = 0; index < m_catalogue.zones.size(); ++index)
        {
            m_zones.add (m_catalogue.zones[index].value, element ("zones", index));
        }
        for (std::size_t index = 0; index < m_catalogue.classes.size(); ++index)
        {
            m_classes.add (m_catalogue.classes[index].name.value,
                           element ("class", index) + ".name");
        }
        for (std::size_t index = 0; index < m_catalogue.models.size(); ++index)
        {
            const Model& model = m_catalogue.models[index];
            m_targets.add (model.name.value, element ("model", index) + ".name");
            m_models.emplace (model.name.value, &model);
        }
        for (std::size_t index = 0; index < m_catalogue.adapters.size(); ++index)
        {
            m_targets.add (m_catalogue.adapters[index].name.value,
                           element ("adapter", index) + ".name");
        }
        for (std::size_t index = 0; index < m_catalogue.applications.size(); ++index)
        {
            m_targets.add (m_catalogue.applications[index].name.value,
                           element ("application", index) + ".name");
        }
    }

    void checkClasses()
    {
        if (m_catalogue.classes.empty())
        {
            m_problems.report (0, "class", "missing, allowed: at least one [[class]]");
        }
        double sum = 0;
        for (const RequestClass& each : m_catalogue.classes)
            sum += each.reservedSlotShare;
        constexpr double kRoundingError = 1e-9;
        if (sum <= kMaxReservedSlotShare + kRoundingError)
            return;
        m_problems.reportAt ("class", "found reserved_slot_share of all classes adding up to "
                                          + std::to_string (sum) + ", allowed: at most "
                                          + std::to_string (kMaxReservedSlotShare));
    }

    void checkModel (const Model& model, const std::string& key)
    {
        checkZones (model.zones, key);
        checkClass (model.defaultClass, key);
        if (model.minReplicas > model.maxReplicas)
        {
            m_problems.reportAt (key + ".min_replicas", "found "
                                                            + std::to_string (model.minReplicas)
                                                            + ", allowed: at most max_replicas, "
                                                            + std::to_string (model.maxReplicas));
        }
        checkMemory (model.memory, key, "");
    }

    void checkAdapter (const Adapter& adapter, const std::string& key)
    {
        checkClass (adapter.defaultClass, key);
        if (adapter.base.empty())
            return;
        const auto base = m_models.find (adapter.base.value);
        if (base == m_models.end())
        {
            m_problems.reportAt (key + ".base", "found '" + adapter.base.value
                                                    + "', allowed: the name of a [[model]]");
            return;
        }
        checkMemory (adapter.memory + base->second->memory, key,
                     " together with its base '" + adapter.base.value + "'");
    }

    void checkMemory (Megabytes memory, const std::string& key, const std::string& addition)
    {
        const Megabytes limit = m_catalogue.largestRunnerMemory;
        if (limit == 0 || memory <= limit)
            return;
        m_problems.reportAt (key + ".memory_mb",
                             "found " + std::to_string (memory) + addition
                                 + ", allowed: at most largest_runner_memory_mb, "
                                 + std::to_string (limit));
    }

    void checkZones (const std::vector<base::ZoneName>& zones, const std::string& key)
    {
        NameRegister own (m_problems);
        for (std::size_t index = 0; index < zones.size(); ++index)
        {
            const std::string& zone = zones[index].value;
            const std::string elementKey = element (key + ".zones", index);
            own.add (zone, elementKey);
            if (zone.empty() || m_zones.contains (zone))
                continue;
            m_problems.reportAt (elementKey,
                                 "found '" + zone + "', allowed: a zone of the key zones");
        }
    }

    void checkClass (const base::RequestClassName& name, const std::string& key)
    {
        if (name.empty() || m_classes.contains (name.value))
            return;
        m_problems.reportAt (key + ".class",
                             "found '" + name.value + "', allowed: the name of a [[class]]");
    }

    const Catalogue& m_catalogue;
    ProblemList& m_problems;
    NameRegister m_zones;
    NameRegister m_classes;
    /// Models, adapters and applications share one namespace.
    NameRegister m_targets;
    std::unordered_map<std::string, const Model*> m_models;
};

}  // namespace

void checkCatalogue (const Catalogue& catalogue, ProblemList& problems)
{
    Checker (catalogue, problems).checkAll();
}

}  // namespace fernlift::config
