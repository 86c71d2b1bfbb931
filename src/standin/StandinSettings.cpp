#include "standin/StandinSettings.h"

#include <charconv>
#include <random>

#include "engine/JsonFields.h"
#include "standin/MachineListModel.h"

namespace fernlift::standin
{
namespace
{

constexpr std::int64_t kMaxMegabytes = 100'000'000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr base::Duration kMaxDuration = base::seconds (3600);
constexpr double kMaxRate = 1e9;

base::Result<Checkpoint> parseCheckpoint (const std::string& text)
{
    const auto first = text.find (',');
    const auto second = first == std::string::npos ? first : text.find (',', first + 1);
    Checkpoint checkpoint;
    bool isGood = second != std::string::npos;
    if (isGood)
    {
        checkpoint.artifact = text.substr (0, first);
        checkpoint.version = text.substr (first + 1, second - first - 1);
        const char* const begin = text.data() + second + 1;
        const char* const end = text.data() + text.size();
        const auto parsed = std::from_chars (begin, end, checkpoint.size);
        isGood = parsed.ec == std::errc() && parsed.ptr == end;
    }
    if (isGood)
        return checkpoint;
    return base::fail (base::ErrorKind::kSettingsInvalid,
                       "checkpoint '" + text + "': allowed: artifact,version,size_mb");
}

}  // namespace

void CommonSettings::declare (config::SettingsSchema& schema)
{
    schema.addAddress ("http_address", &httpAddress, "Address of the HTTP interface; port 0: any.");
    schema.addReal ("time_scale", &timeScale, 0.0001, 1000.0,
                    "Factor on every simulated duration; 0.1 makes all ten times quicker.");
    schema.addDuration ("stop_grace_ms", &stopGrace, {}, kMaxDuration,
                        "Least real time between a stop signal and the end of the process.");
    schema.addString ("ledger_file", &ledgerFile,
                      "Gets the ledger as one more line at a planned stop; empty: none.");
    config::addLoggingSettings (schema, &log);
}

void EngineSettings::declare (config::SettingsSchema& schema)
{
    schema.addString ("runner", &runner, "Name of this runner.").required();
    schema.addString ("weight_store", &weightStore, "Address of the weight store; empty: none.");
    schema.addInteger ("memory_mb", &totalMemory, 1, kMaxMegabytes, "Accelerator memory.");
    schema.addInteger ("slots", &slots, 1, kMaxCount, "Requests that run at once.");
    schema.addInteger ("maximum_waiting", &maximumWaiting, 0, kMaxCount,
                       "Requests that wait for a slot; more are refused.");
    schema.addInteger ("disk_cache_mb", &diskCapacity, 0, kMaxMegabytes,
                       "Room for checkpoints on disk.");
    schema.addInteger ("memory_cache_mb", &memoryCapacity, 0, kMaxMegabytes,
                       "Room for checkpoints in main memory.");
    schema.addStringList ("checkpoint", &checkpoints,
                          "Checkpoint on disk at the start: artifact,version,size_mb.");
    schema.addReal ("disk_mb_per_second", &options.diskMegabytesPerSecond, 1.0, kMaxRate,
                    "Speed from disk to main memory.");
    schema.addReal ("memory_mb_per_second", &options.memoryMegabytesPerSecond, 1.0, kMaxRate,
                    "Speed from main memory to the accelerator.");
    schema.addDuration ("load_overhead_ms", &options.loadOverhead, {}, kMaxDuration,
                        "Time added to each step of a load.");
    schema.addDuration ("unload_ms", &options.unloadTime, {}, kMaxDuration, "Time of an unload.");
    schema.addDuration ("step_ms", &options.stepTime, base::milliseconds (1), kMaxDuration,
                        "Time in which each running request gets one token.");
    schema.addInteger ("prefill_blocks_per_step", &prefillBlocksPerStep, 1, kMaxCount,
                       "Prompt blocks a request computes in one step.");
    schema.addInteger ("cache_blocks", &cacheBlocks, 0, kMaxCount,
                       "KV blocks of all requests and the prefix cache.");
    schema.addDuration ("cache_event_delay_ms", &options.cacheEventDelay, {}, kMaxDuration,
                        "Delay of cache events.");
    schema.addDuration ("report_lag_ms", &options.reportLag, base::milliseconds (1), kMaxDuration,
                        "Reports show the state between one and two of these ago.");
}

base::Result<EngineOptions> EngineSettings::toOptions() const
{
    EngineOptions result = options;
    result.runner.value = runner;
    result.incarnation = drawIncarnation();
    result.totalMemory = static_cast<Megabytes> (totalMemory);
    result.slots = static_cast<std::uint32_t> (slots);
    result.maximumWaiting = static_cast<std::uint32_t> (maximumWaiting);
    result.diskCapacity = static_cast<Megabytes> (diskCapacity);
    result.memoryCapacity = static_cast<Megabytes> (memoryCapacity);
    result.cacheBlocks = static_cast<std::size_t> (cacheBlocks);
    result.prefillBlocksPerStep = static_cast<std::uint32_t> (prefillBlocksPerStep);
    for (const auto& text : checkpoints)
    {
        auto checkpoint = parseCheckpoint (text);
        if (! checkpoint)
            return checkpoint.error();
        result.checkpointsOnDisk.push_back (checkpoint.value());
    }
    return result;
}

void ApplicationSettings::declare (config::SettingsSchema& schema)
{
    schema.addString ("runner", &runner, "Name of this runner.").required();
    schema.addInteger ("slots", &slots, 1, kMaxCount, "Requests that run at once.");
    schema.addInteger ("maximum_waiting", &maximumWaiting, 0, kMaxCount,
                       "Requests that wait for a slot; more are refused.");
    schema.addDuration ("service_ms", &options.serviceTime, {}, kMaxDuration,
                        "Time one request takes.");
}

ApplicationOptions ApplicationSettings::toOptions() const
{
    ApplicationOptions result = options;
    result.runner.value = runner;
    result.incarnation = drawIncarnation();
    result.slots = static_cast<std::uint32_t> (slots);
    result.maximumWaiting = static_cast<std::uint32_t> (maximumWaiting);
    return result;
}

void WeightStoreSettings::declare (config::SettingsSchema& schema)
{
    schema.addReal ("loads_per_second", &options.loadsPerSecond, 0.001, kMaxRate,
                    "Transfers that may begin in a second.");
    schema.addInteger ("full_speed_transfers", &fullSpeedTransfers, 1, kMaxCount,
                       "Transfers at once at full speed; more share it.");
    schema.addReal ("mb_per_second", &options.megabytesPerSecond, 0.001, kMaxRate,
                    "Full speed of one transfer.");
}

WeightStoreOptions WeightStoreSettings::toOptions() const
{
    WeightStoreOptions result = options;
    result.fullSpeedTransfers = static_cast<std::uint32_t> (fullSpeedTransfers);
    return result;
}

void MachineListSettings::declare (config::SettingsSchema& schema)
{
    schema.addStringList ("machine", &machines,
                          "One machine: id,role,zone,address,memory_mb,accelerators[,app+app].");
    schema.addDuration ("lag_ms", &lag, {}, kMaxDuration, "Time until a change shows.");
}

base::Result<engine::MachineList> MachineListSettings::toList() const
{
    engine::MachineList list;
    for (const auto& text : machines)
    {
        auto machine = parseMachineFlag (text);
        if (! machine)
            return machine.error();
        list.machines.push_back (machine.value());
    }
    return list;
}

base::Incarnation drawIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return ((high << 32U) | device()) & engine::kMaxJsonInteger;
}

}  // namespace fernlift::standin
