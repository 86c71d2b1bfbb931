#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "config/SettingsFile.h"
#include "config/Version.h"

namespace fernlift::config
{
namespace
{

using Setting = SettingsSchema::Setting;

/// Environment variable with the path of the settings file, used when the command line gives none.
constexpr const char* kSettingsVariable = "FERNLIFT_CONFIG";
constexpr int kHelpOption = 1;
constexpr int kVersionOption = 2;
constexpr int kCheckConfigOption = 3;
constexpr int kSettingsOption = 4;
constexpr int kReferenceOption = 5;
/// Setting `i` has the option value kFirstSetting + 2 i, and its `--no-` form that value plus one.
constexpr int kFirstSetting = 16;

/// A value given by a flag.
struct FlagValue
{
    std::size_t setting = 0;
    std::string text;
};

/// Parsed command line, before the settings file is read.
struct Arguments
{
    bool wantsHelp = false;
    bool wantsVersion = false;
    bool wantsCheck = false;
    bool wantsReference = false;
    std::optional<std::string> settingsFile;
    std::vector<FlagValue> values;
    std::vector<std::string> positionals;
    std::vector<std::string> usageProblems;
};

std::string flagNameOf (const std::string& key)
{
    std::string name = key;
    std::replace (name.begin(), name.end(), '_', '-');
    return name;
}

std::string helpOf (const Setting& setting)
{
    std::string text = setting.help + " [" + setting.typeName;
    if (setting.isRequired)
    {
        text += "; required";
    }
    else if (! setting.defaultText.empty())
    {
        text += "; default: " + setting.defaultText;
    }
    if (setting.isList)
        text += "; may be repeated";
    return text + "]";
}

/// Option table for popt; owns the strings that the table points to.
class OptionTable
{
public:
    explicit OptionTable (const SettingsSchema& schema)
    {
        m_names.reserve (2 * schema.settings().size());
        m_helps.reserve (schema.settings().size());
        for (std::size_t index = 0; index < schema.settings().size(); ++index)
        {
            addSetting (schema.settings()[index], kFirstSetting + 2 * static_cast<int> (index));
        }
        addPlain ("settings", POPT_ARG_STRING, kSettingsOption,
                  "Settings file (TOML); flags go before it.", "FILE");
        addPlain ("check-config", POPT_ARG_NONE, kCheckConfigOption,
                  "Check flags and settings file, then end.", nullptr);
        addPlain ("settings-reference", POPT_ARG_NONE, kReferenceOption,
                  "Print the settings as a table in Markdown.", nullptr);
        addPlain ("help", POPT_ARG_NONE, kHelpOption, "Show this help.", nullptr);
        addPlain ("version", POPT_ARG_NONE, kVersionOption, "Show the version.", nullptr);
        m_options.push_back (poptOption POPT_TABLEEND);
    }

    [[nodiscard]] const poptOption* options() const { return m_options.data(); }

private:
    void addSetting (const Setting& setting, int value)
    {
        m_names.push_back (flagNameOf (setting.key));
        m_helps.push_back (helpOf (setting));
        const char* const name = m_names.back().c_str();
        const char* const help = m_helps.back().c_str();
        if (setting.form != ValueForm::kBoolean)
        {
            addPlain (name, POPT_ARG_STRING, value, help, "VALUE");
            return;
        }
        addPlain (name, POPT_ARG_NONE, value, help, nullptr);
        m_names.push_back ("no-" + m_names.back());
        addPlain (m_names.back().c_str(), POPT_ARG_NONE, value + 1, "The opposite.", nullptr);
    }

    void addPlain (const char* name, unsigned argument, int value, const char* help,
                   const char* argumentHelp)
    {
        m_options.push_back (
            poptOption{ name, '\0', argument, nullptr, value, help, argumentHelp });
    }

    std::vector<std::string> m_names;
    std::vector<std::string> m_helps;
    std::vector<poptOption> m_options;
};

/// Owning pointer to a popt context.
using Context = std::unique_ptr<poptContext_s, poptContext (*) (poptContext)>;

std::string takeOptionArgument (poptContext context)
{
    char* const text = poptGetOptArg (context);
    std::string copy = text == nullptr ? "" : text;
    std::free (text);  // NOLINT(cppcoreguidelines-no-malloc): popt hands over ownership.
    return copy;
}

void takeSettingOption (poptContext context, int option, const SettingsSchema& schema,
                        Arguments& arguments)
{
    const auto offset = static_cast<std::size_t> (option - kFirstSetting);
    const std::size_t index = offset / 2;
    const bool isNegated = offset % 2 == 1;
    const bool isBoolean = schema.settings()[index].form == ValueForm::kBoolean;
    const std::string text =
        isBoolean ? (isNegated ? "false" : "true") : takeOptionArgument (context);
    arguments.values.push_back (FlagValue{ index, text });
}

void takeOption (poptContext context, int option, const SettingsSchema& schema,
                 Arguments& arguments)
{
    switch (option)
    {
        case kHelpOption:
            arguments.wantsHelp = true;
            break;
        case kVersionOption:
            arguments.wantsVersion = true;
            break;
        case kCheckConfigOption:
            arguments.wantsCheck = true;
            break;
        case kReferenceOption:
            arguments.wantsReference = true;
            break;
        case kSettingsOption:
            arguments.settingsFile = takeOptionArgument (context);
            break;
        default:
            takeSettingOption (context, option, schema, arguments);
    }
}

Arguments readArguments (poptContext context, const SettingsSchema& schema)
{
    constexpr int kEndOfOptions = -1;
    Arguments arguments;
    for (int option = poptGetNextOpt (context); option != kEndOfOptions;
         option = poptGetNextOpt (context))
    {
        if (option < kEndOfOptions)
        {
            arguments.usageProblems.push_back (std::string (poptBadOption (context, 0)) + ": "
                                               + poptStrerror (option));
            if (option != POPT_ERROR_BADOPT)
                break;
            continue;
        }
        takeOption (context, option, schema, arguments);
    }
    for (const char** rest = poptGetArgs (context); rest != nullptr && *rest != nullptr; ++rest)
    {
        arguments.positionals.emplace_back (*rest);
    }
    if (schema.positionalUsage().empty() && ! arguments.positionals.empty())
    {
        arguments.usageProblems.push_back (arguments.positionals.front() + ": unexpected argument");
    }
    return arguments;
}

/// Assigns values to the schema's variables and collects all errors.
class Assigner
{
public:
    explicit Assigner (const SettingsSchema& schema) : m_schema (schema) {}

    void readFile (const std::string& path)
    {
        std::ifstream stream (path, std::ios::binary);
        if (! stream)
        {
            m_problems.push_back (path + ": cannot be read");
            return;
        }
        const std::string text{ std::istreambuf_iterator<char> (stream), {} };
        SettingsFileOutcome outcome = readSettings (text, m_schema);
        m_seen.merge (outcome.keys);
        for (const SettingsProblem& problem : outcome.problems)
        {
            std::string line = path;
            line.append (":").append (std::to_string (problem.line)).append (": ");
            if (! problem.key.empty())
                line.append (problem.key).append (": ");
            m_problems.push_back (line.append (problem.message));
        }
    }

    void assignFlags (const std::vector<FlagValue>& values)
    {
        std::set<std::size_t> cleared;
        for (const FlagValue& value : values)
        {
            const Setting& setting = m_schema.settings()[value.setting];
            if (setting.isList && cleared.insert (value.setting).second)
                setting.clear();
            m_seen.insert (setting.key);
            const std::optional<std::string> message = setting.assign (value.text);
            if (message)
                m_problems.push_back ("--" + flagNameOf (setting.key) + ": " + *message);
        }
    }

    void checkAll()
    {
        for (const Setting& setting : m_schema.settings())
        {
            if (! setting.isRequired || m_seen.count (setting.key) != 0)
                continue;
            m_problems.push_back (setting.key + ": missing (key " + setting.key + " or flag --"
                                  + flagNameOf (setting.key) + "), allowed: " + setting.typeName);
        }
        for (const auto& check : m_schema.checks())
        {
            for (std::string& message : check())
                m_problems.push_back (std::move (message));
        }
    }

    [[nodiscard]] const std::vector<std::string>& problems() const { return m_problems; }

private:
    const SettingsSchema& m_schema;
    std::set<std::string> m_seen;
    std::vector<std::string> m_problems;
};

int exitCodeOf (base::ErrorKind kind) { return base::traitsOf (kind).exitCode; }

void printProblems (const std::string& program, const std::vector<std::string>& problems)
{
    for (const std::string& problem : problems)
        std::cerr << program << ": " << problem << '\n';
}

void printHelp (poptContext context, const SettingsSchema& schema)
{
    std::cout << schema.program() << ": " << schema.summary() << std::endl;
    poptPrintHelp (context, stdout, 0);
    std::fflush (stdout);
}

/// Prints the section of one program for the settings reference page.
void printReference (const SettingsSchema& schema)
{
    std::cout << "## " << schema.program() << "\n\n| key | value | default | meaning |\n"
              << "|---|---|---|---|\n";
    for (const Setting& setting : schema.settings())
    {
        const std::string initial = setting.isRequired ? "required" : setting.defaultText;
        std::cout << "| `" << setting.key << "` | " << setting.typeName
                  << (setting.isList ? "; may be repeated" : "") << " | " << initial << " | "
                  << setting.help << " |\n";
    }
    std::cout << std::flush;
}

std::optional<int> finish (const Arguments& arguments, const SettingsSchema& schema,
                           const Assigner& assigner)
{
    printProblems (schema.program(), arguments.usageProblems);
    printProblems (schema.program(), assigner.problems());
    if (! arguments.usageProblems.empty())
        return exitCodeOf (base::ErrorKind::kUsage);
    if (! assigner.problems().empty())
        return exitCodeOf (base::ErrorKind::kSettingsInvalid);
    if (! arguments.wantsCheck)
        return std::nullopt;
    std::cout << schema.program() << ": settings are valid" << std::endl;
    return EXIT_SUCCESS;
}

}  // namespace

CommandLineOutcome parseCommandLine (int argc, char** argv, SettingsSchema& schema)
{
    const OptionTable table (schema);
    const Context context (poptGetContext (schema.program().c_str(), argc,
                                           const_cast<const char**> (argv), table.options(), 0),
                           poptFreeContext);
    const std::string usage = "[OPTION...] " + schema.positionalUsage();
    poptSetOtherOptionHelp (context.get(), usage.c_str());
    const Arguments arguments = readArguments (context.get(), schema);

    CommandLineOutcome outcome;
    outcome.positionals = arguments.positionals;
    if (arguments.wantsHelp)
    {
        printHelp (context.get(), schema);
        outcome.exitCode = EXIT_SUCCESS;
        return outcome;
    }
    if (arguments.wantsReference)
    {
        printReference (schema);
        outcome.exitCode = EXIT_SUCCESS;
        return outcome;
    }
    if (arguments.wantsVersion)
    {
        std::cout << schema.program() << ' ' << version() << std::endl;
        outcome.exitCode = EXIT_SUCCESS;
        return outcome;
    }
    Assigner assigner (schema);
    const char* const fromEnvironment = std::getenv (kSettingsVariable);
    if (arguments.settingsFile)
    {
        outcome.settingsFile = *arguments.settingsFile;
    }
    else if (fromEnvironment != nullptr)
    {
        outcome.settingsFile = fromEnvironment;
    }
    if (! outcome.settingsFile.empty())
        assigner.readFile (outcome.settingsFile);
    assigner.assignFlags (arguments.values);
    assigner.checkAll();
    outcome.exitCode = finish (arguments, schema, assigner);
    return outcome;
}

}  // namespace fernlift::config
