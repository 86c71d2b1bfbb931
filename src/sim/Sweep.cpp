#include "sim/Sweep.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr std::size_t kTraceLinesShown = 30;
constexpr std::size_t kFailuresShown = 20;

void add (SweepReport& sum, SimulationReport report)
{
    ++sum.seedsRun;
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind)
        sum.faults[kind] += report.faults[kind];
    sum.requests.sent += report.requests.sent;
    sum.requests.served += report.requests.served;
    sum.requests.refusedNotRun += report.requests.refusedNotRun;
    sum.requests.failedUnknown += report.requests.failedUnknown;
    sum.requests.disconnectedCallers += report.requests.disconnectedCallers;
    sum.requests.lostWithRouter += report.requests.lostWithRouter;
    sum.events += report.events;
    sum.committedEntries += report.committedEntries;
    sum.terms += report.terms;
    sum.loads += report.loads;
    sum.appliesAnswered += report.appliesAnswered;
    sum.readsAnswered += report.readsAnswered;
    sum.membersReplaced += report.membersReplaced;
    sum.backEndsLeft += report.backEndsLeft;
    if (report.violations.empty())
        return;
    sum.failures.push_back (
        { report.seed, std::move (report.violations), std::move (report.trace) });
}

void describeFailure (std::ostream& text, const FailedSeed& failure,
                      const SimulationOptions& options)
{
    text << "seed " << failure.seed << ": " << failure.violations.size() << " violations\n";
    for (const Violation& violation : failure.violations)
    {
        const double at = static_cast<double> (violation.at.time_since_epoch().count()) / 1e6;
        text << "  " << std::fixed << at << " " << violation.invariant << ": " << violation.detail
             << "\n";
    }
    text << "  replay: " << replayCommand (options, failure.seed) << "\n";
}

}  // namespace

SweepReport runSweep (
    const SweepOptions& options,
    const std::function<void (std::uint64_t, const SimulationReport&)>& onProgress)
{
    SweepReport sum;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{ 0 };
    std::atomic<bool> isStopping{ false };
    const auto work = [&]
    {
        while (! isStopping)
        {
            const std::uint64_t number = next++;
            if (number >= options.seeds)
                return;
            SimulationOptions simulation = options.simulation;
            simulation.seed = options.firstSeed + number;
            SimulationReport report = simulate (simulation);
            if (! report.violations.empty() && options.stopsAtFirstViolation)
                isStopping = true;
            const std::lock_guard lock (mutex);
            if (onProgress)
                onProgress (sum.seedsRun + 1, report);
            add (sum, std::move (report));
        }
    };
    std::vector<std::thread> threads;
    for (unsigned thread = 1; thread < options.threads; ++thread)
        threads.emplace_back (work);
    work();
    for (std::thread& thread : threads)
        thread.join();
    std::sort (sum.failures.begin(), sum.failures.end(),
               [] (const auto& left, const auto& right) { return left.seed < right.seed; });
    return sum;
}

std::string replayCommand (const SimulationOptions& options, std::uint64_t seed)
{
    std::string command = "fernlift-sim replay --seed " + std::to_string (seed);
    if (options.plantedFault != PlantedFault::kNone)
    {
        command += " --planted-fault " + std::string (toString (options.plantedFault));
    }
    if (options.hasHourCut)
        command += " --hour-cut";
    if (! options.hasFaults)
        command += " --no-faults";
    return command;
}

std::string describe (const SweepReport& report, const SweepOptions& options)
{
    std::ostringstream text;
    text << "seeds run: " << report.seedsRun << " (from " << options.firstSeed << ")\n"
         << "events: " << report.events << ", committed entries: " << report.committedEntries
         << ", terms: " << report.terms << ", loads: " << report.loads << "\n"
         << "applies answered: " << report.appliesAnswered << ", reads: " << report.readsAnswered
         << ", members replaced: " << report.membersReplaced
         << ", back ends that left: " << report.backEndsLeft << "\n"
         << "requests: " << report.requests.sent << " sent, " << report.requests.served
         << " served, " << report.requests.refusedNotRun << " refused (not run), "
         << report.requests.failedUnknown << " failed (ran or unknown), "
         << report.requests.disconnectedCallers << " callers left, "
         << report.requests.lostWithRouter << " lost with their router\nfaults brought about:\n";
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind)
    {
        text << "  " << toString (static_cast<FaultKind> (kind)) << ": " << report.faults[kind]
             << "\n";
    }
    text << "seeds with violations: " << report.failures.size() << "\n";
    const std::size_t shown = std::min (report.failures.size(), kFailuresShown);
    for (std::size_t number = 0; number < shown; ++number)
    {
        describeFailure (text, report.failures[number], options.simulation);
    }
    if (shown == 0)
        return text.str();
    text << "last events of seed " << report.failures.front().seed << ":\n";
    const std::vector<std::string>& trace = report.failures.front().trace;
    const std::size_t first = trace.size() - std::min (trace.size(), kTraceLinesShown);
    for (std::size_t line = first; line < trace.size(); ++line)
        text << "  " << trace[line] << "\n";
    return text.str();
}

}  // namespace fernlift::sim
