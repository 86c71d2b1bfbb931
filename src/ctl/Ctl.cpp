#include "ctl/Ctl.h"

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <ostream>

#include "ctl/CellCommands.h"
#include "ctl/ConfigurationCommands.h"
#include "ctl/ControllerClient.h"
#include "ctl/ReferenceCommands.h"
#include "ctl/TableFormat.h"
#include "ctl/Text.h"

namespace fernlift::ctl
{
namespace
{

using base::ErrorKind;

constexpr std::array kCommands{
    Command{ "apply", "FILE", 1, 1, applyCommand, "Put a catalogue file in force (--wait)." },
    Command{ "validate", "FILE", 1, 1, validateCommand, "Check a catalogue file." },
    Command{ "diff", "FILE", 1, 1, diffCommand, "Compare a file with the one in force." },
    Command{ "status", "", 0, 0, statusCommand, "Show the state of the cell." },
    Command{ "explain", "model|runner|request|configuration [NAME]", 1, 2, explainCommand,
             "Show decisions and their reasons." },
    Command{ "drain", "RUNNER", 1, 1, drainCommand, "Take a runner out of use (--undo)." },
    Command{ "members", "[add ID PEER_ADDRESS ADMIN_ADDRESS ZONE|promote ID|remove ID]", 0, 5,
             membersCommand, "Show or change the controllers." },
    Command{ "quarantine", "[release REQUEST|release-all]", 0, 2, quarantineCommand,
             "Show or release requests under which runners ended." },
    Command{ "events", "", 0, 0, eventsCommand, "List the events of the logs (--markdown)." },
    Command{ "errors", "", 0, 0, errorsCommand, "List the kinds of errors (--markdown)." },
};

base::Result<CommandReport> dispatch (const CtlOptions& options,
                                      const std::vector<std::string>& positionals,
                                      AdminTransport& transport)
{
    if (positionals.empty())
    {
        return base::fail (ErrorKind::kUsage, "no command is given; --help lists them");
    }
    const auto command =
        std::find_if (kCommands.begin(), kCommands.end(),
                      [&] (const Command& each) { return each.name == positionals.front(); });
    if (command == kCommands.end())
    {
        return base::fail (ErrorKind::kUsage, "found '" + positionals.front()
                                                  + "', which is no command; --help lists them");
    }
    CommandContext context{ options,
                            { positionals.begin() + 1, positionals.end() },
                            transport,
                            transport.now() + options.timeout };
    const std::size_t count = context.arguments.size();
    if (count < command->minimumArguments || count > command->maximumArguments)
    {
        return base::fail (ErrorKind::kUsage, "allowed: " + std::string (command->name) + " "
                                                  + std::string (command->usage));
    }
    return command->run (context);
}

bool isJson (const CtlOptions& options) { return options.output == "json"; }

int printReport (const CtlOptions& options, const CommandReport& report, std::ostream& output)
{
    if (options.isMarkdown && ! report.text.empty())
    {
        output << report.text;
    }
    else if (isJson (options))
    {
        output << toCompactJson (report.json) << '\n';
    }
    else
    {
        output << (report.text.empty() ? renderObject (report.json) : report.text);
    }
    output.flush();
    return report.exitCode;
}

void printErrorAsJson (const base::Error& error, const QJsonArray& problems, std::ostream& output)
{
    QJsonObject object{ { QStringLiteral ("kind"), toQString (base::traitsOf (error.kind).name) },
                        { QStringLiteral ("message"), toQString (error.message) } };
    if (! problems.isEmpty())
        object.insert (u"problems", problems);
    output << toCompactJson (QJsonObject{ { QStringLiteral ("error"), object } }) << std::endl;
}

void printErrorAsText (const base::Error& error, const QJsonArray& problems,
                       const std::string& file, std::ostream& errors)
{
    errors << "fernliftctl: " << base::traitsOf (error.kind).name << ": " << error.message << '\n';
    for (const auto& value : problems)
    {
        const QJsonObject problem = value.toObject();
        const std::string key = problem.value (u"key").toString().toStdString();
        errors << file << ':' << problem.value (u"line").toInteger() << ": "
               << (key.empty() ? "" : key + ": ")
               << problem.value (u"message").toString().toStdString() << '\n';
    }
    errors.flush();
}

}  // namespace

std::span<const Command> allCommands() { return kCommands; }

std::string commandsHelp()
{
    std::string text = "operates a cell of fernlift.\n\nCommands:\n";
    for (const Command& command : kCommands)
    {
        text += "  " + std::string (command.name) + " " + std::string (command.usage) + "\n      "
                + std::string (command.summary) + "\n";
    }
    return text;
}

int runCommand (const CtlOptions& options, const std::vector<std::string>& positionals,
                AdminTransport& transport, std::ostream& output, std::ostream& errors)
{
    const std::string file = positionals.size() > 1 ? positionals[1] : "";
    const auto onError = [&] (const base::Error& error, const ReportedProblems* problems)
    {
        const QJsonArray list = problems == nullptr ? QJsonArray() : problems->list;
        if (isJson (options))
        {
            printErrorAsJson (error, list, output);
        }
        else
        {
            printErrorAsText (error, list, file, errors);
        }
        return base::traitsOf (error.kind).exitCode;
    };
    return boost::leaf::try_handle_all (
        [&]() -> base::Result<int>
        {
            BOOST_LEAF_AUTO (report, dispatch (options, positionals, transport));
            return printReport (options, report, output);
        },
        onError,
        [&] {
            return onError (base::Error{ ErrorKind::kInternal, "error without a description" },
                            nullptr);
        });
}

}  // namespace fernlift::ctl
