#include "sim/SimulationOptions.h"

#include <array>

namespace fernlift::sim
{
namespace
{

constexpr std::array kPlantedFaultNames = {
    "none",
    "vote-before-sync",
    "append-reply-before-sync",
    "lease-without-majority",
    "lease-without-vote-delay",
    "order-without-fence",
    "replica-released-on-silence",
    "configuration-by-version-only",
    "lease-without-leader-lease",
    "stale-read",
    "memory-counted-when-ready",
    "claims-not-snapshotted",
    "identity-reused",
    "retry-sent-unrepeatable",
    "pass-duplicate-chunks",
    "drop-refusal",
    "ignore-lease",
    "not-run-after-bytes",
    "dispatch-to-leaving",
    "clock-stops-in-suspension",
};

constexpr std::array kFaultKindNames = {
    "controller killed",
    "controller frozen",
    "controller stopped",
    "all controllers killed",
    "leader cut off",
    "leader and member cut",
    "one-way cut",
    "partition",
    "connection reset",
    "turbulence",
    "slow link",
    "slow disk",
    "voter killed",
    "disk lost",
    "clock step",
    "router killed",
    "router frozen",
    "router stopped",
    "router cut off",
    "engine killed",
    "engine frozen",
    "engine silent",
    "engine misbehaves",
    "engine cut off",
    "machine leaves",
    "application killed",
    "application misbehaves",
    "weight store slow",
    "machine list lags",
    "request burst",
};
static_assert (kFaultKindNames.size() == kFaultKinds);

}  // namespace

const std::vector<PlantedFault>& allPlantedFaults()
{
    static const std::vector<PlantedFault> faults = []
    {
        std::vector<PlantedFault> all;
        for (std::size_t number = 1; number < kPlantedFaultNames.size(); ++number)
        {
            const auto fault = static_cast<PlantedFault> (number);
            // Sweeps have not found this fault so far; a test in src/cell covers it (see
            // docs/design/simulation.md).
            if (fault == PlantedFault::kMemoryCountedWhenReady)
                continue;
            all.push_back (fault);
        }
        return all;
    }();
    return faults;
}

std::string_view toString (PlantedFault fault)
{
    return kPlantedFaultNames.at (static_cast<std::size_t> (fault));
}

std::optional<PlantedFault> plantedFaultNamed (std::string_view name)
{
    for (std::size_t number = 0; number < kPlantedFaultNames.size(); ++number)
    {
        if (name == kPlantedFaultNames.at (number))
            return static_cast<PlantedFault> (number);
    }
    return std::nullopt;
}

std::string_view toString (FaultKind kind)
{
    return kFaultKindNames.at (static_cast<std::size_t> (kind));
}

}  // namespace fernlift::sim
