#pragma once

/// Test support: a simulated engine for experiments on routing policies. It uses continuous
/// batching by priority, pauses less urgent requests and caches prompt prefixes. It reports its
/// load and its cache events with a lag.

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
    double cacheEventLoss = 0.002;  ///< Share of events lost; each loss leaves a sequence gap.
};

struct EngineRequest
{
    std::uint64_t id = 0;
    std::string target;
    int priority = 5;
    std::vector<PrefixHash> blocks;
    int tokens = 16;
};

/// Progress of a request: it produced its first token, or it ended.
struct EngineProgress
{
    std::uint64_t id = 0;
    bool isFirstToken = false;
    bool isEnd = false;
};

class ExperimentEngine
{
public:
    explicit ExperimentEngine (EngineSettings settings) : m_settings (settings) {}

    void submit (const EngineRequest& request)
    {
        // Sorted by order of service: the most urgent first, and equally urgent ones by arrival.
        const auto place = std::upper_bound (m_jobs.begin(), m_jobs.end(), request.priority,
                                             [] (int priority, const Job& job)
                                             { return priority < job.request.priority; });
        m_jobs.insert (place, Job{ request });
        blocksRequested += request.blocks.size();
    }
    void cancel (std::uint64_t id)
    {
        std::erase_if (m_jobs, [id] (const Job& job) { return job.request.id == id; });
    }

    /// Advances all running requests by one step.
    std::vector<EngineProgress> step (base::TimePoint now)
    {
        m_loads.emplace_back (now, static_cast<std::uint32_t> (m_jobs.size()));
        while (m_loads.size() > 1 && m_loads[1].first <= now - m_settings.loadLag)
            m_loads.pop_front();
        std::vector<EngineProgress> progress;
        if (isStalled)
            return progress;
        const std::size_t running = std::min (m_jobs.size(), m_settings.slots);
        for (std::size_t number = 0; number < running; ++number)
            run (m_jobs[number], now, progress);
        if (! progress.empty())
            std::erase_if (m_jobs, [] (const Job& job) { return job.isEnded; });
        return progress;
    }

    /// Running and waiting requests, as reported with a lag.
    [[nodiscard]] std::uint32_t reportedLoad() const
    {
        return m_loads.empty() ? 0 : m_loads.front().second;
    }
    /// Cache events after `sequence` that are old enough to be published.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter (std::uint64_t sequence,
                                                       base::TimePoint now) const
    {
        std::vector<CacheEvent> events;
        for (auto entry = m_events.rbegin(); entry != m_events.rend(); ++entry)
        {
            if (entry->second.sequence <= sequence)
                break;
            if (entry->first + m_settings.cacheEventLag <= now)
                events.push_back (entry->second);
        }
        std::reverse (events.begin(), events.end());
        return events;
    }

    bool isStalled = false;
    std::uint64_t blocksRequested = 0;
    std::uint64_t blocksHit = 0;
    std::uint64_t stepsRun = 0;  ///< Sum over all steps of the slots in use.

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
            if (! m_positions.contains (keyOf (job, block)))
                break;
            hit += 1;
        }
        blocksHit += static_cast<std::uint64_t> (hit);
        const int missing = static_cast<int> (job.request.blocks.size()) - hit;
        job.stepsToFirstToken = 1 + missing / m_settings.prefillBlocksPerStep;
        job.stepsToEnd = job.request.tokens * m_settings.stepsPerToken;
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
            const auto known = m_positions.find (key);
            if (known != m_positions.end())
            {
                m_recency.splice (m_recency.begin(), m_recency, known->second);
                continue;
            }
            m_recency.push_front ({ job.request.target, *block, key });
            m_positions[key] = m_recency.begin();
            publish (now, true, job.request.target, *block);
            if (m_recency.size() <= m_settings.cacheBlocks)
                continue;
            const Cached& oldest = m_recency.back();
            publish (now, false, oldest.target, oldest.block);
            m_positions.erase (oldest.key);
            m_recency.pop_back();
        }
    }

    void publish (base::TimePoint now, bool isStored, const std::string& target, PrefixHash block)
    {
        m_lastSequence += 1;
        if (m_random.chance (m_settings.cacheEventLoss))
            return;
        m_events.emplace_back (now, CacheEvent{ m_lastSequence, isStored, target, block });
        if (m_events.size() > kMaxKeptEvents)
            m_events.pop_front();
    }

    struct Cached
    {
        std::string target;
        PrefixHash block = 0;
        PrefixHash key = 0;
    };
    static constexpr std::size_t kMaxKeptEvents = 2000;

    EngineSettings m_settings;
    base::Random m_random{ 17 };
    std::vector<Job> m_jobs;
    std::deque<std::pair<base::TimePoint, std::uint32_t>> m_loads;
    std::list<Cached> m_recency;
    std::unordered_map<PrefixHash, std::list<Cached>::iterator> m_positions;
    std::uint64_t m_lastSequence = 0;
    std::deque<std::pair<base::TimePoint, CacheEvent>> m_events;
};

/// Returns the value below which `share` of the values lie. Sorts `values`.
inline double quantile (std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort (values.begin(), values.end());
    const auto index = static_cast<std::size_t> (share * static_cast<double> (values.size()));
    return values[std::min (index, values.size() - 1)];
}

}  // namespace fernlift::routing::testing
