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
/// The number in the name of a segment; none for another file.
[[nodiscard]] std::optional<std::uint64_t> segmentNumberOf (const std::string& name);
/// The index in the name of a snapshot; none for another file.
[[nodiscard]] std::optional<std::uint64_t> snapshotIndexOf (const std::string& name);
/// Name under which a file is written aside.
[[nodiscard]] std::string unfinishedName (const std::string& name);
/// A file that was being written aside.
[[nodiscard]] bool isUnfinished (const std::string& name);
/// Numbers of the segments among `names`, ascending.
[[nodiscard]] std::vector<std::uint64_t> segmentNumbers (const std::vector<std::string>& names);

}  // namespace fernlift::storage
