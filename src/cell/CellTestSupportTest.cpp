// Implements CellTestSupport.h. Compiled into the test binary only.

#include <algorithm>
#include <cstdlib>
#include <iterator>

#include "base/Digest.h"
#include "cell/CellTestSupport.h"

namespace fernlift::cell::test
{
namespace
{

constexpr std::uint32_t kModels = 3;
constexpr std::uint32_t kRunners = 4;
constexpr std::uint32_t kIncarnations = 3;
constexpr std::uint32_t kVersionSteps = 4;

config::Model modelOf (const std::string& name, engine::Megabytes memory, std::uint32_t bound)
{
    config::Model model;
    model.name = base::ModelName (name);
    model.version = "1";
    model.memory = memory;
    model.maxReplicas = bound;
    return model;
}

config::Adapter adapterOf (const std::string& name, const std::string& model,
                           engine::Megabytes memory, std::uint32_t bound)
{
    config::Adapter adapter;
    adapter.name = base::AdapterName (name);
    adapter.base = base::ModelName (model);
    adapter.memory = memory;
    adapter.maxReplicas = bound;
    return adapter;
}

/// Splits a random word into independent parts.
class WordParts
{
public:
    explicit WordParts (std::uint32_t word) : m_rest (word) {}
    std::uint32_t take (std::uint32_t count)
    {
        const std::uint32_t part = m_rest % count;
        m_rest /= count;
        return part;
    }

private:
    std::uint32_t m_rest;
};

base::RunnerId runnerOf (std::uint32_t number)
{
    return base::RunnerId ("r" + std::to_string (number));
}

/// Picks the id of a replica of the state, or an id that does not exist.
base::ReplicaId pickReplica (const CellState& state, WordParts& parts)
{
    const auto& replicas = state.replicas().replicas();
    const std::uint32_t position = parts.take (static_cast<std::uint32_t> (replicas.size()) + 1);
    if (position == replicas.size())
        return 1'000'000;
    return std::next (replicas.begin(), position)->first;
}

base::Incarnation pickIncarnation (const CellState& state, const base::RunnerId& runner,
                                   WordParts& parts)
{
    const Runner* known = state.replicas().findRunner (runner);
    const bool isPresentOne = parts.take (40) != 0;
    return known != nullptr && isPresentOne ? known->incarnation : 1 + parts.take (kIncarnations);
}

DecideLoad loadFrom (WordParts& parts, const CellState& state, base::UnixMilliseconds at)
{
    DecideLoad load;
    load.runner = runnerOf (parts.take (kRunners));
    load.incarnation = pickIncarnation (state, load.runner, parts);
    load.model = base::ModelName (std::string (1, static_cast<char> ('a' + parts.take (kModels))));
    load.proposedAt = at;
    load.reason = "test";
    const std::uint32_t adapter = parts.take (3);
    if (adapter == 0)
        return load;
    load.adapter = base::AdapterName (adapter == 1 ? "x" : "y");
    for (const base::ReplicaId id : state.replicas().replicasOn (load.runner))
    {
        const Replica& replica = *state.replicas().findReplica (id);
        if (replica.model == load.model && ! replica.isAdapter())
            load.baseReplica = id;
    }
    return load;
}

ObserveRunner observeFrom (WordParts& parts, const CellState& state, base::UnixMilliseconds at)
{
    const base::RunnerId runner = runnerOf (parts.take (kRunners));
    const base::Incarnation incarnation = pickIncarnation (state, runner, parts);
    ObserveRunner observe = observationOf (runner.value, incarnation, at);
    observe.isLeaving = parts.take (60) == 0;
    if (parts.take (50) == 0)
        observe.machine.memory /= 2;
    return observe;
}

Claim claimFrom (WordParts& parts, base::UnixMilliseconds at)
{
    Claim claim;
    claim.key = base::IdempotencyKey ("key" + std::to_string (parts.take (5)));
    claim.requestDigest = parts.take (10) == 0 ? "other" : "digest";
    claim.request = base::RequestId ("request" + std::to_string (parts.take (4)));
    claim.router = base::RouterId ("router");
    claim.expiresAt = at + static_cast<base::UnixMilliseconds> (20) * (1 + parts.take (50));
    return claim;
}

OutcomeRecord outcomeFrom (WordParts& parts)
{
    OutcomeRecord outcome;
    outcome.key = base::IdempotencyKey ("key" + std::to_string (parts.take (5)));
    outcome.request = base::RequestId ("request" + std::to_string (parts.take (4)));
    outcome.outcome = static_cast<ClaimOutcome> (parts.take (4));
    return outcome;
}

std::uint32_t boundOf (const config::Catalogue& catalogue, const Replica& replica)
{
    if (replica.isAdapter())
        return catalogue.findAdapter (replica.adapter)->maxReplicas;
    return catalogue.findModel (replica.model)->maxReplicas;
}

/// Checks that a granted load keeps the bound of its target and the memory of its runner.
std::string violationOfLoad (const CellState& state, base::ReplicaId id)
{
    const Replica& loaded = *state.replicas().findReplica (id);
    std::uint32_t count = 0;
    engine::Megabytes memory = 0;
    for (const auto& [other, replica] : state.replicas().replicas())
    {
        if (replica.target() == loaded.target())
            ++count;
        if (replica.runner == loaded.runner)
            memory += replica.memory;
    }
    if (count > boundOf (*state.configuration().catalogue(), loaded))
    {
        return "more replicas of " + loaded.target() + " than its bound";
    }
    if (memory > state.replicas().findRunner (loaded.runner)->machine.memory)
    {
        return "memory of " + loaded.runner.value + " overcommitted";
    }
    return "";
}

std::string violationOfReplica (const CellState& state, const Replica& replica)
{
    const Runner* runner = state.replicas().findRunner (replica.runner);
    if (runner == nullptr || runner->incarnation != replica.incarnation)
    {
        return "a replica is kept after its runner's incarnation ended";
    }
    if (replica.fence > state.appliedIndex() || replica.id > replica.fence)
    {
        return "a replica has a fence outside the indexes of its decisions";
    }
    if (! replica.isAdapter())
        return "";
    const Replica* base = state.replicas().findReplica (replica.baseReplica);
    const bool hasBase = base != nullptr && base->runner == replica.runner && ! base->isAdapter()
                         && base->stage == ReplicaStage::kReady;
    return hasBase ? "" : "an adapter is loaded without a ready base replica";
}

/// Whether the command justifies the removal of the replica: its release after an unload decision,
/// the removal of its runner, or a new incarnation of its runner.
bool mayBeRemoved (const Replica& replica, const Command& command)
{
    if (const auto* released = std::get_if<ReplicaReleased> (&command))
    {
        return released->replica == replica.id && replica.stage == ReplicaStage::kUnloading;
    }
    if (const auto* removed = std::get_if<RemoveRunner> (&command))
    {
        return removed->runner == replica.runner;
    }
    const auto* observed = std::get_if<ObserveRunner> (&command);
    return observed != nullptr && observed->machine.runner == replica.runner
           && observed->incarnation != replica.incarnation;
}

}  // namespace

config::Catalogue catalogueOf (std::uint64_t version)
{
    config::Catalogue catalogue;
    catalogue.version = version;
    catalogue.models = { modelOf ("a", 400, 2), modelOf ("b", 300, 1), modelOf ("c", 700, 3) };
    catalogue.models[2].zones = { base::ZoneName ("z1") };
    catalogue.adapters = { adapterOf ("x", "a", 100, 2), adapterOf ("y", "b", 150, 1) };
    switch (version % 6)
    {
        case 1:
            catalogue.models[0].maxReplicas = 1;
            break;
        case 2:
            catalogue.models.pop_back();
            break;
        case 3:
            catalogue.adapters = { adapterOf ("x", "b", 100, 1), adapterOf ("y", "a", 150, 1) };
            break;
        case 4:
            catalogue.models[0].memory = 600;
            catalogue.models[0].version = "2";
            break;
        default:
            break;
    }
    return catalogue;
}

config::CatalogueOutcome parseTestCatalogue (std::string_view text)
{
    const std::uint64_t version = std::strtoull (std::string (text).c_str(), nullptr, 10);
    if (version == 0)
        return { std::nullopt, { { 1, "version", "missing" } } };
    return { catalogueOf (version), {} };
}

ApplyConfiguration configurationOf (std::uint64_t version, const std::string& note,
                                    base::UnixMilliseconds at)
{
    const std::string text = std::to_string (version) + " " + note;
    return { version, base::sha256Hex (text), text, at };
}

ObserveRunner observationOf (const std::string& runner, base::Incarnation incarnation,
                             base::UnixMilliseconds at)
{
    ObserveRunner observe;
    observe.machine.runner = base::RunnerId (runner);
    observe.machine.zone = base::ZoneName (runner == "r0" ? "z1" : "z2");
    observe.machine.address = "127.0.0.1:1";
    observe.machine.memory = kRunnerMemory;
    observe.incarnation = incarnation;
    observe.proposedAt = at;
    return observe;
}

Command commandFrom (std::uint32_t word, const CellState& state, base::UnixMilliseconds at)
{
    WordParts parts (word);
    switch (parts.take (24))
    {
        case 0:
        {
            const std::uint64_t version =
                state.configuration().identity().version + parts.take (kVersionSteps);
            return configurationOf (std::max<std::uint64_t> (version, 2) - 1,
                                    parts.take (4) == 0 ? "other" : "file", at);
        }
        case 1:
            if (parts.take (4) != 0)
                return loadFrom (parts, state, at);
            return RemoveRunner{ runnerOf (parts.take (kRunners)), at };
        case 2:
            return SetDraining{ runnerOf (parts.take (kRunners)), parts.take (3) == 0, at };
        case 3:
        case 4:
        case 5:
            return observeFrom (parts, state, at);
        case 6:
        case 7:
        case 8:
        case 9:
            return ReplicaReady{ pickReplica (state, parts), at };
        case 10:
        case 11:
            return DecideUnload{ pickReplica (state, parts), "test", at };
        case 12:
            return ReplicaReleased{ pickReplica (state, parts), "test", at };
        case 13:
        case 14:
            return ClaimKeys{ { claimFrom (parts, at) }, at };
        case 15:
            return RecordOutcomes{ { outcomeFrom (parts) }, at };
        default:
            return loadFrom (parts, state, at);
    }
}

std::vector<std::uint32_t> randomWords (base::Random& random, std::size_t count)
{
    std::vector<std::uint32_t> words (count);
    for (std::uint32_t& word : words)
        word = static_cast<std::uint32_t> (random.bits());
    return words;
}

std::string violationAfter (const Before& before, const CellState& after, const Command& command,
                            const ApplyResult& result)
{
    const auto* load = std::get_if<LoadResult> (&result);
    if (load != nullptr && load->refusal == LoadRefusal::kNone)
    {
        std::string violation = violationOfLoad (after, after.appliedIndex());
        if (! violation.empty())
            return violation;
    }
    for (const auto& [id, replica] : after.replicas().replicas())
    {
        std::string violation = violationOfReplica (after, replica);
        if (! violation.empty())
            return violation;
    }
    for (const auto& [id, replica] : before.replicas)
    {
        const Replica* now = after.replicas().findReplica (id);
        if (now == nullptr && ! mayBeRemoved (replica, command))
            return "a replica was removed without a command that justifies it";
        if (now != nullptr && now->fence < replica.fence)
            return "a fence decreased";
    }
    const ConfigurationIdentity& old = before.configuration;
    const ConfigurationIdentity& present = after.configuration().identity();
    const bool isReverted = present.version < old.version
                            || (present.version == old.version && present.digest != old.digest);
    return isReverted ? "the configuration was replaced by an earlier or conflicting one" : "";
}

std::string runCommands (CellState& state, const std::vector<std::uint32_t>& words)
{
    base::LogIndex index = state.appliedIndex();
    base::UnixMilliseconds at = std::max (state.time(), kStart);
    for (const std::uint32_t word : words)
    {
        const Command command = commandFrom (word, state, at);
        const Before before{ state.replicas().replicas(), state.configuration().identity() };
        const ApplyResult result = state.apply (++index, command);
        at += word % 20;
        std::string violation = violationAfter (before, state, command, result);
        if (! violation.empty())
            return violation + " at command " + std::to_string (index);
    }
    return "";
}

}  // namespace fernlift::cell::test
