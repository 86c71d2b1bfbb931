#include "routing/PrefixIndex.h"

#include <algorithm>

#include "base/Digest.h"

namespace fernlift::routing
{
namespace
{

/// Combines target and prompt: equal prompts of two targets have different cache blocks.
PrefixHash blockOf (std::uint64_t targetHash, PrefixHash block) { return targetHash ^ block; }

}  // namespace

void PrefixIndex::RunnerBlocks::touch (PrefixHash block, std::size_t maximumBlocks)
{
    const auto known = positions.find (block);
    if (known != positions.end())
    {
        byRecency.splice (byRecency.begin(), byRecency, known->second);
        return;
    }
    byRecency.push_front (block);
    positions[block] = byRecency.begin();
    if (positions.size() > maximumBlocks)
    {
        positions.erase (byRecency.back());
        byRecency.pop_back();
    }
}

void PrefixIndex::RunnerBlocks::remove (PrefixHash block)
{
    const auto known = positions.find (block);
    if (known == positions.end())
        return;
    byRecency.erase (known->second);
    positions.erase (known);
}

void PrefixIndex::RunnerBlocks::clear()
{
    byRecency.clear();
    positions.clear();
}

void PrefixIndex::onSent (const base::RunnerId& runner, const std::string& target,
                          const std::vector<PrefixHash>& blocks)
{
    if (blocks.empty())
        return;
    const std::uint64_t targetHash = base::stableHash (target);
    RunnerBlocks& known = m_runners[runner];
    // A block is of use only together with all earlier ones, so the earliest are touched last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
    {
        known.touch (blockOf (targetHash, *block), m_maximumBlocks);
    }
}

std::uint64_t PrefixIndex::onEvents (const base::RunnerId& runner, base::Incarnation incarnation,
                                     const std::vector<CacheEvent>& events)
{
    RunnerBlocks& known = m_runners[runner];
    if (known.incarnation != incarnation)
    {
        // Blocks recorded under incarnation 0 come from this router's own requests and are kept.
        if (known.incarnation != 0)
            known.clear();
        known.incarnation = incarnation;
        known.lastSequence = 0;
    }
    for (const CacheEvent& event : events)
    {
        if (event.sequence <= known.lastSequence)
            continue;
        const bool isGap = known.lastSequence != 0 && event.sequence != known.lastSequence + 1;
        if (isGap)
            known.clear();
        known.lastSequence = event.sequence;
        const PrefixHash block = blockOf (base::stableHash (event.target), event.block);
        if (event.isStored)
        {
            known.touch (block, m_maximumBlocks);
        }
        else
        {
            known.remove (block);
        }
    }
    return known.lastSequence;
}

void PrefixIndex::forget (const base::RunnerId& runner) { m_runners.erase (runner); }

std::size_t PrefixIndex::matchingBlocks (const base::RunnerId& runner, const std::string& target,
                                         const std::vector<PrefixHash>& blocks) const
{
    const auto known = m_runners.find (runner);
    if (known == m_runners.end())
        return 0;
    const std::uint64_t targetHash = base::stableHash (target);
    const auto firstUnknown = std::find_if_not (
        blocks.begin(), blocks.end(),
        [&] (PrefixHash block)
        { return known->second.positions.contains (blockOf (targetHash, block)); });
    return static_cast<std::size_t> (firstUnknown - blocks.begin());
}

}  // namespace fernlift::routing
