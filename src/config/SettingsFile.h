#pragma once

/// Reading of a settings file into values of its schema's keys.

#include <set>
#include <string>
#include <vector>

#include "config/Settings.h"

namespace fernlift::config
{

/// One fault of a settings file.
struct SettingsProblem
{
    int line = 0;         ///< 1-based; 0 when the fault has no single place.
    std::string key;      ///< Empty when the fault belongs to no key.
    std::string message;  ///< What was found and what is allowed.
};

/// Keys that the file names, whether or not their values are valid, and all faults found.
struct SettingsFileOutcome
{
    std::set<std::string> keys;
    std::vector<SettingsProblem> problems;
};

/// Assigns every value of a settings file to its setting.
[[nodiscard]] SettingsFileOutcome readSettings (std::string_view tomlText,
                                                const SettingsSchema& schema);

}  // namespace fernlift::config
