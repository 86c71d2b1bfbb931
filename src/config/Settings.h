#pragma once

/// Settings of one program; each key can be given in the TOML settings file and as a flag.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "log/Log.h"

namespace fernlift::config
{

/// TOML type of a value in the settings file. Flags give every value as text.
enum class ValueForm : std::uint8_t
{
    kString,
    kInteger,
    kReal,
    kBoolean
};

/// Declares the settings of a program and binds each to a variable that holds its default.
/// The variables must outlive the schema. A key `http_address` is the flag `--http-address`.
/// The flag of a list may be repeated; a boolean `verbose` is `--verbose` or `--no-verbose`.
class SettingsSchema
{
public:
    SettingsSchema (std::string program, std::string summary);

    SettingsSchema& addString (std::string key, std::string* target, std::string help);
    SettingsSchema& addStringList (std::string key, std::vector<std::string>* target,
                                   std::string help);
    SettingsSchema& addInteger (std::string key, std::int64_t* target, std::int64_t minimum,
                                std::int64_t maximum, std::string help);
    SettingsSchema& addReal (std::string key, double* target, double minimum, double maximum,
                             std::string help);
    /// Durations are whole milliseconds; by convention the key ends in "_ms".
    SettingsSchema& addDuration (std::string key, base::Duration* target, base::Duration minimum,
                                 base::Duration maximum, std::string help);
    SettingsSchema& addBoolean (std::string key, bool* target, std::string help);
    SettingsSchema& addAddress (std::string key, base::SocketAddress* target, std::string help);
    SettingsSchema& addAddressList (std::string key, std::vector<base::SocketAddress>* target,
                                    std::string help);
    /// Adds a setting whose value is one of `choices`.
    SettingsSchema& addChoice (std::string key, std::string* target,
                               std::vector<std::string> choices, std::string help);
    /// Makes the last added key required: parsing fails unless the file or a flag sets it.
    SettingsSchema& required();
    /// Adds a check over all settings, run after parsing; it returns one message per problem.
    SettingsSchema& addCheck (std::function<std::vector<std::string>()> check);
    /// Sets the positional arguments as shown in the usage line, for example "COMMAND [FILE]".
    SettingsSchema& setPositionals (std::string usage);

    struct Setting;
    /// Adds a setting of a type that has no method of its own.
    SettingsSchema& add (Setting setting);

    [[nodiscard]] const std::string& program() const { return m_program; }
    [[nodiscard]] const std::string& summary() const { return m_summary; }
    [[nodiscard]] const std::vector<Setting>& settings() const { return m_settings; }
    [[nodiscard]] const std::string& positionalUsage() const { return m_positionalUsage; }
    [[nodiscard]] const std::vector<std::function<std::vector<std::string>()>>& checks() const
    {
        return m_checks;
    }

private:
    std::string m_program;
    std::string m_summary;
    std::string m_positionalUsage;
    std::vector<Setting> m_settings;
    std::vector<std::function<std::vector<std::string>()>> m_checks;
};

/// Declaration of one key.
struct SettingsSchema::Setting
{
    std::string key;
    std::string typeName;  ///< For help and errors, for example "integer from 1 to 9".
    std::string help;
    bool isRequired = false;
    bool isList = false;
    ValueForm form = ValueForm::kString;
    std::string defaultText;
    /// Assigns one value given as text (for a list, called once per value). On failure returns a
    /// message with the value found and the values allowed.
    std::function<std::optional<std::string> (const std::string& text)> assign;
    std::function<void()> clear;  ///< Empties a list before a later source replaces it.
};

/// An address together with the key that set it.
struct NamedAddress
{
    std::string key;
    base::SocketAddress address;
};

/// Returns a message for each pair of addresses that one machine cannot listen on at the same time.
/// Port 0 (any free port) conflicts with nothing; 0.0.0.0 conflicts with every host.
[[nodiscard]] std::vector<std::string> findAddressClashes (
    const std::vector<NamedAddress>& addresses);

/// Adds `log_format` and `log_level`, which every program has.
void addLoggingSettings (SettingsSchema& schema, log::Options* target);

/// Result of parsing the command line and the settings file.
struct CommandLineOutcome
{
    /// Set when the program must exit at once with this code (--help, --version, --check-config or
    /// an error); the text has been printed by then.
    std::optional<int> exitCode;
    std::vector<std::string> positionals;
    std::string settingsFile;  ///< Path of the file that was read; empty: none.
};

/// Reads the TOML file given by `--settings FILE` or else by the variable FERNLIFT_CONFIG, and then
/// the flags, which override the file. Prints help, version or all errors (with file, line, key,
/// value found and values allowed) as needed.
[[nodiscard]] CommandLineOutcome parseCommandLine (int argc, char** argv, SettingsSchema& schema);

}  // namespace fernlift::config
