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

/// Names that must differ from each other, each with the key that gave it.
class NameRegister
{
public:
    explicit NameRegister (ProblemList& problems) : problems_ (problems) {}

    void add (const std::string& name, const std::string& key)
    {
        if (name.empty())
            return;
        const auto [position, isNew] = keys_.emplace (name, key);
        if (isNew)
            return;
        problems_.reportAt (key, "found '" + name + "', which " + position->second
                                     + " has already; allowed: a name of its own");
    }

    [[nodiscard]] bool contains (const std::string& name) const { return keys_.count (name) != 0; }

private:
    ProblemList& problems_;
    std::unordered_map<std::string, std::string> keys_;
};

class Checker
{
public:
    Checker (const Catalogue& catalogue, ProblemList& problems)
        : catalogue_ (catalogue),
          problems_ (problems),
          zones_ (problems),
          classes_ (problems),
          targets_ (problems)
    {
    }

    void checkAll()
    {
        registerNames();
        checkClasses();
        for (std::size_t index = 0; index < catalogue_.models.size(); ++index)
        {
            checkModel (catalogue_.models[index], element ("model", index));
        }
        for (std::size_t index = 0; index < catalogue_.adapters.size(); ++index)
        {
            checkAdapter (catalogue_.adapters[index], element ("adapter", index));
        }
        for (std::size_t index = 0; index < catalogue_.applications.size(); ++index)
        {
            const Application& application = catalogue_.applications[index];
            const std::string key = element ("application", index);
            checkZones (application.zones, key);
            checkClass (application.defaultClass, key);
        }
    }

private:
    void registerNames()
    {
        for (std::size_t index = 0; index < catalogue_.zones.size(); ++index)
        {
            zones_.add (catalogue_.zones[index].value, element ("zones", index));
        }
        for (std::size_t index = 0; index < catalogue_.classes.size(); ++index)
        {
            classes_.add (catalogue_.classes[index].name.value, element ("class", index) + ".name");
        }
        for (std::size_t index = 0; index < catalogue_.models.size(); ++index)
        {
            const Model& model = catalogue_.models[index];
            targets_.add (model.name.value, element ("model", index) + ".name");
            models_.emplace (model.name.value, &model);
        }
        for (std::size_t index = 0; index < catalogue_.adapters.size(); ++index)
        {
            targets_.add (catalogue_.adapters[index].name.value,
                          element ("adapter", index) + ".name");
        }
        for (std::size_t index = 0; index < catalogue_.applications.size(); ++index)
        {
            targets_.add (catalogue_.applications[index].name.value,
                          element ("application", index) + ".name");
        }
    }

    void checkClasses()
    {
        if (catalogue_.classes.empty())
        {
            problems_.report (0, "class", "missing, allowed: at least one [[class]]");
        }
        double sum = 0;
        for (const RequestClass& each : catalogue_.classes)
            sum += each.reservedSlotShare;
        constexpr double kRoundingError = 1e-9;
        if (sum <= kMaximumReservedSlotShare + kRoundingError)
            return;
        problems_.reportAt ("class", "found reserved_slot_share of all classes adding up to "
                                         + std::to_string (sum) + ", allowed: at most "
                                         + std::to_string (kMaximumReservedSlotShare));
    }

    void checkModel (const Model& model, const std::string& key)
    {
        checkZones (model.zones, key);
        checkClass (model.defaultClass, key);
        if (model.minReplicas > model.maxReplicas)
        {
            problems_.reportAt (key + ".min_replicas", "found " + std::to_string (model.minReplicas)
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
        const auto base = models_.find (adapter.base.value);
        if (base == models_.end())
        {
            problems_.reportAt (key + ".base", "found '" + adapter.base.value
                                                   + "', allowed: the name of a [[model]]");
            return;
        }
        checkMemory (adapter.memory + base->second->memory, key,
                     " together with its base '" + adapter.base.value + "'");
    }

    void checkMemory (Megabytes memory, const std::string& key, const std::string& addition)
    {
        const Megabytes limit = catalogue_.largestRunnerMemory;
        if (limit == 0 || memory <= limit)
            return;
        problems_.reportAt (key + ".memory_mb",
                            "found " + std::to_string (memory) + addition
                                + ", allowed: at most largest_runner_memory_mb, "
                                + std::to_string (limit));
    }

    void checkZones (const std::vector<base::ZoneName>& zones, const std::string& key)
    {
        NameRegister own (problems_);
        for (std::size_t index = 0; index < zones.size(); ++index)
        {
            const std::string& zone = zones[index].value;
            const std::string elementKey = element (key + ".zones", index);
            own.add (zone, elementKey);
            if (zone.empty() || zones_.contains (zone))
                continue;
            problems_.reportAt (elementKey,
                                "found '" + zone + "', allowed: a zone of the key zones");
        }
    }

    void checkClass (const base::RequestClassName& name, const std::string& key)
    {
        if (name.empty() || classes_.contains (name.value))
            return;
        problems_.reportAt (key + ".class",
                            "found '" + name.value + "', allowed: the name of a [[class]]");
    }

    const Catalogue& catalogue_;
    ProblemList& problems_;
    NameRegister zones_;
    NameRegister classes_;
    /// Models, adapters and applications share one space of names.
    NameRegister targets_;
    std::unordered_map<std::string, const Model*> models_;
};

}  // namespace

void checkCatalogue (const Catalogue& catalogue, ProblemList& problems)
{
    Checker (catalogue, problems).checkAll();
}

}  // namespace fernlift::config
