#include "lab/Demo.h"

#include <QElapsedTimer>
#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "lab/EventWait.h"
#include "lab/FleetProbes.h"
#include "lab/HistoryCheck.h"
#include "lab/LatencyReport.h"
#include "lab/Ledgers.h"
#include "lab/LoadRunner.h"

namespace fernlift::lab
{
namespace
{

// Names that examples/demo.toml defines.
constexpr const char* kSmallModel = "assistant-small";
constexpr const char* kStormModel = "assistant-large";
constexpr std::size_t kStormModelMaximumReplicas = 2;
constexpr const char* kApplication = "portal";
constexpr const char* kUrgent = "urgent";
constexpr const char* kStandard = "standard";

constexpr std::uint64_t kTraceSeed = 20261202;
constexpr int kStormCalls = 80;
constexpr base::Duration kStormLength = base::milliseconds (200);
constexpr double kSteadyRate = 60;
constexpr base::Duration kSteadyLength = base::seconds (4);
constexpr base::Duration kFaultAt = base::milliseconds (1500);
constexpr base::Duration kLeaderTimeout = base::seconds (15);
constexpr base::Duration kRouterTimeout = base::seconds (15);
constexpr base::Duration kStopTimeout = base::seconds (30);
constexpr base::Duration kProbeInterval = base::milliseconds (20);
constexpr base::Duration kLoadTimeout = base::seconds (90);
constexpr base::Duration kCallTimeout = base::seconds (60);

double inMilliseconds (base::Duration duration)
{
    return std::chrono::duration<double, std::milli> (duration).count();
}

base::Duration timeOf (const QElapsedTimer& timer)
{
    return std::chrono::duration_cast<base::Duration> (
        std::chrono::nanoseconds (timer.nsecsElapsed()));
}

base::Result<void> require (bool condition, const std::string& what)
{
    if (! condition)
    {
        return base::fail (base::ErrorKind::kInternal, what);
    }
    return {};
}

class Demo
{
public:
    Demo (FleetSpec spec, const FleetFolders& folders, std::string catalogue, std::ostream& output)
        : m_fleet (std::move (spec), folders),
          m_catalogue (std::move (catalogue)),
          m_output (output)
    {
    }

    base::Result<int> run()
    {
        BOOST_LEAF_CHECK (startFleet());
        BOOST_LEAF_CHECK (applyCatalogue());
        BOOST_LEAF_CHECK (showColdAndWarmAnswer());
        BOOST_LEAF_CHECK (showApplicationCall());
        BOOST_LEAF_CHECK (showStorm());
        BOOST_LEAF_CHECK (showKilledLeader());
        BOOST_LEAF_CHECK (showPlannedStopOfRouter());
        BOOST_LEAF_CHECK (showPlannedStopOfEngine());
        BOOST_LEAF_CHECK (showStatusAndReasons());
        BOOST_LEAF_CHECK (checkAllCalls());
        return stopFleet();
    }

private:
    void heading (const std::string& text) { m_output << "\n== " << text << "\n" << std::flush; }

    void line (const char* format, auto... values)
    {
        char text[512];
        std::snprintf (text, sizeof (text), format, values...);
        m_output << "   " << text << "\n" << std::flush;
    }

    base::Result<void> startFleet()
    {
        heading (
            "Start: controllers, routers, engines, application runner, weight store, machine list");
        QElapsedTimer timer;
        timer.start();
        BOOST_LEAF_CHECK (m_fleet.start());
        BOOST_LEAF_AUTO (leader, waitForLeader (m_fleet, kLeaderTimeout));
        line ("%zu processes healthy and %s leads after %.0f ms", m_fleet.status().size(),
              leader.c_str(), inMilliseconds (timeOf (timer)));
        return {};
    }

    base::Result<void> applyCatalogue()
    {
        heading ("Apply " + m_catalogue + " with fernliftctl apply --wait");
        QElapsedTimer timer;
        timer.start();
        const CtlOutcome outcome = runCtl (m_fleet, { "apply", m_catalogue, "--wait" });
        BOOST_LEAF_CHECK (require (outcome.exitCode == 0, "apply failed: " + outcome.output));
        BOOST_LEAF_CHECK (waitForRouters (m_fleet, kRouterTimeout));
        line ("committed and in force at every router after %.0f ms",
              inMilliseconds (timeOf (timer)));
        return {};
    }

    /// Makes the calls, adds them to the history and requires that all of them end in time.
    base::Result<std::vector<CallRecord>> runLoad (LoadOptions options)
    {
        LoadRunner runner (std::move (options));
        runner.start();
        const bool isFinished = waitUntil ([&] { return runner.isFinished(); }, kLoadTimeout);
        BOOST_LEAF_CHECK (require (isFinished, "calls are still open"));
        m_history.insert (m_history.end(), runner.history().begin(), runner.history().end());
        return runner.history();
    }

    LoadOptions loadOptions (const std::string& prefix, std::vector<TraceTarget> targets,
                             std::vector<Arrival> arrivals)
    {
        LoadOptions options;
        options.routers = m_fleet.httpAddresses (NodeRole::kRouter);
        options.targets = std::move (targets);
        options.arrivals = std::move (arrivals);
        options.idPrefix = prefix;
        options.callTimeout = kCallTimeout;
        return options;
    }

    base::Result<CallRecord> oneCall (const std::string& prefix, const TraceTarget& target)
    {
        BOOST_LEAF_AUTO (history,
                         runLoad (loadOptions (prefix, { target }, { { {}, 0, true, 24 } })));
        const CallRecord& call = history.front();
        BOOST_LEAF_CHECK (
            require (call.isAnswerComplete && call.status == 200,
                     prefix + ": status " + std::to_string (call.status) + " " + call.errorKind));
        return call;
    }

    base::Result<void> showColdAndWarmAnswer()
    {
        heading (std::string ("A streamed answer of a model that is not loaded, then again: ")
                 + kSmallModel);
        const TraceTarget target{ CallKind::kChat, kSmallModel, kStandard, 1, true };
        BOOST_LEAF_AUTO (cold, oneCall ("cold", target));
        line ("cold: first token after %7.1f ms, whole answer after %7.1f ms",
              static_cast<double> (cold.firstByteMicroseconds) / 1000,
              static_cast<double> (cold.endMicroseconds) / 1000);
        BOOST_LEAF_AUTO (warm, oneCall ("warm", target));
        line ("warm: first token after %7.1f ms, whole answer after %7.1f ms",
              static_cast<double> (warm.firstByteMicroseconds) / 1000,
              static_cast<double> (warm.endMicroseconds) / 1000);
        return {};
    }

    base::Result<void> showApplicationCall()
    {
        heading (std::string ("A call of the application back end: /apps/") + kApplication);
        BOOST_LEAF_AUTO (call, oneCall ("application", { CallKind::kApplication, kApplication,
                                                         kUrgent, 1, true }));
        line ("status %d after %.1f ms", call.status,
              static_cast<double> (call.endMicroseconds) / 1000);
        return {};
    }

    base::Result<void> showStorm()
    {
        heading (std::string ("Storm: ") + std::to_string (kStormCalls)
                 + " callers at both routers within 200 ms ask for a model that is not loaded: "
                 + kStormModel);
        std::vector<Arrival> arrivals;
        arrivals.reserve (kStormCalls);
        for (int index = 0; index < kStormCalls; ++index)
        {
            arrivals.push_back ({ kStormLength * index / kStormCalls, 0, index % 2 == 0, 16 });
        }
        BOOST_LEAF_AUTO (
            history,
            runLoad (loadOptions ("storm", { { CallKind::kChat, kStormModel, kStandard, 1, true } },
                                  arrivals)));
        printLoad (history);
        const std::size_t replicas = countLoadedReplicas (m_fleet, kStormModel);
        line ("replicas loaded: %zu, allowed: %zu", replicas, kStormModelMaximumReplicas);
        BOOST_LEAF_CHECK (require (replicas >= 1 && replicas <= kStormModelMaximumReplicas,
                                   "wrong number of replicas"));
        return requireAllAnswered (history);
    }

    /// Runs a steady load on the loaded model and the application, and calls `fault` during it.
    base::Result<std::vector<CallRecord>> runSteadyLoad (
        const std::string& prefix, const std::function<base::Result<void>()>& fault)
    {
        TraceOptions trace;
        trace.callsPerSecond = kSteadyRate;
        trace.length = kSteadyLength;
        trace.targets = { { CallKind::kChat, kSmallModel, kStandard, 3, true },
                          { CallKind::kApplication, kApplication, kUrgent, 1, true } };
        base::Random random (kTraceSeed);
        LoadRunner runner (loadOptions (prefix, trace.targets, generateTrace (trace, random)));
        runner.start();
        handleEventsFor (kFaultAt);
        BOOST_LEAF_CHECK (fault());
        const bool isFinished = waitUntil ([&] { return runner.isFinished(); }, kLoadTimeout);
        BOOST_LEAF_CHECK (require (isFinished, "calls are still open"));
        m_history.insert (m_history.end(), runner.history().begin(), runner.history().end());
        printLoad (runner.history());
        return runner.history();
    }

    base::Result<void> showKilledLeader()
    {
        heading ("The leading controller is killed under load");
        std::string killed;
        BOOST_LEAF_AUTO (
            history,
            runSteadyLoad ("leader",
                           [&]() -> base::Result<void>
                           {
                               BOOST_LEAF_ASSIGN (killed, waitForLeader (m_fleet, kLeaderTimeout));
                               QElapsedTimer timer;
                               timer.start();
                               BOOST_LEAF_CHECK (m_fleet.kill (killed));
                               BOOST_LEAF_AUTO (next, waitForLeader (m_fleet, kLeaderTimeout));
                               line ("%s killed; %s leads after %.0f ms", killed.c_str(),
                                     next.c_str(), inMilliseconds (timeOf (timer)));
                               return {};
                           }));
        BOOST_LEAF_CHECK (requireAllAnswered (history));
        BOOST_LEAF_CHECK (m_fleet.restart (killed));
        line ("%s is back", killed.c_str());
        return {};
    }

    base::Result<void> showPlannedStopOfRouter()
    {
        const std::string router = m_fleet.namesOf (NodeRole::kRouter).front();
        heading ("Planned stop (SIGTERM) of " + router + " under load");
        BOOST_LEAF_AUTO (history, runSteadyLoad ("stop", [&] { return stopProcess (router); }));
        BOOST_LEAF_CHECK (requireAllAnswered (history));
        BOOST_LEAF_CHECK (m_fleet.restart (router));
        return waitForRouters (m_fleet, kRouterTimeout);
    }

    /// Stops the engine that holds the model under load, after another engine has loaded the model.
    base::Result<void> showPlannedStopOfEngine()
    {
        const std::optional<std::string> engine = findEngineWith (m_fleet, kSmallModel);
        BOOST_LEAF_CHECK (
            require (engine.has_value(), std::string ("no engine holds ") + kSmallModel));
        heading ("Drain (fernliftctl drain) and planned stop of " + *engine + " under load");
        BOOST_LEAF_AUTO (history, runSteadyLoad ("drain",
                                                 [&]() -> base::Result<void>
                                                 {
                                                     BOOST_LEAF_CHECK (drain (*engine));
                                                     return stopProcess (*engine);
                                                 }));
        BOOST_LEAF_CHECK (requireAllAnswered (history));
        BOOST_LEAF_CHECK (m_fleet.restart (*engine));
        const CtlOutcome undone = runCtl (m_fleet, { "drain", *engine, "--undo" });
        return require (undone.exitCode == 0, "drain --undo failed: " + undone.output);
    }

    /// Runs fernliftctl drain and waits until another engine holds the model.
    base::Result<void> drain (const std::string& engine)
    {
        QElapsedTimer timer;
        timer.start();
        const CtlOutcome outcome = runCtl (m_fleet, { "drain", engine });
        BOOST_LEAF_CHECK (require (outcome.exitCode == 0, "drain failed: " + outcome.output));
        std::optional<std::string> next;
        const bool isReplaced = waitUntil (
            [&]
            {
                handleEventsFor (kProbeInterval);
                next = findEngineWith (m_fleet, kSmallModel);
                return next && *next != engine;
            },
            kStopTimeout);
        BOOST_LEAF_CHECK (
            require (isReplaced, std::string (kSmallModel) + " was not loaded elsewhere"));
        line ("%s is ready at %s after %.0f ms", kSmallModel, next->c_str(),
              inMilliseconds (timeOf (timer)));
        return {};
    }

    base::Result<void> stopProcess (const std::string& node)
    {
        QElapsedTimer timer;
        timer.start();
        BOOST_LEAF_CHECK (m_fleet.requestStop (node));
        BOOST_LEAF_CHECK (m_fleet.waitForEnd (node, kStopTimeout));
        line ("%s ended with exit code %d after %.0f ms", node.c_str(), exitCodeOf (node),
              inMilliseconds (timeOf (timer)));
        return require (exitCodeOf (node) == 0, node + " did not end with exit code 0");
    }

    base::Result<void> showStatusAndReasons()
    {
        heading ("fernliftctl status");
        const CtlOutcome status = runCtl (m_fleet, { "status" });
        m_output << status.output;
        BOOST_LEAF_CHECK (require (status.exitCode == 0, "status failed"));
        heading (std::string ("fernliftctl explain model ") + kStormModel);
        const CtlOutcome explain = runCtl (m_fleet, { "explain", "model", kStormModel });
        m_output << explain.output;
        return require (explain.exitCode == 0, "explain failed");
    }

    base::Result<void> checkAllCalls()
    {
        heading ("All calls against what the back ends ran");
        BOOST_LEAF_AUTO (ledger, fetchLedgers (m_fleet));
        const std::vector<Violation> violations =
            checkHistory (m_history, ledger, standinAnswerDigest, {});
        for (const Violation& violation : violations)
        {
            line ("%s %s %s", std::string (toString (violation.kind)).c_str(),
                  violation.requestId.c_str(), violation.detail.c_str());
        }
        line ("%zu calls, %zu runs, %zu violations", m_history.size(), ledger.size(),
              violations.size());
        return require (violations.empty(), "the checks of the histories found violations");
    }

    base::Result<int> stopFleet()
    {
        heading ("Planned stop of the whole fleet");
        QElapsedTimer timer;
        timer.start();
        BOOST_LEAF_CHECK (m_fleet.stop());
        line ("every process ended by itself after %.0f ms", inMilliseconds (timeOf (timer)));
        return 0;
    }

    int exitCodeOf (const std::string& name) const
    {
        for (const NodeStatus& node : m_fleet.status())
        {
            if (node.name == name)
            {
                return node.exitCode;
            }
        }
        return -1;
    }

    void printLoad (const std::vector<CallRecord>& history)
    {
        m_output << renderReport (reportByClass (history));
    }

    static base::Result<void> requireAllAnswered (const std::vector<CallRecord>& history)
    {
        for (const CallRecord& call : history)
        {
            BOOST_LEAF_CHECK (require (call.isAnswerComplete || call.isResent,
                                       call.requestId + " ended with status "
                                           + std::to_string (call.status) + " " + call.errorKind
                                           + ", " + std::string (toString (call.end))));
        }
        return {};
    }

    Fleet m_fleet;
    std::string m_catalogue;
    std::ostream& m_output;
    std::vector<CallRecord> m_history;
};

}  // namespace

base::Result<int> runDemo (FleetSpec spec, const FleetFolders& folders,
                           const std::string& catalogue, std::ostream& output)
{
    return Demo (std::move (spec), folders, catalogue, output).run();
}

}  // namespace fernlift::lab
