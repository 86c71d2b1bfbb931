#include "ctl/CatalogueDiff.h"

#include <map>
#include <sstream>
#include <utility>

namespace fernlift::ctl
{
namespace
{

/// Values of one item as text, by key.
using Values = std::map<std::string, std::string>;
/// Values of all items, by kind and name, for example "model assistant-small".
using Items = std::map<std::string, Values>;

template <class Number>
std::string textOf (const Number& number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

std::string textOf (const std::vector<base::ZoneName>& zones)
{
    std::string text;
    for (const base::ZoneName& zone : zones)
        text += (text.empty() ? "" : ", ") + zone.value;
    return text.empty() ? "any" : text;
}

std::string textOf (base::Duration duration) { return textOf (base::toMilliseconds (duration)); }

Values valuesOf (const config::RequestClass& each)
{
    return { { "urgency", textOf (each.urgency) },
             { "deadline_ms", textOf (each.deadline) },
             { "repeatable", each.repeatable ? "true" : "false" },
             { "reserved_slot_share", textOf (each.reservedSlotShare) } };
}

Values valuesOf (const config::Model& model)
{
    return { { "version", model.version },
             { "memory_mb", textOf (model.memory) },
             { "max_replicas", textOf (model.maxReplicas) },
             { "min_replicas", textOf (model.minReplicas) },
             { "zones", textOf (model.zones) },
             { "class", model.defaultClass.value } };
}

Values valuesOf (const config::Adapter& adapter)
{
    return { { "base", adapter.base.value },
             { "memory_mb", textOf (adapter.memory) },
             { "max_replicas", textOf (adapter.maxReplicas) },
             { "class", adapter.defaultClass.value } };
}

Values valuesOf (const config::Application& application)
{
    return { { "zones", textOf (application.zones) }, { "class", application.defaultClass.value } };
}

Values fileValuesOf (const config::Catalogue& catalogue)
{
    return { { "cell", catalogue.cell.value },
             { "version", textOf (catalogue.version) },
             { "zones", textOf (catalogue.zones) },
             { "largest_runner_memory_mb", textOf (catalogue.largestRunnerMemory) },
             { "prices.cold_start_second", textOf (catalogue.prices.coldStartSecond) },
             { "prices.idle_accelerator_hour", textOf (catalogue.prices.idleAcceleratorHour) },
             { "weight_store.loads_per_second", textOf (catalogue.weightStore.loadsPerSecond) },
             { "weight_store.concurrent_loads", textOf (catalogue.weightStore.concurrentLoads) } };
}

template <class Item>
void addItems (Items& items, const std::string& noun, const std::vector<Item>& source)
{
    for (const Item& item : source)
        items.emplace (noun + " " + item.name.value, valuesOf (item));
}

Items itemsOf (const config::Catalogue& catalogue)
{
    Items items;
    items.emplace ("file", fileValuesOf (catalogue));
    addItems (items, "class", catalogue.classes);
    addItems (items, "model", catalogue.models);
    addItems (items, "adapter", catalogue.adapters);
    addItems (items, "application", catalogue.applications);
    return items;
}

void compareValues (const std::string& item, const Values& before, const Values& after,
                    std::vector<CatalogueChange>& changes)
{
    for (const auto& [key, value] : after)
    {
        const std::string& earlier = before.at (key);
        if (earlier == value)
            continue;
        changes.push_back (CatalogueChange{ ChangeKind::kChanged, item, key, earlier, value });
    }
}

}  // namespace

std::string_view toString (ChangeKind kind)
{
    switch (kind)
    {
        case ChangeKind::kAdded:
            return "added";
        case ChangeKind::kRemoved:
            return "removed";
        case ChangeKind::kChanged:
            break;
    }
    return "changed";
}

std::vector<CatalogueChange> compareCatalogues (const config::Catalogue& before,
                                                const config::Catalogue& after)
{
    const Items earlier = itemsOf (before);
    const Items later = itemsOf (after);
    std::vector<CatalogueChange> changes;
    for (const auto& [item, values] : later)
    {
        const auto match = earlier.find (item);
        if (match == earlier.end())
        {
            changes.push_back (CatalogueChange{ ChangeKind::kAdded, item, "", "", "" });
        }
        else
        {
            compareValues (item, match->second, values, changes);
        }
    }
    for (const auto& [item, values] : earlier)
    {
        if (later.count (item) != 0)
            continue;
        changes.push_back (CatalogueChange{ ChangeKind::kRemoved, item, "", "", "" });
    }
    return changes;
}

}  // namespace fernlift::ctl
