#include "ctl/ReferenceCommands.h"

#include <QJsonArray>

#include "ctl/Documentation.h"
#include "ctl/Text.h"
#include "log/Format.h"

namespace fernlift::ctl
{

base::Result<CommandReport> eventsCommand (CommandContext& context)
{
    CommandReport report;
    if (context.options.isMarkdown)
        report.text = eventsMarkdown (log::allEvents());
    QJsonArray events;
    for (const log::EventTraits& event : log::allEvents())
    {
        events.append (QJsonObject{
            { QStringLiteral ("id"), event.number },
            { QStringLiteral ("name"), toQString (event.name) },
            { QStringLiteral ("severity"), toQString (log::toString (event.severity)) },
            { QStringLiteral ("message"), toQString (event.summary) },
            { QStringLiteral ("action"), toQString (event.action) } });
    }
    report.json.insert (u"events", events);
    return report;
}

base::Result<CommandReport> errorsCommand (CommandContext& context)
{
    CommandReport report;
    if (context.options.isMarkdown)
        report.text = errorsMarkdown (base::allErrorTraits());
    QJsonArray errors;
    for (const base::ErrorTraits& error : base::allErrorTraits())
    {
        errors.append (QJsonObject{
            { QStringLiteral ("kind"), toQString (error.name) },
            { QStringLiteral ("http_status"), error.httpStatus },
            { QStringLiteral ("execution"), toQString (base::toString (error.execution)) },
            { QStringLiteral ("retryable"), error.retryable },
            { QStringLiteral ("exit_code"), error.exitCode },
            { QStringLiteral ("meaning"), toQString (error.meaning) } });
    }
    report.json.insert (u"errors", errors);
    return report;
}

}  // namespace fernlift::ctl
