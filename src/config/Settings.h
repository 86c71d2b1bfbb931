#pragma once

/// Settings of one program: each key can stand in the TOML settings file and as a flag.

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

/// Form of a value in the settings file. Flags give every value as text.
enum class ValueForm : std::uint8_t
{
    kString,
    kInteger,
    kReal,
    kBoolean
};

/// Declares the settings of a program and binds each to a variable that holds its default.
/// The variables must outlive the schema. A key `http_address` is the flag `--http-address`.
/// A list takes its flag several times; a boolean `verbose` is `--verbose` or `--no-verbose`.
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
    /// One of `choices`.
    SettingsSchema& addChoice (std::string key, std::string* target,
                               std::vector<std::string> choices, std::string help);
    /// Start fails unless the last added key is set by file or flag.
    SettingsSchema& required();
    /// A check over all settings together, run after parsing; returns a message for each clash.
    SettingsSchema& addCheck (std::function<std::vector<std::string>()> check);
    /// Names of the positional arguments, for the usage line; for example "COMMAND [FILE]".
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

/// One declared key.
struct SettingsSchema::Setting
{
    std::string key;
    std::string typeName;  ///< For help and errors, for example "integer from 1 to 9".
    std::string help;
    bool isRequired = false;
    bool isList = false;
    ValueForm form = ValueForm::kString;
    std::string defaultText;
    /// Takes one value as text (each value in turn for a list); on failure a
    /// message that says what was found and what is allowed.
    std::function<std::optional<std::string> (const std::string& text)> assign;
    std::function<void()> clear;  ///< Empties a list before a later source replaces it.
};

/// An address together with the key that set it.
struct NamedAddress
{
    std::string key;
    base::SocketAddress address;
};

/// Messages for each pair of addresses that one machine cannot listen on together. Port 0 (any free
/// port) clashes with nothing; 0.0.0.0 clashes with every host.
[[nodiscard]] std::vector<std::string> findAddressClashes (
    const std::vector<NamedAddress>& addresses);

/// Adds `log_format` and `log_level`, which every program has.
void addLoggingSettings (SettingsSchema& schema, log::Options* target);

/// What the command line asks the program to do.
struct CommandLineOutcome
{
    /// Set when the program should end at once with this code (--help, --version, --check-config or
    /// an error; the text was already printed).
    std::optional<int> exitCode;
    std::vector<std::string> positionals;
    std::string settingsFile;  ///< The file that was read; empty: none.
};

/// Reads `--settings FILE` (TOML), or else the file that the variable FERNLIFT_CONFIG names, and
/// then the flags, which go before the file. Prints help, version or every error (with file, line,
/// key, what was found, what is allowed) as needed.
[[nodiscard]] CommandLineOutcome parseCommandLine (int argc, char** argv, SettingsSchema& schema);

}  // namespace fernlift::config
