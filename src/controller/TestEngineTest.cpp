// The engines of TestCell.h and what its cells are made of. Compiled into the test binary only.

#include <algorithm>

#include "controller/TestCell.h"

namespace fernlift::controller::test
{

engine::Machine modelRunner (const std::string& name, engine::Megabytes memory,
                             const std::string& zone)
{
    engine::Machine machine;
    machine.runner = base::RunnerId (name);
    machine.zone = base::ZoneName (zone);
    machine.address = name + ":1";
    machine.memory = memory;
    machine.accelerators = 1;
    return machine;
}

std::string testCatalogue (std::uint64_t version, const std::string& addition)
{
    return "cell = \"c\"\nversion = " + std::to_string (version) + R"(
zones = ["z1", "z2"]
largest_runner_memory_mb = 1000
[weight_store]
loads_per_second = 4.0
concurrent_loads = 4
[[class]]
name = "urgent"
urgency = 0
deadline_ms = 2000
[[class]]
name = "deep"
urgency = 8
deadline_ms = 600000
[[model]]
name = "a"
version = "1"
memory_mb = 400
max_replicas = 2
class = "urgent"
[[model]]
name = "b"
version = "1"
memory_mb = 600
max_replicas = 1
class = "deep"
[[model]]
name = "c"
version = "1"
memory_mb = 600
max_replicas = 1
class = "deep"
[[adapter]]
name = "x"
base = "a"
memory_mb = 100
max_replicas = 1
class = "urgent"
)" + addition;
}

TestCell::Options testOptions (std::size_t engines)
{
    TestCell::Options options;
    for (std::size_t number = 1; number <= engines; ++number)
    {
        options.machines.push_back (modelRunner ("r" + std::to_string (number), 1000));
    }
    options.controller.cell = base::CellId ("c");
    return options;
}

void TestEngine::restart()
{
    static base::Incarnation next = 1000;
    incarnation_ = ++next;
    highestFence_ = 0;
    lastAnswer_ = {};
    held_.clear();
    isLeaving = false;
}

std::optional<base::ErrorKind> TestEngine::refusalOf (const engine::Order& order) const
{
    if (order.incarnation != incarnation_)
        return base::ErrorKind::kIncarnationMismatch;
    if (order.fence < highestFence_)
        return base::ErrorKind::kFenceStale;
    const bool isLoad = order.kind == engine::OrderKind::kLoadModel
                        || order.kind == engine::OrderKind::kLoadAdapter;
    if (isLoad && usedMemory() + order.memory > machine_.memory)
    {
        return base::ErrorKind::kInsufficientMemory;
    }
    return std::nullopt;
}

engine::OrderAnswer TestEngine::take (const engine::Order& order, base::TimePoint now)
{
    const bool isRepeated = order.incarnation == incarnation_ && order.fence == highestFence_
                            && lastAnswer_.accepted && held_.count (order.replica) != 0;
    if (isRepeated)
        return lastAnswer_;
    engine::OrderAnswer answer;
    answer.incarnation = incarnation_;
    const std::optional<base::ErrorKind> refusal = refusalOf (order);
    if (refusal)
    {
        if (*refusal == base::ErrorKind::kInsufficientMemory)
            ++memoryRefusals;
        answer.refusal = *refusal;
        answer.highestFence = highestFence_;
        return answer;
    }
    highestFence_ = order.fence;
    answer.accepted = true;
    answer.highestFence = highestFence_;
    carryOut (order, now);
    lastAnswer_ = answer;
    return answer;
}

void TestEngine::carryOut (const engine::Order& order, base::TimePoint now)
{
    const bool isLoad = order.kind == engine::OrderKind::kLoadModel
                        || order.kind == engine::OrderKind::kLoadAdapter;
    if (isLoad)
    {
        Held held;
        held.report.replica = order.replica;
        held.report.model = order.model;
        held.report.version = order.version;
        held.report.adapter = order.adapter;
        held.report.memory = order.memory;
        held.changesAt = now + loadTime;
        held_[order.replica] = held;
        return;
    }
    const auto found = held_.find (order.replica);
    if (found == held_.end())
        return;
    found->second.report.phase = engine::ReplicaPhase::kUnloading;
    found->second.changesAt = now + unloadTime;
}

void TestEngine::advance (base::TimePoint now)
{
    for (auto entry = held_.begin(); entry != held_.end();)
    {
        Held& held = entry->second;
        const bool isDue = now >= held.changesAt;
        if (isDue && held.report.phase == engine::ReplicaPhase::kUnloading)
        {
            entry = held_.erase (entry);
            continue;
        }
        if (isDue && held.report.phase == engine::ReplicaPhase::kLoading)
        {
            held.report.phase =
                failsLoads ? engine::ReplicaPhase::kFailed : engine::ReplicaPhase::kReady;
            if (failsLoads)
                held.report.memory = 0;
        }
        ++entry;
    }
}

engine::Report TestEngine::report() const
{
    engine::Report report;
    report.runner = machine_.runner;
    report.incarnation = incarnation_;
    report.isLeaving = isLeaving;
    report.totalMemory = machine_.memory;
    report.usedMemory = usedMemory();
    report.highestFence = highestFence_;
    report.slots = 8;
    report.runningRequests = runningRequests;
    for (const auto& [id, held] : held_)
    {
        report.replicas.push_back (held.report);
        report.replicas.back().runningRequests = runningRequests;
    }
    return report;
}

engine::Megabytes TestEngine::usedMemory() const
{
    engine::Megabytes used = 0;
    for (const auto& [id, held] : held_)
        used += held.report.memory;
    return used;
}

std::uint32_t TestEngine::holds (const std::string& target) const
{
    return static_cast<std::uint32_t> (
        std::count_if (held_.begin(), held_.end(),
                       [&] (const auto& entry)
                       {
                           const engine::ReplicaReport& report = entry.second.report;
                           const std::string& name =
                               report.adapter.empty() ? report.model.value : report.adapter.value;
                           return name == target && report.phase != engine::ReplicaPhase::kFailed;
                       }));
}

bool TestEngine::isReady (const std::string& target) const
{
    return std::any_of (held_.begin(), held_.end(),
                        [&] (const auto& entry)
                        {
                            const engine::ReplicaReport& report = entry.second.report;
                            const std::string& name =
                                report.adapter.empty() ? report.model.value : report.adapter.value;
                            return name == target && report.phase == engine::ReplicaPhase::kReady;
                        });
}

}  // namespace fernlift::controller::test
