#pragma once

/// Test support: rows of a replica table.

#include <string>
#include <vector>

#include "routing/ReplicaTable.h"

namespace fernlift::routing::testing
{

inline cell::RoutableReplica row (const std::string& runner, const std::string& target = "m",
                                  std::uint32_t load = 0, const std::string& zone = "z1")
{
    cell::RoutableReplica made;
    made.replica = 1;
    made.runner = base::RunnerId (runner);
    made.incarnation = 1;
    made.zone = base::ZoneName (zone);
    made.address = "127.0.0.1:9000";
    made.target = target;
    made.slots = 8;
    made.load = load;
    made.credits = 8;
    return made;
}

inline cell::ReplicaUpdate wholeTable (std::vector<cell::RoutableReplica> rows,
                                       std::uint64_t version = 1)
{
    cell::ReplicaUpdate update;
    update.toVersion = version;
    update.upserts = std::move (rows);
    return update;
}

inline cell::ReplicaUpdate change (std::uint64_t fromVersion,
                                   std::vector<cell::RoutableReplica> upserts,
                                   std::vector<cell::RoutableReplica> removals = {})
{
    cell::ReplicaUpdate update;
    update.fromVersion = fromVersion;
    update.toVersion = fromVersion + 1;
    update.upserts = std::move (upserts);
    update.removals = std::move (removals);
    return update;
}

}  // namespace fernlift::routing::testing
