// Experiments on the latency and refusals that callers see with six routers and twenty engines:
// urgent requests beside deep work, a burst of requests to a cold model, and hedging. docs/design/
// quotes the printed tables.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

#include "router/FleetExperimentTestSupport.h"

namespace fernlift::router
{
namespace
{

using base::milliseconds;
using base::seconds;
using routing::testing::quantile;
using testing::Call;
using testing::CallId;
using testing::FleetExperiment;
using testing::FleetOptions;

constexpr int kSeeds = 3;
constexpr int kPrompts = 8;

/// Poisson process of arrivals.
class PoissonSource
{
public:
    PoissonSource (double perSecond, base::TimePoint start)
        : m_perSecond (perSecond), m_next (start)
    {
    }
    /// Number of arrivals up to `now` since the last call.
    int due (base::TimePoint now, base::Random& random)
    {
        int count = 0;
        for (; m_next <= now; ++count)
        {
            m_next +=
                base::Duration (static_cast<std::int64_t> (random.exponential (1e6 / m_perSecond)));
        }
        return count;
    }

private:
    double m_perSecond;
    base::TimePoint m_next;
};

double millisecondsOf (base::Duration duration)
{
    return static_cast<double> (duration.count()) / 1000;
}

Call urgentCall (base::Random& random)
{
    Call call;
    call.router = static_cast<int> (random.uniformInteger (0, 5));
    const auto prompt = static_cast<std::uint64_t> (random.uniformInteger (1, kPrompts));
    for (std::uint64_t block = 0; block < 20; ++block)
        call.blocks.push_back (prompt * 100 + block);
    const auto own = random.uniformInteger (5, 30);
    for (std::int64_t block = 0; block < own; ++block)
        call.blocks.push_back (random.bits());
    call.tokens = 5;
    return call;
}

Call deepCall (base::Random& random)
{
    Call call = urgentCall (random);
    call.target = "deep-model";
    call.tokens = 100 + static_cast<int> (random.exponential (200));
    return call;
}

struct UrgentFigures
{
    double idle99 = 0;
    double saturated99 = 0;
    double slotsInUse = 0;  ///< Share of engine slots in use under saturation.
    int refused = 0;
    double idle50 = 0;
    double saturated50 = 0;
};

/// Times to the first byte, in ms, of urgent calls sent from `from` until `until`.
std::vector<double> urgentTimes (const FleetExperiment& fleet, base::TimePoint from,
                                 base::TimePoint until)
{
    std::vector<double> times;
    for (const Call& call : fleet.calls)
    {
        const bool isWanted = call.target == "m" && call.sentAt >= from && call.sentAt < until;
        if (! isWanted || ! call.firstByteAt)
            continue;
        times.push_back (millisecondsOf (*call.firstByteAt - call.sentAt));
    }
    return times;
}

std::uint64_t stepsRun (const FleetExperiment& fleet)
{
    std::uint64_t steps = 0;
    for (const auto& engine : fleet.engines)
        steps += engine.stepsRun;
    return steps;
}

UrgentFigures runUrgentBesideDeep (std::uint64_t seed)
{
    FleetExperiment fleet ({}, seed);
    base::Random random (seed);
    const base::TimePoint start = fleet.now();
    const base::TimePoint saturatedFrom = start + seconds (20);
    const base::TimePoint measuredFrom = saturatedFrom + seconds (5);
    const base::TimePoint end = start + seconds (85);
    PoissonSource urgent (30, start);
    PoissonSource deep (60, saturatedFrom);  // About twice the capacity of the engines.
    const auto callers = [&]
    {
        for (int made = urgent.due (fleet.now(), random); made > 0; --made)
        {
            fleet.sendRequest (urgentCall (random));
        }
        for (int made = deep.due (fleet.now(), random); made > 0; --made)
            fleet.sendRequest (deepCall (random));
    };
    fleet.runUntil (measuredFrom, callers);
    const std::uint64_t stepsBefore = stepsRun (fleet);
    fleet.runUntil (end, callers);
    auto idle = urgentTimes (fleet, start + seconds (5), saturatedFrom);
    auto saturated = urgentTimes (fleet, measuredFrom, end - seconds (2));
    UrgentFigures figures;
    figures.idle50 = quantile (idle, 0.5);
    figures.idle99 = quantile (idle, 0.99);
    figures.saturated50 = quantile (saturated, 0.5);
    figures.saturated99 = quantile (saturated, 0.99);
    const double steps = static_cast<double> ((end - measuredFrom) / routing::testing::kEngineStep);
    figures.slotsInUse = static_cast<double> (stepsRun (fleet) - stepsBefore) / (steps * 20 * 8);
    for (const Call& call : fleet.calls)
    {
        if (call.target == "m" && call.error)
            figures.refused += 1;
    }
    return figures;
}

TEST (FleetExperimentTest, UrgentRequestsHardlyNoticeDeepWork)
{
    for (int seed = 1; seed <= kSeeds; ++seed)
    {
        const UrgentFigures figures = runUrgentBesideDeep (static_cast<std::uint64_t> (seed));
        std::printf (
            "seed %d: urgent p50 / p99 idle %.0f / %.0f ms, beside deep work %.0f / %.0f ms, slots "
            "in "
            "use %.0f%%\n",
            seed, figures.idle50, figures.idle99, figures.saturated50, figures.saturated99,
            100 * figures.slotsInUse);
        EXPECT_LE (figures.saturated99, 1.2 * figures.idle99);
        EXPECT_GT (figures.slotsInUse, 0.7);
        EXPECT_EQ (figures.refused, 0);
    }
}

TEST (FleetExperimentTest, AStormOnAColdModelIsOneDemandAndStarvesNoRouter)
{
    FleetOptions options;
    options.coldStart = seconds (6);
    FleetExperiment fleet (options, 1);
    base::Random random (1);
    const base::TimePoint start = fleet.now();
    PoissonSource callers (200, start);
    fleet.runUntil (start + seconds (60),
                    [&]
                    {
                        for (int made = callers.due (fleet.now(), random); made > 0; --made)
                        {
                            Call call = urgentCall (random);
                            call.requestClass =
                                base::RequestClassName ("deep");  // Deadline after the load.
                            fleet.sendRequest (call);
                        }
                    });
    fleet.runUntil (fleet.now() + seconds (20), [] {});
    EXPECT_EQ (fleet.loadDecisions, 1);
    EXPECT_LE (*fleet.firstDemandAt - fleet.calls.front().sentAt, milliseconds (5));
    std::vector<int> answered (6);
    std::vector<int> asked (6);
    std::vector<std::vector<double>> waits (6);
    for (const Call& call : fleet.calls)
    {
        const auto router = static_cast<std::size_t> (call.router);
        asked[router] += 1;
        ASSERT_TRUE (call.endedAt);
        if (call.error)
            continue;
        answered[router] += 1;
        waits[router].push_back (millisecondsOf (*call.firstByteAt - call.sentAt));
    }
    for (std::size_t router = 0; router < 6; ++router)
    {
        std::printf ("router %zu: asked %d, answered %d, first byte p50 %.0f ms, p99 %.0f ms\n",
                     router, asked[router], answered[router], quantile (waits[router], 0.5),
                     quantile (waits[router], 0.99));
        EXPECT_EQ (answered[router], asked[router]);
    }
}

/// Callers that repeat refused requests after the given Retry-After until they are served.
class RetryingCallers
{
public:
    explicit RetryingCallers (FleetExperiment& fleet) : m_fleet (fleet), m_start (fleet.now()) {}

    /// Adds a caller and sends its request.
    void begin()
    {
        begun += 1;
        sendRequest();
    }
    /// Sends the retries that are due and collects answers.
    void step()
    {
        while (! m_retryTimes.empty() && *m_retryTimes.begin() <= m_fleet.now())
        {
            m_retryTimes.erase (m_retryTimes.begin());
            m_retriesByTenth[(m_fleet.now() - m_start) / milliseconds (100)] += 1;
            sendRequest();
        }
        std::erase_if (m_open, [this] (CallId id) { return takeAnswer (m_fleet.calls[id]); });
    }
    [[nodiscard]] int busiestTenth() const
    {
        int busiest = 0;
        for (const auto& [tenth, count] : m_retriesByTenth)
            busiest = std::max (busiest, count);
        return busiest;
    }

    int begun = 0;
    int tries = 0;
    int served = 0;

private:
    void sendRequest()
    {
        tries += 1;
        m_open.push_back (m_fleet.sendRequest (urgentCall (m_random)));
    }
    bool takeAnswer (const Call& call)
    {
        if (! call.endedAt)
            return false;
        if (! call.error)
            served += 1;
        const bool comesBack = call.error && call.error->retryAfter;
        if (comesBack)
            m_retryTimes.insert (m_fleet.now() + *call.error->retryAfter);
        return true;
    }

    FleetExperiment& m_fleet;
    base::TimePoint m_start;
    base::Random m_random{ 1 };
    std::vector<CallId> m_open;
    std::multiset<base::TimePoint> m_retryTimes;
    std::map<std::int64_t, int> m_retriesByTenth;
};

TEST (FleetExperimentTest, RefusedCallersComeBackSpreadAndAreServed)
{
    constexpr int kCallers = 1500;
    FleetOptions options;
    options.coldStart = seconds (6);
    FleetExperiment fleet (options, 1);
    base::Random random (1);
    PoissonSource source (kCallers, fleet.now());
    RetryingCallers callers (fleet);
    fleet.runUntil (fleet.now() + seconds (60),
                    [&]
                    {
                        const int due = source.due (fleet.now(), random);
                        for (int made = 0; made < due && callers.begun < kCallers; ++made)
                            callers.begin();
                        callers.step();
                    });
    std::printf ("%d callers, %d tries, %d served, busiest 100 ms of returns %d\n", callers.begun,
                 callers.tries, callers.served, callers.busiestTenth());
    EXPECT_EQ (callers.served, kCallers);
    EXPECT_LE (callers.tries, 3 * kCallers);
    EXPECT_LE (callers.busiestTenth(), kCallers / 10) << "returns are spread";
}

struct HedgeFigures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double attemptsPerCall = 0;
    double engineWork = 0;
};

HedgeFigures runHedging (std::optional<base::Duration> hedgeAfter, std::uint64_t seed)
{
    FleetOptions options;
    options.hedgeAfter = hedgeAfter;
    FleetExperiment fleet (options, seed);
    base::Random random (seed);
    base::Random stalls (seed + 1000);
    const base::TimePoint start = fleet.now();
    PoissonSource callers (150, start);
    std::vector<base::TimePoint> stalledUntil (fleet.engines.size());
    fleet.runUntil (start + seconds (30),
                    [&]
                    {
                        for (std::size_t runner = 0; runner < fleet.engines.size(); ++runner)
                        {
                            const bool begins =
                                stalls.chance (0.005 / 20);  // Once in 20 s on average.
                            if (begins)
                                stalledUntil[runner] = fleet.now() + milliseconds (400);
                            fleet.engines[runner].isStalled = fleet.now() < stalledUntil[runner];
                        }
                        for (int made = callers.due (fleet.now(), random); made > 0; --made)
                        {
                            Call call = urgentCall (random);
                            call.isStreaming = false;
                            fleet.sendRequest (call);
                        }
                    });
    fleet.runUntil (fleet.now() + seconds (3), [] {});
    std::vector<double> times;
    for (const Call& call : fleet.calls)
    {
        if (! call.error)
            times.push_back (millisecondsOf (*call.endedAt - call.sentAt));
    }
    HedgeFigures figures;
    figures.p50 = quantile (times, 0.5);
    figures.p99 = quantile (times, 0.99);
    figures.p999 = quantile (times, 0.999);
    std::uint64_t attempts = 0;
    for (int router = 0; router < 6; ++router)
        attempts += fleet.counters (router).attempts;
    const double calls = static_cast<double> (fleet.calls.size());
    figures.attemptsPerCall = static_cast<double> (attempts) / calls;
    for (const auto& engine : fleet.engines)
        figures.engineWork += static_cast<double> (engine.stepsRun);
    figures.engineWork /= calls;
    return figures;
}

TEST (FleetExperimentTest, HedgingCutsTheTailOfStalledEngines)
{
    const std::vector<std::optional<base::Duration>> settings{ std::nullopt, milliseconds (80),
                                                               milliseconds (150),
                                                               milliseconds (300) };
    std::vector<HedgeFigures> all;
    for (const auto& setting : settings)
    {
        HedgeFigures mean;
        for (int seed = 1; seed <= kSeeds; ++seed)
        {
            const HedgeFigures figures = runHedging (setting, static_cast<std::uint64_t> (seed));
            mean.p50 += figures.p50 / kSeeds;
            mean.p99 += figures.p99 / kSeeds;
            mean.p999 += figures.p999 / kSeeds;
            mean.attemptsPerCall += figures.attemptsPerCall / kSeeds;
            mean.engineWork += figures.engineWork / kSeeds;
        }
        std::printf (
            "hedge after %4.0f ms: p50 %.1f, p99 %.1f, p999 %.1f ms, attempts per call %.3f, "
            "engine steps per call %.2f\n",
            setting ? millisecondsOf (*setting) : 0.0, mean.p50, mean.p99, mean.p999,
            mean.attemptsPerCall, mean.engineWork);
        all.push_back (mean);
    }
    EXPECT_LT (all[2].p99, all[0].p99);
    EXPECT_LE (all[2].attemptsPerCall, 1.2) << "within the retry budget";
}

}  // namespace
}  // namespace fernlift::router
