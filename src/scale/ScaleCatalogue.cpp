#include "scale/ScaleCatalogue.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace fernlift::scale
{
namespace
{

constexpr std::int64_t kModelMemoryMegabytes = 90'000;
constexpr std::int64_t kAdapterMemoryMegabytes = 500;
constexpr std::int64_t kReplicasOfARunner = 2;
/// One adapter in this many is in use.
constexpr std::int64_t kAdaptersForEachActive = 50;
constexpr std::int64_t kFirstDeadlineMilliseconds = 30'000;
constexpr std::int64_t kDeadlineSteps = 1000;

constexpr const char* kHead = R"(zones = ["z1", "z2", "z3"]
largest_runner_memory_mb = 320000

[prices]
cold_start_second = 0.02
idle_accelerator_hour = 2.0

[weight_store]
loads_per_second = 1000.0
concurrent_loads = 1000

[[class]]
name = "standard"
urgency = 4
deadline_ms = 30000

[[class]]
name = "approval"
urgency = 1
deadline_ms = 10000
repeatable = false

)";

std::string numbered (const char* format, std::int64_t index)
{
    char text[32];
    std::snprintf (text, sizeof (text), format, static_cast<long long> (index));
    return text;
}

std::int64_t keptOfEach (const ScaleSizes& sizes)
{
    const std::int64_t wanted =
        kReplicasOfARunner * sizes.runners / std::max<std::int64_t> (sizes.models, 1);
    return std::clamp<std::int64_t> (wanted, 1, sizes.runners);
}

void writeModels (std::ostream& text, const ScaleSizes& sizes)
{
    const std::int64_t kept = keptOfEach (sizes);
    for (std::int64_t index = 0; index < sizes.models; ++index)
    {
        text << "[[model]]\nname = \"" << modelName (index)
             << "\"\nversion = \"1\"\nmemory_mb = " << kModelMemoryMegabytes
             << "\nmax_replicas = " << kept << "\nmin_replicas = " << kept
             << "\nclass = \"standard\"\n\n";
    }
}

void writeAdapters (std::ostream& text, const ScaleSizes& sizes)
{
    for (std::int64_t index = 0; index < sizes.adapters; ++index)
    {
        text << "[[adapter]]\nname = \"" << adapterName (index) << "\"\nbase = \""
             << modelName (index % sizes.models) << "\"\nmemory_mb = " << kAdapterMemoryMegabytes
             << "\nmax_replicas = 2\nclass = \"standard\"\n\n";
    }
}

}  // namespace

std::string zoneName (std::int64_t index) { return numbered ("z%lld", index % kZones + 1); }
std::string modelName (std::int64_t index) { return numbered ("model-%02lld", index); }
std::string adapterName (std::int64_t index) { return numbered ("adapter-%05lld", index); }
std::string runnerName (std::int64_t index) { return numbered ("runner-%04lld", index); }

std::int64_t activeAdapters (std::int64_t adapters)
{
    return adapters == 0 ? 0 : std::max<std::int64_t> (adapters / kAdaptersForEachActive, 1);
}

std::int64_t keptReplicas (const ScaleSizes& sizes) { return keptOfEach (sizes) * sizes.models; }

std::string catalogueText (const ScaleSizes& sizes, std::uint64_t version)
{
    std::ostringstream text;
    text << "cell = \"" << kCellName << "\"\nversion = " << version << '\n' << kHead;
    text << "# What changes from version to version.\n[[class]]\nname = \"changing\"\nurgency = 6\n"
         << "deadline_ms = "
         << kFirstDeadlineMilliseconds + static_cast<std::int64_t> (version) % kDeadlineSteps
         << "\n\n";
    writeModels (text, sizes);
    writeAdapters (text, sizes);
    return text.str();
}

}  // namespace fernlift::scale
