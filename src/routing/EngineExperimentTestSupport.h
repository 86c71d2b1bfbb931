#pragma once

/// Test support: a simulated engine for experiments on policies. It batches continuously by
/// priority, pauses less urgent requests, caches prompt prefixes and tells of both late.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Random.h"
#include "base/Time.h"
#include "routing/PrefixIndex.h"

namespace fernlift::routing::testing
{

inline constexpr base::Duration kEngineStep = base::milliseconds (5);

struct EngineSettings
{
    std::size_t slots = 8;
    std::size_t cacheBlocks = 400;
    int prefillBlocksPerStep = 2;
    int stepsPerToken = 4;
    base::Duration loadLag = base::milliseconds (200);
    base::Duration cacheEventLag = base::milliseconds (500);
    double cacheEventLoss = 0.002;  ///< Share of events lost; each makes a gap.
};

struct EngineRequest
{
    std::uint64_t id = 0;
    std::string target;
    int priority = 5;
    std::vector<PrefixHash> blocks;
    int tokens = 16;
};

/// A request got its first token, or all.
struct EngineProgress
{
    std::uint64_t id = 0;
    bool isFirstToken = false;
    bool isEnd = false;
};

class ExperimentEngine
{
public:
    explicit ExperimentEngine (EngineSettings settings) : settings_ (settings) {}

    void submit (const EngineRequest& request)
    {
        // Kept in the order of service: the most urgent first, among equals those that came first.
        const auto place = std::upper_bound (jobs_.begin(), jobs_.end(), request.priority,
                                             [] (int priority, const Job& job)
                                             { return priority < job.request.priority; });
        jobs_.insert (place, Job{ request });
        blocksAsked += request.blocks.size();
    }
    void cancel (std::uint64_t id)
    {
        std::erase_if (jobs_, [id] (const Job& job) { return job.request.id == id; });
    }

    /// One step of all running requests.
    std::vector<EngineProgress> step (base::TimePoint now)
    {
        loads_.emplace_back (now, static_cast<std::uint32_t> (jobs_.size()));
        while (loads_.size() > 1 && loads_[1].first <= now - settings_.loadLag)
            loads_.pop_front();
        std::vector<EngineProgress> progress;
        if (isStalled)
            return progress;
        const std::size_t running = std::min (jobs_.size(), settings_.slots);
        for (std::size_t number = 0; number < running; ++number)
            run (jobs_[number], now, progress);
        if (! progress.empty())
            std::erase_if (jobs_, [] (const Job& job) { return job.isEnded; });
        return progress;
    }

    /// Running and waiting requests, as reported with a lag.
    [[nodiscard]] std::uint32_t reportedLoad() const
    {
        return loads_.empty() ? 0 : loads_.front().second;
    }
    /// Cache events after `sequence` that are old enough to be published.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter (std::uint64_t sequence,
                                                       base::TimePoint now) const
    {
        std::vector<CacheEvent> events;
        for (auto entry = events_.rbegin(); entry != events_.rend(); ++entry)
        {
            if (entry->second.sequence <= sequence)
                break;
            if (entry->first + settings_.cacheEventLag <= now)
                events.push_back (entry->second);
        }
        std::reverse (events.begin(), events.end());
        return events;
    }

    bool isStalled = false;
    std::uint64_t blocksAsked = 0;
    std::uint64_t blocksHit = 0;
    std::uint64_t stepsRun = 0;  ///< Slots times steps in use.

private:
    struct Job
    {
        EngineRequest request;
        bool hasStarted = false;
        bool isEnded = false;
        int stepsToFirstToken = 0;
        int stepsToEnd = 0;
    };

    void run (Job& job, base::TimePoint now, std::vector<EngineProgress>& progress)
    {
        stepsRun += 1;
        if (! job.hasStarted)
            start (job);
        if (job.stepsToFirstToken > 0)
        {
            job.stepsToFirstToken -= 1;
            if (job.stepsToFirstToken == 0)
            {
                keepBlocks (job, now);
                progress.push_back ({ job.request.id, true, false });
            }
            return;
        }
        job.stepsToEnd -= 1;
        job.isEnded = job.stepsToEnd <= 0;
        if (job.isEnded)
            progress.push_back ({ job.request.id, false, true });
    }

    void start (Job& job)
    {
        job.hasStarted = true;
        int hit = 0;
        for (const PrefixHash block : job.request.blocks)
        {
            if (! positions_.contains (keyOf (job, block)))
                break;
            hit += 1;
        }
        blocksHit += static_cast<std::uint64_t> (hit);
        const int missing = static_cast<int> (job.request.blocks.size()) - hit;
        job.stepsToFirstToken = 1 + missing / settings_.prefillBlocksPerStep;
        job.stepsToEnd = job.request.tokens * settings_.stepsPerToken;
    }

    static PrefixHash keyOf (const Job& job, PrefixHash block)
    {
        return block ^ std::hash<std::string>() (job.request.target);
    }

    void keepBlocks (const Job& job, base::TimePoint now)
    {
        for (auto block = job.request.blocks.rbegin(); block != job.request.blocks.rend(); ++block)
        {
            const PrefixHash key = keyOf (job, *block);
            const auto known = positions_.find (key);
            if (known != positions_.end())
            {
                recency_.splice (recency_.begin(), recency_, known->second);
                continue;
            }
            recency_.push_front ({ job.request.target, *block, key });
            positions_[key] = recency_.begin();
            publish (now, true, job.request.target, *block);
            if (recency_.size() <= settings_.cacheBlocks)
                continue;
            const Cached& oldest = recency_.back();
            publish (now, false, oldest.target, oldest.block);
            positions_.erase (oldest.key);
            recency_.pop_back();
        }
    }

    void publish (base::TimePoint now, bool isStored, const std::string& target, PrefixHash block)
    {
        lastSequence_ += 1;
        if (random_.chance (settings_.cacheEventLoss))
            return;
        events_.emplace_back (now, CacheEvent{ lastSequence_, isStored, target, block });
        if (events_.size() > kEventsKept)
            events_.pop_front();
    }

    struct Cached
    {
        std::string target;
        PrefixHash block = 0;
        PrefixHash key = 0;
    };
    static constexpr std::size_t kEventsKept = 2000;

    EngineSettings settings_;
    base::Random random_{ 17 };
    std::vector<Job> jobs_;
    std::deque<std::pair<base::TimePoint, std::uint32_t>> loads_;
    std::list<Cached> recency_;
    std::unordered_map<PrefixHash, std::list<Cached>::iterator> positions_;
    std::uint64_t lastSequence_ = 0;
    std::deque<std::pair<base::TimePoint, CacheEvent>> events_;
};

/// The value below which `share` of the values lie. Sorts them.
inline double quantile (std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort (values.begin(), values.end());
    const auto index = static_cast<std::size_t> (share * static_cast<double> (values.size()));
    return values[std::min (index, values.size() - 1)];
}

}  // namespace fernlift::routing::testing
