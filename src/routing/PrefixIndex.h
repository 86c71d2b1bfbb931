#pragma once

/// Index of the prompt prefix blocks that the runners' caches are expected to hold. It is built
/// from this router's own requests and from the engines' cache events, which arrive late and with
/// gaps.

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"

namespace fernlift::routing
{

/// Hash of a prompt from its beginning to the end of one block.
using PrefixHash = std::uint64_t;

/// One cache event of an engine.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool isStored = true;  ///< False if the block was removed.
    std::string target;    ///< Model or adapter name.
    PrefixHash block = 0;
};

class PrefixIndex
{
public:
    /// `maximumBlocks` bounds the blocks of each runner; the least recently used are evicted first.
    explicit PrefixIndex (std::size_t maximumBlocks = 16384) : m_maximumBlocks (maximumBlocks) {}

    /// Records that this router sent a prompt with these leading blocks to the target's replica at
    /// the runner.
    void onSent (const base::RunnerId& runner, const std::string& target,
                 const std::vector<PrefixHash>& blocks);

    /// Applies events of one incarnation of a runner. Events that were applied before are skipped.
    /// After a gap, or for a new incarnation, the blocks of the runner are cleared first. Returns
    /// the sequence number after which events are to be requested next.
    std::uint64_t onEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                            const std::vector<CacheEvent>& events);

    /// Drops all blocks of a runner that no longer exists.
    void forget (const base::RunnerId& runner);

    /// Number of leading blocks the runner is expected to hold.
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
