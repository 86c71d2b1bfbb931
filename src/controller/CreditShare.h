#pragma once

/// Divides the slots of runners among the routers that have demand for the targets on them.

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

/// Computes the credits of each source for each replica. A pair is one source and one replica for
/// which it has demand. The pairs of a runner share its slots: their credits add up to the number
/// of slots, or are one each when there are more pairs than slots. A source without demand on a
/// runner holds one credit there, which lets it send its first request; it gets a share as soon as
/// it reports its demand.
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
        std::map<Pair, std::uint32_t> ranks;  ///< Rank of each pair with demand.
        std::uint32_t replicas = 0;
    };

    std::map<base::RunnerId, Runner> m_runners;
    std::uint32_t m_sources = 1;
};

}  // namespace fernlift::controller
