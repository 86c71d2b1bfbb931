#pragma once

/// Limits of a catalogue file. docs/catalogue.md lists them for operators.

#include <cstddef>
#include <cstdint>

namespace fernlift::config
{

constexpr std::size_t kMaxCatalogueBytes = 1024UL * 1024;
constexpr std::size_t kMaxZones = 64;
constexpr std::size_t kMaxClasses = 32;
constexpr std::size_t kMaxModels = 2000;
constexpr std::size_t kMaxAdapters = 8000;
constexpr std::size_t kMaxApplications = 500;
/// Maximum length of a name or of a model's version, in characters.
constexpr std::size_t kMaxNameLength = 128;
constexpr std::int64_t kMaxMemoryMegabytes = 100'000'000;
constexpr std::int64_t kMaxReplicas = 10'000;
constexpr std::int64_t kMostUrgent = 0;
constexpr std::int64_t kLeastUrgent = 9;
constexpr std::int64_t kMaxDeadlineMilliseconds = 24LL * 60 * 60 * 1000;
/// Applies to each class and to the sum over all classes, so that every runner keeps slots that any
/// class may use.
constexpr double kMaxReservedSlotShare = 0.9;
constexpr double kMaxPrice = 1e9;
constexpr double kMinLoadsPerSecond = 0.001;
constexpr double kMaxLoadsPerSecond = 10'000;
constexpr std::int64_t kMaxConcurrentLoads = 10'000;
/// Maximum number of problems reported for one file; one more entry states that others were
/// omitted.
constexpr std::size_t kMaxProblems = 1000;

}  // namespace fernlift::config
