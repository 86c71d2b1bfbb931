#include "controller/RunnerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "cell/InstanceLoadMessages.h"

namespace fernlift::controller
{
namespace
{

/// Temporary slowdowns last some tenths of a second: reports that are closer together are likely to
/// describe the same one.
constexpr base::Duration kMinReportSpacing = base::milliseconds (700);
constexpr std::size_t kMaxReportedWorkTimes = 16;
/// Quantile of the reported work times that is used as nominal: temporary slowdowns only lengthen
/// work, and take a small share of the time.
constexpr double kNominalQuantile = 0.25;
/// With fewer samples the shortest one may be long by chance.
constexpr std::size_t kMinSamples = 4;
constexpr std::size_t kMaxSamples = 32;
/// Quantile of the pauses that is used as undelayed: prompts processed concurrently with a stream
/// lengthen many of its pauses, up to several times; only few pauses are shortened.
constexpr double kUndelayedQuantile = 0.25;
/// A smaller relative difference does not affect routing.
constexpr double kNegligibleShare = 0.05;
constexpr base::Duration kMinInterval = base::milliseconds (500);
/// An estimation visits every runner and each of its models.
constexpr base::Duration kIntervalPerRunner = std::chrono::microseconds (500);

// Variances of logarithms of pauses: of one sample of a pair; of the deviation common to all
// samples of a pair beside model and runner; of the runners of one service.
constexpr double kSampleVariance = 0.3 * 0.3;
constexpr double kPairVariance = 0.04 * 0.04;
constexpr double kRunnerVariance = 0.4 * 0.4;
/// Variance of runners that report their work time. The pauses of 60 such runners, with work times
/// of 0.55 and of 1.2 of nominal, agree within 0.02 when divided by the reported time.
constexpr double kReportingRunnerVariance = 0.1 * 0.1;
/// Variance of the lengthening of a pause by each request at the runner, which is about 0.01 of it.
constexpr double kLoadVariance = 0.02 * 0.02;
constexpr int kRounds = 30;

}  // namespace

RunnerSpeeds::RunnerState& RunnerSpeeds::stateOf (const Runner& runner)
{
    RunnerState& state = m_runners[runner.id];
    state.service = runner.service;
    m_estimating.request();
    return state;
}

void RunnerSpeeds::onReportedWorkTime (const Runner& runner, std::uint32_t percent,
                                       base::TimePoint now)
{
    RunnerState& state = stateOf (runner);
    if (! state.reported.empty() && now - state.reportedAt < kMinReportSpacing)
    {
        state.reported.back() = std::min (state.reported.back(), percent);
        return;
    }
    state.reportedAt = now;
    state.reported.push_back (percent);
    if (state.reported.size() > kMaxReportedWorkTimes)
        state.reported.pop_front();
}

void RunnerSpeeds::onPauses (const Runner& runner, const Pauses& pauses, std::uint32_t inFlight)
{
    if (pauses.count == 0 || pauses.microseconds == 0)
        return;
    std::deque<Sample>& samples = stateOf (runner).samples[pauses.model];
    const double mean = static_cast<double> (pauses.microseconds) / pauses.count;
    samples.push_back ({ std::log (mean), static_cast<double> (inFlight) });
    if (samples.size() > kMaxSamples)
        samples.pop_front();
}

void RunnerSpeeds::setInheritedSpeed (const Runner& runner, std::uint32_t percent)
{
    stateOf (runner).inheritedPercent = percent;
}

void RunnerSpeeds::keepOnly (const std::function<bool (const std::string&)>& isKept)
{
    std::erase_if (m_runners, [&] (const auto& item) { return ! isKept (item.first); });
}

RunnerSpeeds::Observation RunnerSpeeds::observationOf (const std::deque<Sample>& samples)
{
    std::vector<Sample> shortest (samples.begin(), samples.end());
    std::ranges::sort (shortest, {}, &Sample::pause);
    const auto count = static_cast<double> (samples.size());
    shortest.resize (1 + static_cast<std::size_t> (kUndelayedQuantile * (count - 1)));
    Observation observation;
    observation.pause = shortest.back().pause;
    for (const Sample& sample : shortest)
        observation.inFlight += sample.inFlight / static_cast<double> (shortest.size());
    observation.weight = 1 / (kPairVariance + kSampleVariance / count);
    return observation;
}

void RunnerSpeeds::estimate (const std::vector<RunnerState*>& runners)
{
    std::map<std::string, std::size_t> models;
    std::set<std::size_t> measured;
    std::vector<Observation> observations;
    for (std::size_t runner = 0; runner < runners.size(); ++runner)
    {
        for (const auto& [model, samples] : runners[runner]->samples)
        {
            if (samples.size() < kMinSamples)
                continue;
            Observation observation = observationOf (samples);
            observation.runner = runner;
            observation.model = models.emplace (model, models.size()).first->second;
            observations.push_back (observation);
            measured.insert (runner);
        }
    }
    if (measured.empty())
        return;
    std::vector<double> speeds (runners.size());
    std::vector<double> pauses (models.size());
    double perRequest = 0;
    // Alternately fits models, runners and load to the residuals of the other two. Runners and load
    // have a prior with mean zero, which dominates while there is little data; models have none.
    for (int round = 0; round < kRounds; ++round)
    {
        std::vector<std::pair<double, double>> ofModel (models.size());
        for (const Observation& o : observations)
        {
            ofModel[o.model].first +=
                o.weight * (o.pause + speeds[o.runner] - perRequest * o.inFlight);
            ofModel[o.model].second += o.weight;
        }
        for (std::size_t model = 0; model < models.size(); ++model)
            pauses[model] = ofModel[model].first / ofModel[model].second;
        std::vector<std::pair<double, double>> ofRunner (runners.size());
        std::pair<double, double> ofLoad{ 0, 1 / kLoadVariance };
        for (const Observation& o : observations)
        {
            const double left = o.pause - pauses[o.model];
            ofRunner[o.runner].first += o.weight * (perRequest * o.inFlight - left);
            ofRunner[o.runner].second += o.weight;
            ofLoad.first += o.weight * o.inFlight * (left + speeds[o.runner]);
            ofLoad.second += o.weight * o.inFlight * o.inFlight;
        }
        for (std::size_t runner = 0; runner < runners.size(); ++runner)
        {
            const double variance =
                runners[runner]->reported.empty() ? kRunnerVariance : kReportingRunnerVariance;
            speeds[runner] = ofRunner[runner].first / (ofRunner[runner].second + 1 / variance);
        }
        perRequest = std::max (0.0, ofLoad.first / ofLoad.second);
    }
    // Normalizes to the mean speed of the measured runners.
    double sum = 0;
    for (const std::size_t runner : measured)
        sum += std::exp (speeds[runner]);
    const double mean = std::log (sum / static_cast<double> (measured.size()));
    for (const std::size_t runner : measured)
        runners[runner]->logSpeed = speeds[runner] - mean;
}

std::uint32_t RunnerSpeeds::percentOf (const RunnerState& state)
{
    const bool isMeasured = ! state.reported.empty() || state.logSpeed != 0;
    if (! isMeasured && state.inheritedPercent != 0)
        return state.inheritedPercent;
    double percent = cell::kNominalPercent * std::exp (state.logSpeed);
    if (! state.reported.empty())
    {
        std::vector<std::uint32_t> reported (state.reported.begin(), state.reported.end());
        std::ranges::sort (reported);
        const auto nominal =
            static_cast<std::size_t> (kNominalQuantile * static_cast<double> (reported.size() - 1));
        percent *= cell::kNominalPercent / std::max<double> (reported[nominal], 1);
    }
    return static_cast<std::uint32_t> (
        std::lround (std::clamp<double> (percent, cell::kMinPercent, cell::kMaxPercent)));
}

std::uint32_t RunnerSpeeds::speedOf (const std::string& instance) const
{
    const auto found = m_runners.find (instance);
    return found == m_runners.end() ? RunnerState{}.sentPercent : found->second.sentPercent;
}

std::vector<RunnerSpeeds::Speed> RunnerSpeeds::takeChanged (base::TimePoint now)
{
    const base::Duration interval = std::max<base::Duration> (
        kMinInterval, static_cast<std::int64_t> (m_runners.size()) * kIntervalPerRunner);
    if (! m_estimating.takeDue (now, interval))
        return {};
    std::map<std::string, std::vector<RunnerState*>> services;
    for (auto& [instance, state] : m_runners)
        services[state.service].push_back (&state);
    for (const auto& [service, runners] : services)
        estimate (runners);
    std::vector<Speed> changed;
    for (auto& [instance, state] : m_runners)
    {
        const std::uint32_t percent = percentOf (state);
        const double difference = std::abs (static_cast<double> (percent) - state.sentPercent);
        if (difference < kNegligibleShare * state.sentPercent)
            continue;
        state.sentPercent = percent;
        changed.push_back ({ instance, percent });
    }
    return changed;
}

}  // namespace fernlift::controller
