#include <toml++/toml.h>

#include <exception>
#include <string>

#include "config/Catalogue.h"
#include "config/CatalogueChecks.h"
#include "config/CatalogueLimits.h"
#include "config/TableReader.h"

namespace fernlift::config
{
namespace
{

constexpr IntegerRange kMemoryRange{ 1, kMaxMemoryMegabytes };

std::vector<base::ZoneName> readZones (TableReader& reader, Presence presence)
{
    std::vector<base::ZoneName> zones;
    for (std::string& name : reader.readNames ("zones", kMaxZones, presence))
    {
        zones.emplace_back (std::move (name));
    }
    return zones;
}

std::uint32_t readMaximumReplicas (TableReader& reader)
{
    return static_cast<std::uint32_t> (
        reader.readInteger ("max_replicas", { 1, kMaxReplicas }, Presence::kRequired, 1));
}

Megabytes readMemory (TableReader& reader)
{
    return static_cast<Megabytes> (
        reader.readInteger ("memory_mb", kMemoryRange, Presence::kRequired, 1));
}

RequestClass readClass (TableReader& reader)
{
    RequestClass result;
    result.name = base::RequestClassName (reader.readName ("name"));
    result.urgency = static_cast<int> (reader.readInteger ("urgency", { kMostUrgent, kLeastUrgent },
                                                           Presence::kRequired, kLeastUrgent));
    result.deadline = base::milliseconds (reader.readInteger (
        "deadline_ms", { 1, kMaxDeadlineMilliseconds }, Presence::kRequired, 1));
    result.repeatable = reader.readBoolean ("repeatable", result.repeatable);
    result.reservedSlotShare =
        reader.readReal ("reserved_slot_share", { 0, kMaxReservedSlotShare }, 0);
    return result;
}

Model readModel (TableReader& reader)
{
    Model model;
    model.name = base::ModelName (reader.readName ("name"));
    model.version = reader.readName ("version");
    model.memory = readMemory (reader);
    model.maxReplicas = readMaximumReplicas (reader);
    model.minReplicas = static_cast<std::uint32_t> (
        reader.readInteger ("min_replicas", { 0, kMaxReplicas }, Presence::kOptional, 0));
    model.zones = readZones (reader, Presence::kOptional);
    model.defaultClass = base::RequestClassName (reader.readName ("class"));
    return model;
}

Adapter readAdapter (TableReader& reader)
{
    Adapter adapter;
    adapter.name = base::AdapterName (reader.readName ("name"));
    adapter.base = base::ModelName (reader.readName ("base"));
    adapter.memory = readMemory (reader);
    adapter.maxReplicas = readMaximumReplicas (reader);
    adapter.defaultClass = base::RequestClassName (reader.readName ("class"));
    return adapter;
}

Application readApplication (TableReader& reader)
{
    Application application;
    application.name = base::ApplicationName (reader.readName ("name"));
    application.zones = readZones (reader, Presence::kOptional);
    application.defaultClass = base::RequestClassName (reader.readName ("class"));
    return application;
}

Prices readPrices (TableReader& reader)
{
    Prices prices;
    prices.coldStartSecond =
        reader.readReal ("cold_start_second", { 0, kMaxPrice }, prices.coldStartSecond);
    prices.idleAcceleratorHour =
        reader.readReal ("idle_accelerator_hour", { 0, kMaxPrice }, prices.idleAcceleratorHour);
    return prices;
}

WeightStoreLimits readWeightStore (TableReader& reader)
{
    WeightStoreLimits limits;
    limits.loadsPerSecond = reader.readReal (
        "loads_per_second", { kMinLoadsPerSecond, kMaxLoadsPerSecond }, limits.loadsPerSecond);
    limits.concurrentLoads = static_cast<std::uint32_t> (reader.readInteger (
        "concurrent_loads", { 1, kMaxConcurrentLoads }, Presence::kOptional, 1));
    return limits;
}

/// Reads every table [[key]] with `readOne`.
template <class ReadOne>
auto readAll (TableReader& file, std::string_view key, std::size_t maximumCount,
              ProblemList& problems, ReadOne readOne)
{
    std::vector<decltype (readOne (file))> items;
    for (const toml::table* table : file.readTables (key, maximumCount))
    {
        const std::string path = std::string (key) + "[" + std::to_string (items.size()) + "]";
        TableReader reader (*table, path, problems);
        items.push_back (readOne (reader));
        reader.reportUnknownKeys();
    }
    return items;
}

/// Reads the table [key] with `readOne`; a missing table is read as an empty one.
template <class ReadOne>
auto readSection (TableReader& file, std::string_view key, ProblemList& problems, ReadOne readOne)
{
    static const toml::table kEmpty;
    const toml::table* const table = file.readTable (key);
    TableReader reader (table == nullptr ? kEmpty : *table, std::string (key), problems);
    auto section = readOne (reader);
    reader.reportUnknownKeys();
    return section;
}

Catalogue readCatalogue (const toml::table& table, ProblemList& problems)
{
    TableReader file (table, "", problems);
    Catalogue catalogue;
    catalogue.cell = base::CellId (file.readName ("cell"));
    catalogue.version = static_cast<std::uint64_t> (
        file.readInteger ("version", { 1, INT64_MAX }, Presence::kRequired, 1));
    catalogue.largestRunnerMemory = static_cast<Megabytes> (
        file.readInteger ("largest_runner_memory_mb", kMemoryRange, Presence::kOptional, 0));
    catalogue.zones = readZones (file, Presence::kRequired);
    catalogue.classes = readAll (file, "class", kMaxClasses, problems, readClass);
    catalogue.models = readAll (file, "model", kMaxModels, problems, readModel);
    catalogue.adapters = readAll (file, "adapter", kMaxAdapters, problems, readAdapter);
    catalogue.applications =
        readAll (file, "application", kMaxApplications, problems, readApplication);
    catalogue.prices = readSection (file, "prices", problems, readPrices);
    catalogue.weightStore = readSection (file, "weight_store", problems, readWeightStore);
    file.reportUnknownKeys();
    return catalogue;
}

CatalogueOutcome failedWith (int line, std::string message)
{
    CatalogueOutcome outcome;
    outcome.problems.push_back (CatalogueProblem{ line, "", std::move (message) });
    return outcome;
}

CatalogueOutcome parseChecked (std::string_view tomlText)
{
    ProblemList problems;
    Catalogue catalogue = readCatalogue (toml::parse (tomlText), problems);
    checkCatalogue (catalogue, problems);
    CatalogueOutcome outcome;
    outcome.problems = problems.takeSorted();
    if (outcome.problems.empty())
        outcome.catalogue = std::move (catalogue);
    return outcome;
}

}  // namespace

CatalogueOutcome parseCatalogue (std::string_view tomlText)
{
    if (tomlText.size() > kMaxCatalogueBytes)
    {
        return failedWith (0, "found " + std::to_string (tomlText.size())
                                  + " bytes, allowed: at most "
                                  + std::to_string (kMaxCatalogueBytes));
    }
    try
    {
        return parseChecked (tomlText);
    }
    catch (const toml::parse_error& error)
    {
        return failedWith (static_cast<int> (error.source().begin.line),
                           "not valid TOML: " + std::string (error.description()));
    }
    catch (const std::exception& error)
    {
        return failedWith (0, std::string ("cannot be read: ") + error.what());
    }
}

}  // namespace fernlift::config
