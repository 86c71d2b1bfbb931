#pragma once

/// Test support: catalogues built in code, and random commands that refer to what a state holds.

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
/// that lowers bounds, removes models, moves an adapter to another base or makes models larger.
config::Catalogue catalogueOf (std::uint64_t version);
/// Parser of the texts that configurationOf() writes.
config::CatalogueOutcome parseTestCatalogue (std::string_view text);
/// A valid proposal; texts with another `note` have another digest.
ApplyConfiguration configurationOf (std::uint64_t version, const std::string& note,
                                    base::UnixMilliseconds at);
ObserveRunner observationOf (const std::string& runner, base::Incarnation incarnation,
                             base::UnixMilliseconds at);

/// One random command; `word` says which. Commands may or may not suit the state.
Command commandFrom (std::uint32_t word, const CellState& state, base::UnixMilliseconds at);
/// `count` words for commandFrom().
std::vector<std::uint32_t> randomWords (base::Random& random, std::size_t count);

/// What violationAfter() compares with.
struct Before
{
    std::map<base::ReplicaId, Replica> replicas;
    ConfigurationIdentity configuration;
};

/// What is wrong with the state after a command, empty when nothing is. Works from the list of
/// replicas alone, not from the counts that the state keeps.
std::string violationAfter (const Before& before, const CellState& after, const Command& command,
                            const ApplyResult& result);

/// Applies the commands that `words` stand for; the first violation, empty when there is none.
std::string runCommands (CellState& state, const std::vector<std::uint32_t>& words);

}  // namespace fernlift::cell::test
