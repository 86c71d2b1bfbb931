#pragma once

/// The few file operations that storage needs, with errors as Result. Storage does everything
/// through this interface, so that tests can bring about failures and crashes at each step.
/// "Synced" means that the bytes, or the names in a folder, survive a loss of power.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::storage
{

/// A file open for writing; closed when destroyed. Used by one thread.
class File
{
public:
    virtual ~File() = default;
    /// Writes all bytes at the end; kStorageFull or kStorageFailed, with a part written perhaps.
    virtual base::Result<void> append (std::string_view bytes) = 0;
    /// Every byte written so far is synced.
    virtual base::Result<void> sync() = 0;
    virtual base::Result<void> truncate (std::uint64_t size) = 0;
};

/// A lock on a file, held until destroyed.
class FileLock
{
public:
    virtual ~FileLock() = default;
};

enum class OpenMode : std::uint8_t
{
    kAppend,       ///< The file must exist.
    kCreateEmpty,  ///< Creates the file or empties it.
};

class FileSystem
{
public:
    virtual ~FileSystem() = default;
    virtual base::Result<std::unique_ptr<File>> open (const std::string& path, OpenMode mode) = 0;
    virtual base::Result<std::string> readFile (const std::string& path) = 0;
    /// Gives `from` the name `to`, in the same folder, and replaces what had it.
    virtual base::Result<void> renameFile (const std::string& from, const std::string& to) = 0;
    /// A file that is missing already is no failure.
    virtual base::Result<void> removeFile (const std::string& path) = 0;
    /// Names in the folder, sorted.
    virtual base::Result<std::vector<std::string>> listFolder (const std::string& folder) = 0;
    /// Creates the folder if it is missing.
    virtual base::Result<void> createFolder (const std::string& folder) = 0;
    /// The names in the folder are synced.
    virtual base::Result<void> syncFolder (const std::string& folder) = 0;
    /// Creates and locks a file; kStorageLocked when another process or object holds it.
    virtual base::Result<std::unique_ptr<FileLock>> lockFile (const std::string& path) = 0;
};

/// The file system of the machine. Has no state of its own.
[[nodiscard]] FileSystem& systemFiles();

/// Writes a file aside, syncs it, gives it its name and syncs the folder: after a crash there is
/// the old file or the new one, whole.
base::Result<void> replaceFile (FileSystem& files, const std::string& folder,
                                const std::string& name, std::string_view bytes);

/// The folder that holds this one.
[[nodiscard]] std::string parentFolder (const std::string& folder);

}  // namespace fernlift::storage
