#include "lab/LoadProgram.h"

#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "base/Random.h"
#include "config/Settings.h"
#include "http/SignalWatcher.h"
#include "lab/EventWait.h"
#include "lab/HistoryCheck.h"
#include "lab/LatencyReport.h"
#include "lab/Ledgers.h"
#include "lab/LoadRunner.h"
#include "lab/ProgramRun.h"
#include "log/Log.h"

namespace fernlift::lab
{
namespace
{

constexpr const char* kSummary =
    "stands in for callers.\n\nCommands:\n"
    "  run            Make the calls of a trace and write their history (--history).\n"
    "  report FILE... Print latencies and ends by request class.\n"
    "  check FILE...  Check histories against the ledgers of back ends (--ledger).\n";
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr double kMaxRate = 1e6;
constexpr base::Duration kLongest = std::chrono::hours (24);

struct LoadSettings
{
    std::vector<base::SocketAddress> routers;
    std::vector<std::string> targets;
    std::string trace = "constant";
    double rate = 10;
    base::Duration length = base::seconds (10);
    double streamingShare = 0.5;
    std::int64_t minimumTokens = 4;
    std::int64_t maximumTokens = 32;
    std::int64_t seed = 1;
    std::string history;
    std::string idPrefix = "load";
    base::Duration callTimeout = base::seconds (60);
    std::vector<std::string> ledgers;
    bool allowsBrokenCalls = false;
    bool allowsLostLedgers = false;
    log::Options logging;

    void declare (config::SettingsSchema& schema)
    {
        schema.setPositionals ("COMMAND [FILE...]")
            .addAddressList ("router", &routers, "run: HTTP interface of a router; called in turn.")
            .addStringList ("target", &targets,
                            "run: NAME[,class=C][,weight=W][,kind=chat|application][,once].")
            .addChoice ("trace", &trace, { "constant", "daily", "storm", "month-end" },
                        "run: shape of the rate over time.")
            .addReal ("rate", &rate, 0.001, kMaxRate, "run: highest calls per second.")
            .addDuration ("length_ms", &length, base::milliseconds (1), kLongest,
                          "run: time of load.")
            .addReal ("streaming_share", &streamingShare, 0, 1, "run: share of streamed answers.")
            .addInteger ("min_tokens", &minimumTokens, 1, kMaxTokens, "run: shortest answer.")
            .addInteger ("max_tokens", &maximumTokens, 1, kMaxTokens, "run: longest answer.")
            .addInteger ("seed", &seed, 0, INT64_MAX, "run: seed of the trace.")
            .addString ("history", &history, "run: file for the history of calls; empty: none.")
            .addString ("id_prefix", &idPrefix, "run: begin of request ids; new for each run.")
            .addDuration ("call_timeout_ms", &callTimeout, base::milliseconds (1), kLongest,
                          "run: longest call.")
            .addStringList ("ledger", &ledgers,
                            "check: NAME=IP:PORT of a back end, or NAME=FILE that it left.")
            .addBoolean ("allow_broken", &allowsBrokenCalls,
                         "check: calls may end without an answer, as after a killed router.")
            .addBoolean ("allow_lost_ledgers", &allowsLostLedgers,
                         "check: answers may lack a run, as after a killed back end.");
        config::addLoggingSettings (schema, &logging);
        schema.addCheck (
            [this]() -> std::vector<std::string>
            {
                if (minimumTokens > maximumTokens)
                {
                    return { "min_tokens is above max_tokens" };
                }
                return {};
            });
    }
};

base::Result<LoadOptions> loadOptions (const LoadSettings& settings)
{
    if (settings.routers.empty() || settings.targets.empty())
    {
        return base::fail (base::ErrorKind::kUsage, "run needs --router and --target");
    }
    LoadOptions options;
    options.routers = settings.routers;
    options.idPrefix = settings.idPrefix;
    options.callTimeout = settings.callTimeout;
    TraceOptions trace;
    for (const std::string& text : settings.targets)
    {
        BOOST_LEAF_AUTO (target, parseTraceTarget (text));
        trace.targets.push_back (std::move (target));
    }
    trace.shape = *parseTraceShape (settings.trace);
    trace.callsPerSecond = settings.rate;
    trace.length = settings.length;
    trace.streamingShare = settings.streamingShare;
    trace.minimumTokens = static_cast<std::uint64_t> (settings.minimumTokens);
    trace.maximumTokens = static_cast<std::uint64_t> (settings.maximumTokens);
    base::Random random (static_cast<std::uint64_t> (settings.seed));
    options.arrivals = generateTrace (trace, random);
    options.targets = std::move (trace.targets);
    return options;
}

base::Result<int> runLoad (const LoadSettings& settings)
{
    BOOST_LEAF_AUTO (options, loadOptions (settings));
    LoadRunner runner (std::move (options));
    bool isInterrupted = false;
    const http::SignalWatcher signals ([&] { isInterrupted = true; });
    runner.start();
    waitUntil ([&] { return isInterrupted || runner.isFinished(); },
               settings.length + 2 * settings.callTimeout);
    if (! settings.history.empty())
    {
        BOOST_LEAF_CHECK (writeHistory (settings.history, runner.history()));
    }
    std::cout << renderReport (reportByClass (runner.history()));
    if (runner.openCalls() > 0)
    {
        std::cout << runner.openCalls() << " calls were still open\n";
        return 1;
    }
    return 0;
}

base::Result<std::vector<CallRecord>> readHistories (const std::vector<std::string>& files)
{
    if (files.empty())
    {
        return base::fail (base::ErrorKind::kUsage, "no history file given");
    }
    std::vector<CallRecord> all;
    for (const std::string& file : files)
    {
        BOOST_LEAF_AUTO (records, readHistory (file));
        all.insert (all.end(), records.begin(), records.end());
    }
    return all;
}

base::Result<int> reportHistories (const std::vector<std::string>& files)
{
    BOOST_LEAF_AUTO (history, readHistories (files));
    std::cout << renderReport (reportByClass (history));
    return 0;
}

/// Reads a ledger from NAME=IP:PORT of a running back end, or from NAME=FILE that a back end wrote
/// at a planned stop.
base::Result<std::vector<LedgerRun>> readLedger (const std::string& text)
{
    const std::size_t equals = text.find ('=');
    if (equals == std::string::npos)
    {
        return base::fail (base::ErrorKind::kUsage,
                           "ledger '" + text + "': allowed: NAME=IP:PORT or NAME=FILE");
    }
    const std::string node = text.substr (0, equals);
    const std::string place = text.substr (equals + 1);
    if (std::filesystem::exists (place))
    {
        return readLedgerFile (node, place);
    }
    BOOST_LEAF_AUTO (address, base::SocketAddress::parse (place));
    return fetchLedger (node, address);
}

base::Result<int> checkHistories (const LoadSettings& settings,
                                  const std::vector<std::string>& files)
{
    BOOST_LEAF_AUTO (history, readHistories (files));
    std::vector<LedgerRun> ledger;
    for (const std::string& text : settings.ledgers)
    {
        BOOST_LEAF_AUTO (runs, readLedger (text));
        ledger.insert (ledger.end(), runs.begin(), runs.end());
    }
    const std::vector<Violation> violations =
        checkHistory (history, ledger, standinAnswerDigest,
                      { .allowsBrokenCalls = settings.allowsBrokenCalls,
                        .isLedgerComplete = ! settings.allowsLostLedgers });
    for (const Violation& violation : violations)
    {
        std::cout << toString (violation.kind) << ' ' << violation.requestId << ' '
                  << violation.detail << '\n';
    }
    std::cout << history.size() << " calls, " << ledger.size() << " runs, " << violations.size()
              << " violations\n";
    return violations.empty() ? 0 : 1;
}

base::Result<int> dispatch (const LoadSettings& settings, std::vector<std::string> positionals)
{
    if (positionals.empty())
    {
        return base::fail (base::ErrorKind::kUsage, "no command given; --help lists the commands");
    }
    const std::string command = positionals.front();
    positionals.erase (positionals.begin());
    if (command == "run" && positionals.empty())
    {
        return runLoad (settings);
    }
    if (command == "report")
    {
        return reportHistories (positionals);
    }
    if (command == "check")
    {
        return checkHistories (settings, positionals);
    }
    return base::fail (base::ErrorKind::kUsage,
                       "'" + command + "': unknown command; --help lists the commands");
}

}  // namespace

int runLoadProgram (int argc, char** argv)
{
    return runProgram<LoadSettings> (argc, argv, "fernlift-load", kSummary, dispatch);
}

}  // namespace fernlift::lab
