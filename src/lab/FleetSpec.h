#pragma once

/// Parser of the file that describes a fleet on one machine.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"

namespace fernlift::lab
{

struct ControllerSpec
{
    base::MemberId id = 0;
    base::ZoneName zone;
    bool hasFaultProxy = false;  ///< A proxy before the peer address, used by routers only.
};

struct RouterSpec
{
    base::RouterId id;
    base::ZoneName zone;
    bool hasFaultProxy = false;  ///< A proxy before the HTTP address, used by callers only.
};

struct EngineSpec
{
    base::RunnerId id;
    base::ZoneName zone;
    std::uint64_t memoryMegabytes = 0;
    std::uint32_t slots = 0;
    bool hasFaultProxy = false;  ///< Before its HTTP address, for all but the fleet tool.
};

struct ApplicationRunnerSpec
{
    base::RunnerId id;
    base::ZoneName zone;
    std::uint32_t slots = 0;
    std::vector<std::string> applications;
    bool hasFaultProxy = false;  ///< Before its HTTP address, for all but the fleet tool.
};

struct WeightStoreSpec
{
    double loadsPerSecond = 3;
    std::uint32_t concurrentLoads = 6;
};

/// Flags that every process of a role gets, after those that the fleet sets itself.
struct ExtraFlags
{
    std::vector<std::string> controllers;
    std::vector<std::string> routers;
    std::vector<std::string> engines;
    std::vector<std::string> applications;
    std::vector<std::string> weights;
    std::vector<std::string> machines;
};

/// Description of a fleet: one cell with its back ends and platform stand-ins.
struct FleetSpec
{
    base::CellId cell;
    double timeScale =
        1;  ///< Factor on durations of the stand-ins; 0.1 is a tenth of the real time.
    std::vector<ControllerSpec> controllers;
    std::vector<RouterSpec> routers;
    std::vector<EngineSpec> engines;
    std::vector<ApplicationRunnerSpec> applicationRunners;
    WeightStoreSpec weightStore;
    ExtraFlags extraFlags;
};

/// Parses a fleet file. Fails with kSettingsInvalid, naming line and key, on unknown keys, wrong
/// types, missing tables and duplicate ids.
[[nodiscard]] base::Result<FleetSpec> parseFleetSpec (std::string_view tomlText);
/// Reads and parses `path`.
[[nodiscard]] base::Result<FleetSpec> readFleetSpec (const std::string& path);

}  // namespace fernlift::lab
