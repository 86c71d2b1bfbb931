#pragma once

/// Test support: catalogues built in code, random commands that refer to the contents of a state,
/// and checks of the invariants of the state.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/Random.h"
#include "cell/CellState.h"

namespace fernlift::cell::test
{

constexpr base::UnixMilliseconds kStart = 1'800'000'000'000;
constexpr engine::Megabytes kRunnerMemory = 1000;

/// Catalogue `version` of a cell: models a (400 MB, two replicas), b (300, one), c (700, three,
/// zone z1 only); adapters x (100, two) on a and y (150, one) on b. The version picks a variant
/// that lowers bounds, removes models, moves adapters to another base or makes models larger.
config::Catalogue catalogueOf (std::uint64_t version);
/// Parses the texts that configurationOf() writes.
config::CatalogueOutcome parseTestCatalogue (std::string_view text);
/// Returns a valid proposal. A different `note` gives a different digest.
ApplyConfiguration configurationOf (std::uint64_t version, const std::string& note,
                                    base::UnixMilliseconds at);
ObserveRunner observationOf (const std::string& runner, base::Incarnation incarnation,
                             base::UnixMilliseconds at);

/// Returns the command that the random `word` encodes. It may be invalid for the state.
Command commandFrom (std::uint32_t word, const CellState& state, base::UnixMilliseconds at);
/// Returns `count` random words for commandFrom().
std::vector<std::uint32_t> randomWords (base::Random& random, std::size_t count);

/// State before a command, for violationAfter().
struct Before
{
    std::map<base::ReplicaId, Replica> replicas;
    ConfigurationIdentity configuration;
};

/// Returns the invariant that is violated after a command, or an empty string. Computed from the
/// list of replicas only, independently of the counts that the state keeps.
std::string violationAfter (const Before& before, const CellState& after, const Command& command,
                            const ApplyResult& result);

/// Applies the commands that `words` encode. Returns the first violation, or an empty string.
std::string runCommands (CellState& state, const std::vector<std::uint32_t>& words);

}  // namespace fernlift::cell::test
