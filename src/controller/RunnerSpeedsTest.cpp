#include <gtest/gtest.h>

#include <cmath>

#include "base/Random.h"
#include "controller/RunnerSpeeds.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

/// Simulates the reports of routers on runners of one service that differ in speed, with streams of
/// several models, load and noise.
class SimulatedRunners
{
public:
    struct Options
    {
        bool reportWorkTime = true;  ///< Runners report how long work takes on their machines.
        std::size_t models = 20;
        std::size_t runners = 60;
    };

    SimulatedRunners (std::uint64_t seed, const Options& options)
        : m_options (options), m_random (seed)
    {
        for (std::size_t model = 0; model < options.models; ++model)
            m_paces.push_back (model % 3 == 0 ? 0.35 : 1);
        for (std::size_t number = 0; number < options.runners; ++number)
        {
            m_runners.push_back ({ { "i-" + std::to_string (number), "llm" },
                                   m_random.chance (0.25) ? 0.55 : 1.2,
                                   m_random.chance (0.2) ? 12 : 1 + m_random.uniformInteger (0, 5),
                                   false,
                                   {} });
            for (int held = 0; held < 3; ++held)
            {
                const auto last = static_cast<std::int64_t> (options.models) - 1;
                m_runners.back().models.push_back (
                    static_cast<std::size_t> (m_random.uniformInteger (0, last)));
            }
        }
    }

    void run (RunnerSpeeds& speeds, base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        for (; m_now < end; m_now += milliseconds (100))
        {
            for (Runner& runner : m_runners)
                step (runner, speeds);
            for (const RunnerSpeeds::Speed& speed : speeds.takeChanged (m_now))

                m_sent[speed.instance] = speed.percent;
        }
    }

    /// Returns the largest relative error of a speed. Without reported work times, true speeds are
    /// relative to their mean.
    [[nodiscard]] double largestError() const
    {
        double mean = 0;
        for (const Runner& runner : m_runners)
            mean += 1 / runner.timeFactor / static_cast<double> (m_runners.size());
        double largest = 0;
        for (const Runner& runner : m_runners)
        {
            const double truth = 1 / runner.timeFactor / (m_options.reportWorkTime ? 1 : mean);
            const auto sent = m_sent.find (runner.runner.id);
            const double estimate = sent == m_sent.end() ? 1 : sent->second / 100.0;
            largest = std::max (largest, std::abs (estimate / truth - 1));
        }
        return largest;
    }

private:
    struct Runner
    {
        RunnerSpeeds::Runner runner;
        double timeFactor = 1;
        std::int64_t load = 1;  ///< Mean number of requests at the runner.
        bool isSlow = false;    ///< Temporarily slowed down.
        std::vector<std::size_t> models;
    };

    void step (Runner& runner, RunnerSpeeds& speeds)
    {
        // About 0.15 of the time, in periods of 600 ms on average, the runner is slow. Pauses
        // divided by a work time reported before such a period began or ended are wrong.
        if (m_random.chance (1.0 / 6))
            runner.isSlow = m_random.chance (0.15);
        if (! m_random.chance (0.3))
            return;
        const double factor = runner.timeFactor * (runner.isSlow ? 2.5 : 1);
        if (m_options.reportWorkTime)
            speeds.onReportedWorkTime (
                runner.runner, static_cast<std::uint32_t> (std::lround (100 * factor)), m_now);
        const std::size_t model = runner.models[static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (runner.models.size()) - 1))];
        const auto inFlight = m_random.uniformInteger (runner.load / 2, runner.load * 3 / 2);
        // Each request at the runner lengthens a step slightly, a prompt in prefill considerably.
        double pause = 26'700 * m_paces[model] * (1 + 0.01 * static_cast<double> (inFlight));
        if (m_random.chance (std::min (0.45, 0.03 * static_cast<double> (inFlight))))
            pause *= 1 + 4 * m_random.uniformReal();
        if (! m_options.reportWorkTime)
            pause *= factor;
        else if (m_random.chance (0.05))
            pause *= m_random.chance (0.5) ? 2.5 : 0.4;
        speeds.onPauses (
            runner.runner,
            { "m" + std::to_string (model), 4, static_cast<std::uint64_t> (4 * pause) },
            static_cast<std::uint32_t> (inFlight));
    }

    Options m_options;
    base::Random m_random;
    base::TimePoint m_now{ base::seconds (100) };
    std::vector<double> m_paces;
    std::vector<Runner> m_runners;
    std::map<std::string, std::uint32_t> m_sent;
};

TEST (RunnerSpeeds, AreEstimatedUnderLoadAndNoiseFromReportedWorkTimes)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        RunnerSpeeds speeds;
        SimulatedRunners simulation (seed, {});
        simulation.run (speeds, base::seconds (20));
        EXPECT_LE (simulation.largestError(), 0.1) << "seed " << seed;
    }
}

TEST (RunnerSpeeds, AreEstimatedUnderLoadAndNoiseFromPausesAlone)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        RunnerSpeeds speeds;
        SimulatedRunners simulation (seed, { false, 20, 60 });
        simulation.run (speeds, base::seconds (60));
        EXPECT_LE (simulation.largestError(), 0.1) << "seed " << seed;
    }
}

TEST (RunnerSpeeds, NoEstimateForARunnerThatSharesNoModel)
{
    RunnerSpeeds speeds;
    for (int count = 0; count < 50; ++count)
    {
        speeds.onPauses ({ "a", "llm" }, { "m1", 1, 50'000 }, 1);
        speeds.onPauses ({ "b", "llm" }, { "m2", 1, 10'000 }, 1);
    }
    EXPECT_TRUE (speeds.takeChanged (base::TimePoint{} + base::seconds (9)).empty());
}

TEST (RunnerSpeeds, TypicalReportedWorkTimeDeterminesTheSpeed)
{
    RunnerSpeeds speeds;
    const base::TimePoint start = base::TimePoint{} + base::seconds (9);
    speeds.onReportedWorkTime ({ "a", "app" }, 120, start);
    auto changed = speeds.takeChanged (start);
    ASSERT_EQ (changed.size(), 1U);
    EXPECT_EQ (changed[0].percent, 83U);
    speeds.onReportedWorkTime ({ "a", "app" }, 300, start + milliseconds (400));
    EXPECT_TRUE (speeds.takeChanged (start + base::seconds (1)).empty());
}

TEST (RunnerSpeeds, RemovedRunnerStartsWithoutAnEstimate)
{
    RunnerSpeeds speeds;
    const base::TimePoint start = base::TimePoint{} + base::seconds (9);
    speeds.onReportedWorkTime ({ "a", "app" }, 50, start);
    ASSERT_EQ (speeds.takeChanged (start).size(), 1U);
    speeds.keepOnly ([] (const std::string&) { return false; });
    speeds.onReportedWorkTime ({ "a", "app" }, 100, start + base::seconds (1));
    EXPECT_TRUE (speeds.takeChanged (start + base::seconds (2)).empty());
}

TEST (RunnerSpeeds, InheritedSpeedAppliesUntilTheRunnerIsMeasured)
{
    RunnerSpeeds speeds;
    const base::TimePoint start = base::TimePoint{} + base::seconds (9);
    speeds.setInheritedSpeed ({ "a", "llm" }, 180);
    auto changed = speeds.takeChanged (start);
    ASSERT_EQ (changed.size(), 1U);
    EXPECT_EQ (changed[0].percent, 180U);
    speeds.onReportedWorkTime ({ "a", "llm" }, 100, start);
    changed = speeds.takeChanged (start + base::seconds (1));
    ASSERT_EQ (changed.size(), 1U);
    EXPECT_EQ (changed[0].percent, 100U);
}

}  // namespace
}  // namespace fernlift::controller
