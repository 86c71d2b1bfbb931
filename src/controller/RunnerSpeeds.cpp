#include "controller/RunnerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "cell/InstanceLoadMessages.h"

namespace fernlift::controller
{
namespace
{

/// Slow moments last some tenths of a second: figures that are closer together tell of the same
/// one.
constexpr base::Duration kStatedApart = base::milliseconds (700);
constexpr std::size_t kMostStated = 16;
/// Of the stated figures in order: slow moments only lengthen work, and come for a small share of
/// the time.
constexpr double kUsualShare = 0.25;
/// With fewer the shortest may be long by chance.
constexpr std::size_t kLeastSamples = 4;
constexpr std::size_t kMostSamples = 32;
/// Of the pauses in order: prompts that are read beside a stream lengthen many of its pauses, up to
/// several times; nothing shortens more than a few.
constexpr double kUndelayedShare = 0.25;
/// A difference below this changes no choice.
constexpr double kNegligibleShare = 0.05;
constexpr base::Duration kShortestInterval = base::milliseconds (500);
/// The leader looks at every runner and at each model there.
constexpr base::Duration kIntervalForRunner = std::chrono::microseconds (500);

// Of logarithms of pauses, as variances: one sample of a pair; what samples of a pair share beside
// model and runner; runners of one service.
constexpr double kSampleVariance = 0.3 * 0.3;
constexpr double kPairVariance = 0.04 * 0.04;
constexpr double kRunnerVariance = 0.4 * 0.4;
/// Of runners that state how long work takes: pauses of 60 such runners, of which some took 0.55
/// and some 1.2 times as long, were the same within 0.02 once divided by the figure.
constexpr double kStatingRunnerVariance = 0.1 * 0.1;
/// A pause may be a hundredth longer for each request at the runner, more or less.
constexpr double kLoadVariance = 0.02 * 0.02;
constexpr int kRounds = 30;

}  // namespace

RunnerSpeeds::Known& RunnerSpeeds::knownOf (const Runner& runner)
{
    Known& known = m_known[runner.id];
    known.service = runner.service;
    m_estimating.request();
    return known;
}

void RunnerSpeeds::onStated (const Runner& runner, std::uint32_t percent, base::TimePoint now)
{
    Known& known = knownOf (runner);
    if (! known.stated.empty() && now - known.statedAt < kStatedApart)
    {
        known.stated.back() = std::min (known.stated.back(), percent);
        return;
    }
    known.statedAt = now;
    known.stated.push_back (percent);
    if (known.stated.size() > kMostStated)
        known.stated.pop_front();
}

void RunnerSpeeds::onPauses (const Runner& runner, const Pauses& pauses, std::uint32_t inFlight)
{
    if (pauses.count == 0 || pauses.microseconds == 0)
        return;
    std::deque<Sample>& samples = knownOf (runner).samples[pauses.model];
    const double mean = static_cast<double> (pauses.microseconds) / pauses.count;
    samples.push_back ({ std::log (mean), static_cast<double> (inFlight) });
    if (samples.size() > kMostSamples)
        samples.pop_front();
}

void RunnerSpeeds::setEarlier (const Runner& runner, std::uint32_t percent)
{
    knownOf (runner).earlierPercent = percent;
}

void RunnerSpeeds::keepOnly (const std::function<bool (const std::string&)>& isKept)
{
    std::erase_if (m_known, [&] (const auto& item) { return ! isKept (item.first); });
}

RunnerSpeeds::Observation RunnerSpeeds::observationOf (const std::deque<Sample>& samples)
{
    std::vector<Sample> shortest (samples.begin(), samples.end());
    std::ranges::sort (shortest, {}, &Sample::pause);
    const auto count = static_cast<double> (samples.size());
    shortest.resize (1 + static_cast<std::size_t> (kUndelayedShare * (count - 1)));
    Observation observation;
    observation.pause = shortest.back().pause;
    for (const Sample& sample : shortest)
        observation.inFlight += sample.inFlight / static_cast<double> (shortest.size());
    observation.weight = 1 / (kPairVariance + kSampleVariance / count);
    return observation;
}

void RunnerSpeeds::estimate (const std::vector<Known*>& runners)
{
    std::map<std::string, std::size_t> models;
    std::set<std::size_t> measured;
    std::vector<Observation> observations;
    for (std::size_t runner = 0; runner < runners.size(); ++runner)
    {
        for (const auto& [model, samples] : runners[runner]->samples)
        {
            if (samples.size() < kLeastSamples)
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
    // Each of the three is fitted to what the others leave; runners and load are drawn to zero as
    // far as little is known, models are not.
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
                runners[runner]->stated.empty() ? kRunnerVariance : kStatingRunnerVariance;
            speeds[runner] = ofRunner[runner].first / (ofRunner[runner].second + 1 / variance);
        }
        perRequest = std::max (0.0, ofLoad.first / ofLoad.second);
    }
    // Against the mean of those that were measured.
    double sum = 0;
    for (const std::size_t runner : measured)
        sum += std::exp (speeds[runner]);
    const double mean = std::log (sum / static_cast<double> (measured.size()));
    for (const std::size_t runner : measured)
        runners[runner]->paceSpeed = speeds[runner] - mean;
}

std::uint32_t RunnerSpeeds::percentOf (const Known& known)
{
    const bool isMeasured = ! known.stated.empty() || known.paceSpeed != 0;
    if (! isMeasured && known.earlierPercent != 0)
        return known.earlierPercent;
    double percent = cell::kUsualPercent * std::exp (known.paceSpeed);
    if (! known.stated.empty())
    {
        std::vector<std::uint32_t> stated (known.stated.begin(), known.stated.end());
        std::ranges::sort (stated);
        const auto usual =
            static_cast<std::size_t> (kUsualShare * static_cast<double> (stated.size() - 1));
        percent *= cell::kUsualPercent / std::max<double> (stated[usual], 1);
    }
    return static_cast<std::uint32_t> (
        std::lround (std::clamp<double> (percent, cell::kLeastPercent, cell::kMostPercent)));
}

std::uint32_t RunnerSpeeds::speedOf (const std::string& instance) const
{
    const auto found = m_known.find (instance);
    return found == m_known.end() ? Known{}.toldPercent : found->second.toldPercent;
}

std::vector<RunnerSpeeds::Speed> RunnerSpeeds::takeChanged (base::TimePoint now)
{
    const base::Duration interval = std::max<base::Duration> (
        kShortestInterval, static_cast<std::int64_t> (m_known.size()) * kIntervalForRunner);
    if (! m_estimating.takeDue (now, interval))
        return {};
    std::map<std::string, std::vector<Known*>> services;
    for (auto& [instance, known] : m_known)
        services[known.service].push_back (&known);
    for (const auto& [service, runners] : services)
        estimate (runners);
    std::vector<Speed> changed;
    for (auto& [instance, known] : m_known)
    {
        const std::uint32_t percent = percentOf (known);
        const double difference = std::abs (static_cast<double> (percent) - known.toldPercent);
        if (difference < kNegligibleShare * known.toldPercent)
            continue;
        known.toldPercent = percent;
        changed.push_back ({ instance, percent });
    }
    return changed;
}

}  // namespace fernlift::controller
