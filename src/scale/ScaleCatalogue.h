#pragma once

/// Names and the catalogue of a generated cell, the same in every process of a scale run.

#include <cstdint>
#include <string>

#include "scale/ScaleSizes.h"

namespace fernlift::scale
{

inline constexpr const char* kCellName = "scale";
inline constexpr std::uint64_t kRunnerMemoryMegabytes = 320'000;  ///< Four accelerators.
inline constexpr std::uint32_t kRunnerAccelerators = 4;
inline constexpr std::uint32_t kRunnerSlots = 64;
inline constexpr std::int64_t kZones = 3;

[[nodiscard]] std::string zoneName (std::int64_t index);
[[nodiscard]] std::string modelName (std::int64_t index);
[[nodiscard]] std::string adapterName (std::int64_t index);
[[nodiscard]] std::string runnerName (std::int64_t index);
/// Adapters that callers use all the time: the first ones. The others are idle.
[[nodiscard]] std::int64_t activeAdapters (std::int64_t adapters);
/// Base-model replicas that the catalogue keeps loaded, over all models.
[[nodiscard]] std::int64_t keptReplicas (const ScaleSizes& sizes);
/// The operator's file. Files of two versions differ in one line beside the version.
[[nodiscard]] std::string catalogueText (const ScaleSizes& sizes, std::uint64_t version);

}  // namespace fernlift::scale
