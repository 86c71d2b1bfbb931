#include "lab/FleetSpec.h"

#include <toml++/toml.h>

#include <fstream>
#include <initializer_list>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>

namespace fernlift::lab
{
namespace
{

/// Exception used inside this file only; the public functions turn it into a failed Result.
class SpecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] void refuse (const toml::node& node, const std::string& key, const std::string& what)
{
    throw SpecError ("line " + std::to_string (node.source().begin.line) + ", " + key + ": "
                     + what);
}

/// Reads a table by key and rejects keys outside the allowed ones.
class TableReader
{
public:
    TableReader (const toml::table& table, std::string path,
                 std::initializer_list<std::string_view> allowedKeys)
        : m_table (table), m_path (std::move (path))
    {
        for (const auto& [key, value] : table)
        {
            bool isKnown = false;
            for (const std::string_view allowed : allowedKeys)
            {
                isKnown = isKnown || key.str() == allowed;
            }
            if (! isKnown)
            {
                refuse (value, m_path + std::string (key.str()), "unknown key");
            }
        }
    }

    std::string text (std::string_view key) const
    {
        const toml::node& node = require (key);
        const auto value = node.value_exact<std::string>();
        if (! value || value->empty())
        {
            refuse (node, m_path + std::string (key), "expected a non-empty string");
        }
        return *value;
    }

    std::uint64_t count (std::string_view key) const
    {
        const toml::node& node = require (key);
        const auto value = node.value_exact<std::int64_t>();
        if (! value || *value < 1 || *value > std::numeric_limits<std::int32_t>::max())
        {
            refuse (node, m_path + std::string (key),
                    "expected a whole number from 1 to 2147483647");
        }
        return static_cast<std::uint64_t> (*value);
    }

    double positiveReal (std::string_view key, double fallback) const
    {
        const toml::node* node = m_table.get (key);
        if (node == nullptr)
        {
            return fallback;
        }
        const auto value = node->value<double>();
        if (! value || *value <= 0)
        {
            refuse (*node, m_path + std::string (key), "expected a number above 0");
        }
        return *value;
    }

    bool flag (std::string_view key) const
    {
        const toml::node* node = m_table.get (key);
        if (node == nullptr)
        {
            return false;
        }
        const auto value = node->value_exact<bool>();
        if (! value)
        {
            refuse (*node, m_path + std::string (key), "expected true or false");
        }
        return *value;
    }

    std::vector<std::string> texts (std::string_view key) const
    {
        std::vector<std::string> values;
        const toml::node* node = m_table.get (key);
        if (node == nullptr)
        {
            return values;
        }
        const toml::array* array = node->as_array();
        if (array == nullptr)
        {
            refuse (*node, m_path + std::string (key), "expected an array of texts");
        }
        for (const toml::node& element : *array)
        {
            const auto value = element.value_exact<std::string>();
            if (! value)
            {
                refuse (element, m_path + std::string (key), "expected an array of texts");
            }
            values.push_back (*value);
        }
        return values;
    }

private:
    const toml::node& require (std::string_view key) const
    {
        const toml::node* node = m_table.get (key);
        if (node == nullptr)
        {
            refuse (m_table, m_path + std::string (key), "is missing");
        }
        return *node;
    }

    const toml::table& m_table;
    std::string m_path;
};

/// Calls `read(table, path)` for each element of the array of tables `key`.
template <class Read>
void forEachTable (const toml::table& root, std::string_view key, Read read)
{
    const toml::node* node = root.get (key);
    if (node == nullptr)
    {
        throw SpecError (std::string (key) + ": expected at least one table");
    }
    const toml::array* array = node->as_array();
    if (array == nullptr || ! array->is_array_of_tables())
    {
        refuse (*node, std::string (key), "expected an array of tables");
    }
    int position = 0;
    for (const toml::node& element : *array)
    {
        read (*element.as_table(), std::string (key) + "[" + std::to_string (position) + "].");
        ++position;
    }
}

void readControllers (const toml::table& root, FleetSpec& spec)
{
    forEachTable (root, "controllers",
                  [&spec] (const toml::table& table, const std::string& path)
                  {
                      const TableReader reader (table, path, { "id", "zone", "fault_proxy" });
                      spec.controllers.push_back ({ reader.count ("id"),
                                                    base::ZoneName (reader.text ("zone")),
                                                    reader.flag ("fault_proxy") });
                  });
}

void readRouters (const toml::table& root, FleetSpec& spec)
{
    forEachTable (root, "routers",
                  [&spec] (const toml::table& table, const std::string& path)
                  {
                      const TableReader reader (table, path, { "id", "zone", "fault_proxy" });
                      spec.routers.push_back ({ base::RouterId (reader.text ("id")),
                                                base::ZoneName (reader.text ("zone")),
                                                reader.flag ("fault_proxy") });
                  });
}

void readEngines (const toml::table& root, FleetSpec& spec)
{
    forEachTable (root, "engines",
                  [&spec] (const toml::table& table, const std::string& path)
                  {
                      const TableReader reader (
                          table, path, { "id", "zone", "memory_mb", "slots", "fault_proxy" });
                      spec.engines.push_back ({ base::RunnerId (reader.text ("id")),
                                                base::ZoneName (reader.text ("zone")),
                                                reader.count ("memory_mb"),
                                                static_cast<std::uint32_t> (reader.count ("slots")),
                                                reader.flag ("fault_proxy") });
                  });
}

void readApplicationRunners (const toml::table& root, FleetSpec& spec)
{
    forEachTable (
        root, "application_runners",
        [&spec] (const toml::table& table, const std::string& path)
        {
            const TableReader reader (table, path,
                                      { "id", "zone", "slots", "applications", "fault_proxy" });
            spec.applicationRunners.push_back (
                { base::RunnerId (reader.text ("id")), base::ZoneName (reader.text ("zone")),
                  static_cast<std::uint32_t> (reader.count ("slots")),
                  reader.texts ("applications"), reader.flag ("fault_proxy") });
        });
}

void readWeightStore (const toml::table& root, FleetSpec& spec)
{
    const toml::node* node = root.get ("weight_store");
    if (node == nullptr)
    {
        return;
    }
    if (node->as_table() == nullptr)
    {
        refuse (*node, "weight_store", "expected a table");
    }
    const TableReader reader (*node->as_table(), "weight_store.",
                              { "loads_per_second", "concurrent_loads" });
    spec.weightStore.loadsPerSecond = reader.positiveReal ("loads_per_second", 3);
    spec.weightStore.concurrentLoads =
        static_cast<std::uint32_t> (reader.count ("concurrent_loads"));
}

void readExtraFlags (const toml::table& root, FleetSpec& spec)
{
    const toml::node* node = root.get ("flags");
    if (node == nullptr)
    {
        return;
    }
    if (node->as_table() == nullptr)
    {
        refuse (*node, "flags", "expected a table");
    }
    const TableReader reader (
        *node->as_table(), "flags.",
        { "controllers", "routers", "engines", "applications", "weights", "machines" });
    spec.extraFlags = { reader.texts ("controllers"), reader.texts ("routers"),
                        reader.texts ("engines"),     reader.texts ("applications"),
                        reader.texts ("weights"),     reader.texts ("machines") };
}

template <class Items, class ToKey>
void refuseDuplicates (const Items& items, const std::string& what, ToKey toKey)
{
    std::set<decltype (toKey (*items.begin()))> seen;
    for (const auto& item : items)
    {
        if (! seen.insert (toKey (item)).second)
        {
            throw SpecError (what + ": duplicate id");
        }
    }
}

FleetSpec readSpec (const toml::table& root)
{
    FleetSpec spec;
    const TableReader reader (root, "",
                              { "cell", "time_scale", "controllers", "routers", "engines",
                                "application_runners", "weight_store", "flags" });
    spec.cell = base::CellId (reader.text ("cell"));
    spec.timeScale = reader.positiveReal ("time_scale", 1);
    readControllers (root, spec);
    readRouters (root, spec);
    readEngines (root, spec);
    readApplicationRunners (root, spec);
    readWeightStore (root, spec);
    readExtraFlags (root, spec);
    const auto idOf = [] (const auto& item) { return item.id; };
    refuseDuplicates (spec.controllers, "controllers", idOf);
    refuseDuplicates (spec.routers, "routers", idOf);
    refuseDuplicates (spec.engines, "engines", idOf);
    refuseDuplicates (spec.applicationRunners, "application_runners", idOf);
    return spec;
}

}  // namespace

base::Result<FleetSpec> parseFleetSpec (std::string_view tomlText)
{
    try
    {
        return readSpec (toml::parse (tomlText));
    }
    catch (const toml::parse_error& error)
    {
        return base::fail (base::ErrorKind::kSettingsInvalid,
                           "line " + std::to_string (error.source().begin.line) + ": "
                               + std::string (error.description()));
    }
    catch (const SpecError& error)
    {
        return base::fail (base::ErrorKind::kSettingsInvalid, error.what());
    }
}

base::Result<FleetSpec> readFleetSpec (const std::string& path)
{
    const std::ifstream file (path);
    if (! file)
    {
        return base::fail (base::ErrorKind::kSettingsInvalid, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseFleetSpec (text.str());
}

}  // namespace fernlift::lab
