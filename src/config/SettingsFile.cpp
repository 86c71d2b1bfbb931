#include "config/SettingsFile.h"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace fernlift::config
{
namespace
{

using Setting = SettingsSchema::Setting;

std::string textOf (const toml::node& node)
{
    std::ostringstream stream;
    node.visit ([&] (const auto& value) { stream << value; });
    return stream.str();
}

bool hasForm (const toml::node& node, ValueForm form)
{
    switch (form)
    {
        case ValueForm::kString:
            return node.is_string();
        case ValueForm::kInteger:
            return node.is_integer();
        case ValueForm::kReal:
            return node.is_number();
        case ValueForm::kBoolean:
            break;
    }
    return node.is_boolean();
}

/// The value as text, in the form that a flag takes.
std::string flagTextOf (const toml::node& node)
{
    if (const auto* text = node.as_string())
        return text->get();
    return textOf (node);
}

class Reader
{
public:
    explicit Reader (const SettingsSchema& schema) : m_schema (schema) {}

    void readAll (const toml::table& table)
    {
        for (const auto& [key, node] : table)
            readKey (std::string (key.str()), node, key.source());
    }

    SettingsFileOutcome takeOutcome() { return std::move (m_outcome); }

private:
    void readKey (const std::string& key, const toml::node& node, const toml::source_region& place)
    {
        const auto& settings = m_schema.settings();
        const auto setting = std::find_if (settings.begin(), settings.end(),
                                           [&] (const Setting& each) { return each.key == key; });
        if (setting == settings.end())
        {
            report (place, key, "unknown key; --help lists the known ones");
            return;
        }
        m_outcome.keys.insert (key);
        if (setting->isList)
        {
            readList (*setting, node);
        }
        else
        {
            readValue (*setting, node);
        }
    }

    void readList (const Setting& setting, const toml::node& node)
    {
        const toml::array* const array = node.as_array();
        if (array == nullptr)
        {
            report (node.source(), setting.key,
                    "found " + textOf (node) + ", allowed: [array] as a " + setting.typeName);
            return;
        }
        setting.clear();
        for (const toml::node& element : *array)
            readValue (setting, element);
    }

    void readValue (const Setting& setting, const toml::node& node)
    {
        if (! hasForm (node, setting.form))
        {
            report (node.source(), setting.key,
                    "found " + textOf (node) + ", allowed: " + setting.typeName);
            return;
        }
        const std::optional<std::string> message = setting.assign (flagTextOf (node));
        if (message)
            report (node.source(), setting.key, *message);
    }

    void report (const toml::source_region& place, const std::string& key, std::string message)
    {
        m_outcome.problems.push_back (
            SettingsProblem{ static_cast<int> (place.begin.line), key, std::move (message) });
    }

    const SettingsSchema& m_schema;
    SettingsFileOutcome m_outcome;
};

}  // namespace

SettingsFileOutcome readSettings (std::string_view tomlText, const SettingsSchema& schema)
{
    Reader reader (schema);
    try
    {
        reader.readAll (toml::parse (tomlText));
    }
    catch (const toml::parse_error& error)
    {
        SettingsFileOutcome outcome;
        outcome.problems.push_back (
            SettingsProblem{ static_cast<int> (error.source().begin.line), "",
                             "not valid TOML: " + std::string (error.description()) });
        return outcome;
    }
    SettingsFileOutcome outcome = reader.takeOutcome();
    std::stable_sort (outcome.problems.begin(), outcome.problems.end(),
                      [] (const auto& left, const auto& right) { return left.line < right.line; });
    return outcome;
}

}  // namespace fernlift::config
