#include <optional>
#include <string>

#include "config/Settings.h"
#include "log/Format.h"
#include "log/Log.h"

namespace fernlift::config
{
namespace
{

constexpr log::Severity kSeverities[] = { log::Severity::kDebug, log::Severity::kInfo,
                                          log::Severity::kWarning, log::Severity::kError };

std::optional<std::string> assignFormat (log::Options* target, const std::string& text)
{
    if (text != "text" && text != "json")
    {
        return "found '" + text + "', allowed: one of text, json";
    }
    target->format = text == "json" ? log::Format::kJson : log::Format::kText;
    return std::nullopt;
}

std::optional<std::string> assignLevel (log::Options* target, const std::string& text)
{
    for (const log::Severity severity : kSeverities)
    {
        if (log::toString (severity) != text)
            continue;
        target->minimumSeverity = severity;
        return std::nullopt;
    }
    return "found '" + text + "', allowed: one of debug, info, warning, error";
}

}  // namespace

void addLoggingSettings (SettingsSchema& schema, log::Options* target)
{
    SettingsSchema::Setting format;
    format.key = "log_format";
    format.typeName = "one of text, json";
    format.help = "Form of the log.";
    format.defaultText = target->format == log::Format::kJson ? "json" : "text";
    format.assign = [target] (const std::string& text) { return assignFormat (target, text); };
    schema.add (format);

    SettingsSchema::Setting level;
    level.key = "log_level";
    level.typeName = "one of debug, info, warning, error";
    level.help = "Least severity that is logged.";
    level.defaultText = log::toString (target->minimumSeverity);
    level.assign = [target] (const std::string& text) { return assignLevel (target, text); };
    schema.add (level);
}

}  // namespace fernlift::config
