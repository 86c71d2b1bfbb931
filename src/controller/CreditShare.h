#pragma once

/// Shares the slots of runners among the routers that ask for the targets on them.

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/Ids.h"
#include "cell/RouterMessages.h"
#include "controller/DemandTable.h"

namespace fernlift::controller
{

/// Who asks for what on each runner. A pair is one source together with one replica that it asks
/// for; the pairs of a runner share its slots, so that their credits add up to the slots, or to one
/// each when there are more pairs than slots. A source that asks for nothing on a runner holds one
/// credit there, enough to begin with: it is counted as soon as it states its demand.
class CreditShare
{
public:
    CreditShare (const std::vector<cell::RoutableReplica>& replicas, const DemandTable& demands,
                 std::size_t sources);

    [[nodiscard]] std::uint32_t creditsFor (DemandSource source,
                                            const cell::RoutableReplica& replica) const;

private:
    struct Pair
    {
        DemandSource source = 0;
        base::ReplicaId replica = 0;
        std::string target;
        bool operator<(const Pair& other) const
        {
            return std::tie (source, replica, target)
                   < std::tie (other.source, other.replica, other.target);
        }
    };
    struct Runner
    {
        std::map<Pair, std::uint32_t> ranks;  ///< Of the asking pairs.
        std::uint32_t replicas = 0;
    };

    std::map<base::RunnerId, Runner> m_runners;
    std::uint32_t m_sources = 1;
};

}  // namespace fernlift::controller
