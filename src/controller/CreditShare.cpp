#include "controller/CreditShare.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Returns an equal part of the slots, at least one. The first ranks get the remainder of the
/// division.
std::uint32_t partOf (std::uint32_t slots, std::uint32_t parts, std::uint32_t rank)
{
    const std::uint32_t extra = rank < slots % parts ? 1 : 0;
    return std::max (slots / parts + extra, 1U);
}

}  // namespace

CreditShare::CreditShare (const std::vector<cell::RoutableReplica>& replicas,
                          const DemandTable& demands, std::size_t sources)
    : m_sources (static_cast<std::uint32_t> (std::max<std::size_t> (sources, 1)))
{
    for (const cell::RoutableReplica& replica : replicas)
    {
        Runner& runner = m_runners[replica.runner];
        ++runner.replicas;
        for (const DemandSource source : demands.sourcesOf (replica.target))
        {
            const auto rank = static_cast<std::uint32_t> (runner.ranks.size());
            runner.ranks.emplace (Pair{ source, replica.replica, replica.target }, rank);
        }
    }
}

std::uint32_t CreditShare::creditsFor (DemandSource source,
                                       const cell::RoutableReplica& replica) const
{
    const auto found = m_runners.find (replica.runner);
    if (found == m_runners.end())
        return 1;
    const Runner& runner = found->second;
    const auto pairs = static_cast<std::uint32_t> (runner.ranks.size());
    if (pairs == 0)
        return partOf (replica.slots, m_sources * runner.replicas, replica.slots);
    const auto rank = runner.ranks.find ({ source, replica.replica, replica.target });
    return rank == runner.ranks.end() ? 1 : partOf (replica.slots, pairs, rank->second);
}

}  // namespace fernlift::controller
