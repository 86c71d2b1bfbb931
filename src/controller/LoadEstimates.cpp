#include "controller/LoadEstimates.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fernlift::controller
{
namespace
{

/// Number of latest loads from which the median is taken.
constexpr std::size_t kLoadsConsidered = 9;
/// A load that exceeds its expected time is expected to take its age divided by this longer.
constexpr int kOverrunDivisor = 2;
/// An estimate is sent again when it changes by more than this and by more than the share below.
constexpr base::Duration kMinResendChange = base::milliseconds (250);
/// One part in this many of the remaining time.
constexpr int kResendDivisor = 4;

struct FinishedLoad
{
    base::UnixMilliseconds readyAt = 0;
    double millisecondsPerMegabyte = 0;
};

std::vector<FinishedLoad> finishedLoads (const cell::ReplicaTable& table, bool isAdapter)
{
    std::vector<FinishedLoad> loads;
    for (const auto& [id, replica] : table.replicas())
    {
        const bool isFinished = replica.readyAt != 0 && replica.readyAt >= replica.decidedAt;
        if (! isFinished || replica.isAdapter() != isAdapter || replica.memory == 0)
            continue;
        const auto took = static_cast<double> (replica.readyAt - replica.decidedAt);
        loads.push_back ({ replica.readyAt, took / static_cast<double> (replica.memory) });
    }
    return loads;
}

/// Returns the median milliseconds per megabyte of the latest loads of one kind.
std::optional<double> medianPace (const cell::ReplicaTable& table, bool isAdapter)
{
    std::vector<FinishedLoad> loads = finishedLoads (table, isAdapter);
    if (loads.empty())
        return std::nullopt;
    std::sort (loads.begin(), loads.end(),
               [] (const FinishedLoad& left, const FinishedLoad& right)
               { return left.readyAt > right.readyAt; });
    loads.resize (std::min (loads.size(), kLoadsConsidered));
    std::sort (loads.begin(), loads.end(),
               [] (const FinishedLoad& left, const FinishedLoad& right)
               { return left.millisecondsPerMegabyte < right.millisecondsPerMegabyte; });
    return loads[loads.size() / 2].millisecondsPerMegabyte;
}

std::optional<base::Duration> loadDuration (std::optional<double> pace, engine::Megabytes memory)
{
    if (! pace)
        return std::nullopt;
    return base::milliseconds (static_cast<std::int64_t> (*pace * static_cast<double> (memory)));
}

bool couldHold (const cell::Runner& runner, const config::Model& model)
{
    if (runner.machine.role != engine::MachineRole::kModelRunner)
        return false;
    if (runner.machine.memory < model.memory)
        return false;
    return config::allowsZone (model.zones, runner.machine.zone);
}

void addUnservable (const cell::ReplicaTable& table, const config::Catalogue& catalogue,
                    base::TimePoint now, ReadyEstimates& estimates)
{
    if (table.runners().empty())
        return;
    std::set<base::ModelName> unservable;
    for (const config::Model& model : catalogue.models)
    {
        const bool isHoldable =
            std::any_of (table.runners().begin(), table.runners().end(),
                         [&] (const auto& entry) { return couldHold (entry.second, model); });
        if (isHoldable)
            continue;
        unservable.insert (model.name);
        estimates[model.name.value] = ReadyEstimate{ false, now };
    }
    if (unservable.empty())
        return;
    for (const config::Adapter& adapter : catalogue.adapters)
    {
        if (unservable.count (adapter.base) == 0)
            continue;
        estimates[adapter.name.value] = ReadyEstimate{ false, now };
    }
}

}  // namespace

ReadyEstimates estimateTargets (const cell::ReplicaTable& table, const config::Catalogue& catalogue,
                                base::UnixMilliseconds cellTime, base::TimePoint now)
{
    ReadyEstimates estimates;
    std::set<std::string> ready;
    for (const auto& [id, replica] : table.replicas())
    {
        if (replica.stage == cell::ReplicaStage::kReady)
            ready.insert (replica.target());
    }
    const std::optional<double> modelPace = medianPace (table, false);
    const std::optional<double> adapterPace = medianPace (table, true);
    for (const auto& [id, replica] : table.replicas())
    {
        const bool isAwaited =
            replica.stage == cell::ReplicaStage::kLoading && ready.count (replica.target()) == 0;
        if (! isAwaited)
            continue;
        const std::optional<base::Duration> expected =
            loadDuration (replica.isAdapter() ? adapterPace : modelPace, replica.memory);
        if (! expected)
            continue;
        const base::Duration age =
            base::milliseconds (std::max<base::UnixMilliseconds> (cellTime - replica.decidedAt, 0));
        const base::Duration left = *expected > age ? *expected - age : age / kOverrunDivisor;
        const auto [entry, isNew] =
            estimates.try_emplace (replica.target(), ReadyEstimate{ true, now + left });
        if (! isNew)
            entry->second.readyAt = std::min (entry->second.readyAt, now + left);
    }
    addUnservable (table, catalogue, now, estimates);
    return estimates;
}

ReadyEstimates keepSentEstimates (const ReadyEstimates& sent, ReadyEstimates fresh,
                                  base::TimePoint now)
{
    for (auto& [target, estimate] : fresh)
    {
        const auto known = sent.find (target);
        if (known == sent.end() || known->second.canBeServed != estimate.canBeServed)
            continue;
        const base::Duration moved = std::chrono::abs (estimate.readyAt - known->second.readyAt);
        const base::Duration left = estimate.readyAt - now;
        const bool isSame = moved <= std::max (kMinResendChange, left / kResendDivisor);
        if (isSame || ! estimate.canBeServed)
            estimate = known->second;
    }
    return fresh;
}

cell::TargetEstimate toMessage (const std::string& target, const ReadyEstimate& estimate,
                                base::TimePoint now)
{
    const base::Duration left = std::max (estimate.readyAt - now, base::Duration::zero());
    return { target, estimate.canBeServed, base::toMilliseconds (left) };
}

}  // namespace fernlift::controller
