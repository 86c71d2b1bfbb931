#pragma once

/// Limits of a catalogue file. docs/catalogue.md lists them for operators.

#include <cstddef>
#include <cstdint>

namespace fernlift::config
{

constexpr std::size_t kMaximumCatalogueBytes = 1024UL * 1024;
constexpr std::size_t kMaximumZones = 64;
constexpr std::size_t kMaximumClasses = 32;
constexpr std::size_t kMaximumModels = 2000;
constexpr std::size_t kMaximumAdapters = 8000;
constexpr std::size_t kMaximumApplications = 500;
/// Maximum length of a name or of a model's version, in characters.
constexpr std::size_t kMaximumNameLength = 128;
constexpr std::int64_t kMaximumMemoryMegabytes = 100'000'000;
constexpr std::int64_t kMaximumReplicas = 10'000;
constexpr std::int64_t kMostUrgent = 0;
constexpr std::int64_t kLeastUrgent = 9;
constexpr std::int64_t kMaximumDeadlineMilliseconds = 24LL * 60 * 60 * 1000;
/// Applies to each class and to the sum over all classes, so that every runner keeps slots that any
/// class may use.
constexpr double kMaximumReservedSlotShare = 0.9;
constexpr double kMaximumPrice = 1e9;
constexpr double kMinimumLoadsPerSecond = 0.001;
constexpr double kMaximumLoadsPerSecond = 10'000;
constexpr std::int64_t kMaximumConcurrentLoads = 10'000;
/// Maximum number of problems reported for one file; one more entry says that others were omitted.
constexpr std::size_t kMaximumProblems = 1000;

}  // namespace fernlift::config
