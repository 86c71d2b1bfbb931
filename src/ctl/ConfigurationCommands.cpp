#include "ctl/ConfigurationCommands.h"

#include <QJsonArray>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/Digest.h"
#include "config/Catalogue.h"
#include "ctl/CatalogueDiff.h"
#include "ctl/ControllerClient.h"
#include "ctl/Recover.h"
#include "ctl/Text.h"

namespace fernlift::ctl
{
namespace
{

using base::ErrorKind;

constexpr const char* kConfigurationPath = "/admin/v1/configuration";
/// Time that one request may wait at the controller for the routers to adopt the configuration.
constexpr base::Duration kWaitPerRequest = base::seconds (2);

/// Catalogue file with its digest and parsed content.
struct CatalogueFile
{
    std::string text;
    std::string digest;
    config::Catalogue catalogue;
};

QJsonArray toJson (const std::vector<config::CatalogueProblem>& problems)
{
    QJsonArray list;
    for (const config::CatalogueProblem& problem : problems)
    {
        list.append (QJsonObject{ { QStringLiteral ("line"), problem.line },
                                  { QStringLiteral ("key"), toQString (problem.key) },
                                  { QStringLiteral ("message"), toQString (problem.message) } });
    }
    return list;
}

base::Result<std::string> readFile (const std::string& path)
{
    std::ifstream stream (path, std::ios::binary);
    std::string text{ std::istreambuf_iterator<char> (stream), {} };
    if (! stream.is_open() || stream.bad())
    {
        return base::fail (ErrorKind::kNotFound, path + ": cannot be read");
    }
    return text;
}

base::Result<CatalogueFile> readCatalogueFile (const std::string& path)
{
    BOOST_LEAF_AUTO (text, readFile (path));
    config::CatalogueOutcome outcome = config::parseCatalogue (text);
    if (! outcome.catalogue)
    {
        const std::string count = std::to_string (outcome.problems.size());
        return boost::leaf::new_error (
            base::Error{ ErrorKind::kConfigurationInvalid, path + ": problems found: " + count },
            ReportedProblems{ toJson (outcome.problems) });
    }
    std::string digest = base::sha256Hex (text);
    return CatalogueFile{ std::move (text), std::move (digest), *std::move (outcome.catalogue) };
}

QJsonObject summaryOf (const CatalogueFile& file)
{
    const config::Catalogue& catalogue = file.catalogue;
    return QJsonObject{
        { QStringLiteral ("cell"), toQString (catalogue.cell.value) },
        { QStringLiteral ("version"), static_cast<qint64> (catalogue.version) },
        { QStringLiteral ("digest"), toQString (file.digest) },
        { QStringLiteral ("zones"), static_cast<qint64> (catalogue.zones.size()) },
        { QStringLiteral ("classes"), static_cast<qint64> (catalogue.classes.size()) },
        { QStringLiteral ("models"), static_cast<qint64> (catalogue.models.size()) },
        { QStringLiteral ("adapters"), static_cast<qint64> (catalogue.adapters.size()) },
        { QStringLiteral ("applications"), static_cast<qint64> (catalogue.applications.size()) }
    };
}

/// Configuration that the cell uses.
struct ConfigurationInForce
{
    std::uint64_t version = 0;  ///< 0 if no configuration has been applied yet.
    std::string digest;
    config::Catalogue catalogue;
};

base::Result<ConfigurationInForce> parseInForce (const QJsonObject& answer)
{
    ConfigurationInForce inForce;
    inForce.version = static_cast<std::uint64_t> (answer.value (u"version").toInteger());
    if (inForce.version == 0)
        return inForce;
    inForce.digest = answer.value (u"digest").toString().toStdString();
    config::CatalogueOutcome outcome =
        config::parseCatalogue (answer.value (u"text").toString().toStdString());
    if (! outcome.catalogue)
    {
        return base::fail (ErrorKind::kInternal,
                           "this version of fernliftctl cannot read the configuration in force");
    }
    inForce.catalogue = *std::move (outcome.catalogue);
    return inForce;
}

base::Result<ConfigurationInForce> fetchInForce (ControllerClient& client)
{
    return recover (
        [&]() -> base::Result<ConfigurationInForce>
        {
            BOOST_LEAF_AUTO (answer, client.call (AdminCall{ "GET", kConfigurationPath, "" }));
            return parseInForce (answer);
        },
        [] (const base::Error& error, const ReportedProblems&) -> base::Result<ConfigurationInForce>
        {
            if (error.kind == ErrorKind::kNotFound)
                return ConfigurationInForce{};
            return boost::leaf::new_error (error);
        });
}

/// Outcome that apply would have for a file.
struct Verdict
{
    std::string_view name;
    int exitCode = 0;
};

Verdict verdictOf (const CatalogueFile& file, const ConfigurationInForce& inForce)
{
    const std::uint64_t version = file.catalogue.version;
    if (version > inForce.version)
        return Verdict{ "would_replace", 0 };
    if (version < inForce.version)
    {
        return Verdict{ "configuration_stale",
                        base::traitsOf (ErrorKind::kConfigurationStale).exitCode };
    }
    if (file.digest == inForce.digest)
        return Verdict{ "already_in_force", 0 };
    return Verdict{ "configuration_conflict",
                    base::traitsOf (ErrorKind::kConfigurationConflict).exitCode };
}

QJsonArray toJson (const std::vector<CatalogueChange>& changes)
{
    QJsonArray list;
    for (const CatalogueChange& change : changes)
    {
        list.append (QJsonObject{ { QStringLiteral ("change"), toQString (toString (change.kind)) },
                                  { QStringLiteral ("item"), toQString (change.item) },
                                  { QStringLiteral ("key"), toQString (change.key) },
                                  { QStringLiteral ("before"), toQString (change.before) },
                                  { QStringLiteral ("after"), toQString (change.after) } });
    }
    return list;
}

std::string formatChange (const CatalogueChange& change)
{
    switch (change.kind)
    {
        case ChangeKind::kAdded:
            return "+ " + change.item + "\n";
        case ChangeKind::kRemoved:
            return "- " + change.item + "\n";
        case ChangeKind::kChanged:
            break;
    }
    return "~ " + change.item + " " + change.key + ": " + change.before + " -> " + change.after
           + "\n";
}

bool isInForceEverywhere (const QJsonObject& answer)
{
    return answer.value (u"in_force_everywhere").toBool();
}

AdminCall applyCall (const std::string& text, bool isWaiting)
{
    const std::string query =
        "?wait=1&timeout_ms=" + std::to_string (base::toMilliseconds (kWaitPerRequest));
    return AdminCall{ "POST", kConfigurationPath + (isWaiting ? query : std::string()), text };
}

/// Sends the call. If it fails after an attempt whose response was lost, adds to the error message
/// that this attempt may have applied the file.
base::Result<QJsonObject> callReportingLostAnswers (ControllerClient& client, const AdminCall& call)
{
    return recover (
        [&] { return client.call (call); },
        [&] (const base::Error& error,
             const ReportedProblems& problems) -> base::Result<QJsonObject>
        {
            base::Error extended = error;
            if (client.mayHaveRunBefore())
            {
                extended.message +=
                    " (the answer to an earlier attempt was lost: the file may have been in force)";
            }
            return boost::leaf::new_error (extended, problems);
        });
}

bool isUnavailability (ErrorKind kind)
{
    return kind == ErrorKind::kConnectionFailed || kind == ErrorKind::kNotLeader
           || kind == ErrorKind::kNoQuorum;
}

/// Sends a file again that was accepted before, and returns the new response. While no controller
/// responds, returns `known`, the response received last.
base::Result<QJsonObject> repeatApply (ControllerClient& client, const std::string& text,
                                       const QJsonObject& known)
{
    return recover (
        [&] { return client.call (applyCall (text, true)); },
        [&] (const base::Error& error, const ReportedProblems&) -> base::Result<QJsonObject>
        {
            if (isUnavailability (error.kind))
                return known;
            return base::fail (
                error.kind,
                "the file was accepted, but waiting for the routers failed: " + error.message);
        });
}

/// Repeats the request until an accepted file is in force at every live router or the deadline
/// passes. The result of the first response is kept.
base::Result<QJsonObject> waitInForce (const CommandContext& context, ControllerClient& client,
                                       const std::string& text, QJsonObject answer)
{
    const QJsonValue firstResult = answer.value (u"result");
    while (! isInForceEverywhere (answer) && context.transport.now() < context.deadline)
    {
        BOOST_LEAF_ASSIGN (answer, repeatApply (client, text, answer));
    }
    answer.insert (u"result", firstResult);
    return answer;
}

}  // namespace

base::Result<CommandReport> validateCommand (CommandContext& context)
{
    BOOST_LEAF_AUTO (file, readCatalogueFile (context.arguments.front()));
    CommandReport report;
    report.json = summaryOf (file);
    return report;
}

base::Result<CommandReport> diffCommand (CommandContext& context)
{
    BOOST_LEAF_AUTO (file, readCatalogueFile (context.arguments.front()));
    ControllerClient client (context.transport, context.options.controllers, context.deadline);
    BOOST_LEAF_AUTO (inForce, fetchInForce (client));
    const std::vector<CatalogueChange> changes =
        compareCatalogues (inForce.catalogue, file.catalogue);
    const Verdict verdict = verdictOf (file, inForce);

    CommandReport report;
    report.exitCode = verdict.exitCode;
    report.json.insert (u"in_force_version", static_cast<qint64> (inForce.version));
    report.json.insert (u"version", static_cast<qint64> (file.catalogue.version));
    report.json.insert (u"verdict", toQString (verdict.name));
    report.json.insert (u"changes", toJson (changes));
    for (const CatalogueChange& change : changes)
        report.text += formatChange (change);
    report.text += "version in force: " + std::to_string (inForce.version)
                   + ", version of the file: " + std::to_string (file.catalogue.version) + ": "
                   + std::string (verdict.name) + "\n";
    return report;
}

base::Result<CommandReport> applyCommand (CommandContext& context)
{
    BOOST_LEAF_AUTO (file, readCatalogueFile (context.arguments.front()));
    ControllerClient client (context.transport, context.options.controllers, context.deadline);
    BOOST_LEAF_AUTO (answer, callReportingLostAnswers (client, applyCall (file.text, false)));
    if (context.options.isWaiting)
    {
        BOOST_LEAF_ASSIGN (answer, waitInForce (context, client, file.text, answer));
    }
    CommandReport report;
    report.json = answer;
    const bool isLate = context.options.isWaiting && ! isInForceEverywhere (answer);
    if (isLate)
        report.exitCode = base::traitsOf (ErrorKind::kDeadlinePassed).exitCode;
    return report;
}

}  // namespace fernlift::ctl
