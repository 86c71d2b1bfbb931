#pragma once

/// Names of the files in a data folder.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fernlift::storage
{

constexpr const char* kLockName = "lock";
constexpr const char* kIdentityName = "identity";

[[nodiscard]] std::string segmentName (std::uint64_t number);
[[nodiscard]] std::string snapshotName (std::uint64_t lastIndex);
/// Parses the number of a segment from its file name; nullopt for any other file.
[[nodiscard]] std::optional<std::uint64_t> segmentNumberOf (const std::string& name);
/// Parses the index of a snapshot from its file name; nullopt for any other file.
[[nodiscard]] std::optional<std::uint64_t> snapshotIndexOf (const std::string& name);
/// Temporary name under which a file is written before it is renamed to `name`.
[[nodiscard]] std::string temporaryName (const std::string& name);
/// Whether `name` is a temporary name.
[[nodiscard]] bool isTemporary (const std::string& name);
/// Numbers of the segments among `names`, ascending.
[[nodiscard]] std::vector<std::uint64_t> segmentNumbers (const std::vector<std::string>& names);

}  // namespace fernlift::storage
