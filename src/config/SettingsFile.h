#pragma once

/// Reads a settings file and assigns its values to the settings of a schema.

#include <set>
#include <string>
#include <vector>

#include "config/Settings.h"

namespace fernlift::config
{

/// One error in a settings file.
struct SettingsProblem
{
    int line = 0;         ///< 1-based; 0 when the error belongs to no single line.
    std::string key;      ///< Empty when the error belongs to no key.
    std::string message;  ///< Value found and values allowed.
};

/// Keys set in the file, whether or not their values are valid, and all errors found.
struct SettingsFileOutcome
{
    std::set<std::string> keys;
    std::vector<SettingsProblem> problems;
};

/// Assigns every value of a settings file to its setting.
[[nodiscard]] SettingsFileOutcome readSettings (std::string_view tomlText,
                                                const SettingsSchema& schema);

}  // namespace fernlift::config
