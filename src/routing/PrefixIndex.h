#pragma once

/// Which replicas hold which blocks of prompt prefixes in their cache, as far as is known from this
/// router's own requests and from the engines' cache events, which come late and with gaps.

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"

namespace fernlift::routing
{

/// Hash of a prompt from its start to the end of one block.
using PrefixHash = std::uint64_t;

/// One cache event of an engine.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool isStored = true;  ///< False: removed.
    std::string target;    ///< Model or adapter name.
    PrefixHash block = 0;
};

class PrefixIndex
{
public:
    /// `maximumBlocks` bounds the blocks remembered for each runner; the least recently seen go
    /// first.
    explicit PrefixIndex (std::size_t maximumBlocks = 16384) : m_maximumBlocks (maximumBlocks) {}

    /// This router sent a prompt with these leading blocks to the target's replica at the runner.
    void onSent (const base::RunnerId& runner, const std::string& target,
                 const std::vector<PrefixHash>& blocks);

    /// Applies events of one start of a runner. Events already seen are skipped. After a gap, or
    /// under a new incarnation, everything known of the runner is dropped and built anew. Returns
    /// the sequence to ask after next.
    std::uint64_t onEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                            const std::vector<CacheEvent>& events);

    /// The runner is gone.
    void forget (const base::RunnerId& runner);

    /// Number of leading blocks the runner is believed to hold.
    [[nodiscard]] std::size_t matchingBlocks (const base::RunnerId& runner,
                                              const std::string& target,
                                              const std::vector<PrefixHash>& blocks) const;

private:
    struct RunnerBlocks
    {
        base::Incarnation incarnation = 0;
        std::uint64_t lastSequence = 0;
        std::list<PrefixHash> byRecency;  ///< Most recent first.
        std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> positions;

        void touch (PrefixHash block, std::size_t maximumBlocks);
        void remove (PrefixHash block);
        void clear();
    };

    std::size_t m_maximumBlocks;
    std::map<base::RunnerId, RunnerBlocks> m_runners;
};

}  // namespace fernlift::routing
