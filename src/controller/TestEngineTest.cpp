// Implementation of TestEngine, and the catalogue and options of test cells, declared in
// TestCell.h. Compiled into the test binary only.

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

TestCell::Options forwardingOptions (std::size_t routers)
{
    TestCell::Options options = testOptions();
    options.routers = routers;
    options.controller.catalogueParser = &parseVersion;
    options.controller.hasMachineList = false;
    return options;
}

void TestEngine::restart()
{
    static base::Incarnation next = 1000;
    m_incarnation = ++next;
    m_highestFence = 0;
    m_lastAnswer = {};
    m_held.clear();
    isLeaving = false;
}

std::optional<base::ErrorKind> TestEngine::refusalOf (const engine::Order& order) const
{
    if (order.incarnation != m_incarnation)
        return base::ErrorKind::kIncarnationMismatch;
    if (order.fence < m_highestFence)
        return base::ErrorKind::kFenceStale;
    const bool isLoad = order.kind == engine::OrderKind::kLoadModel
                        || order.kind == engine::OrderKind::kLoadAdapter;
    if (isLoad && usedMemory() + order.memory > m_machine.memory)
    {
        return base::ErrorKind::kInsufficientMemory;
    }
    return std::nullopt;
}

engine::OrderAnswer TestEngine::take (const engine::Order& order, base::TimePoint now)
{
    const bool isRepeated = order.incarnation == m_incarnation && order.fence == m_highestFence
                            && m_lastAnswer.accepted && m_held.count (order.replica) != 0;
    if (isRepeated)
        return m_lastAnswer;
    engine::OrderAnswer answer;
    answer.incarnation = m_incarnation;
    const std::optional<base::ErrorKind> refusal = refusalOf (order);
    if (refusal)
    {
        if (*refusal == base::ErrorKind::kInsufficientMemory)
            ++memoryRefusals;
        answer.refusal = *refusal;
        answer.highestFence = m_highestFence;
        return answer;
    }
    m_highestFence = order.fence;
    answer.accepted = true;
    answer.highestFence = m_highestFence;
    carryOut (order, now);
    m_lastAnswer = answer;
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
        m_held[order.replica] = held;
        return;
    }
    const auto found = m_held.find (order.replica);
    if (found == m_held.end())
        return;
    found->second.report.phase = engine::ReplicaPhase::kUnloading;
    found->second.changesAt = now + unloadTime;
}

void TestEngine::advance (base::TimePoint now)
{
    for (auto entry = m_held.begin(); entry != m_held.end();)
    {
        Held& held = entry->second;
        const bool isDue = now >= held.changesAt;
        if (isDue && held.report.phase == engine::ReplicaPhase::kUnloading)
        {
            entry = m_held.erase (entry);
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
    report.runner = m_machine.runner;
    report.incarnation = m_incarnation;
    report.isLeaving = isLeaving;
    report.totalMemory = m_machine.memory;
    report.usedMemory = usedMemory();
    report.highestFence = m_highestFence;
    report.slots = 8;
    report.runningRequests = runningRequests;
    for (const auto& [id, held] : m_held)
    {
        report.replicas.push_back (held.report);
        report.replicas.back().runningRequests = runningRequests;
    }
    return report;
}

engine::Megabytes TestEngine::usedMemory() const
{
    engine::Megabytes used = 0;
    for (const auto& [id, held] : m_held)
        used += held.report.memory;
    return used;
}

std::uint32_t TestEngine::holds (const std::string& target) const
{
    return static_cast<std::uint32_t> (
        std::count_if (m_held.begin(), m_held.end(),
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
    return std::any_of (m_held.begin(), m_held.end(),
                        [&] (const auto& entry)
                        {
                            const engine::ReplicaReport& report = entry.second.report;
                            const std::string& name =
                                report.adapter.empty() ? report.model.value : report.adapter.value;
                            return name == target && report.phase == engine::ReplicaPhase::kReady;
                        });
}

}  // namespace fernlift::controller::test
