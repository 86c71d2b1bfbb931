#pragma once

/// The file operations that storage needs, with errors as Result. Storage accesses the disk only
/// through this interface, so that tests can inject failures and crashes at each operation.
/// "Synced" means that the bytes, or the names in a folder, survive a power failure.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::storage
{

/// A file open for writing; closed when destroyed. Not thread-safe.
class File
{
public:
    virtual ~File() = default;
    /// Appends all bytes. Fails with kStorageFull or kStorageFailed; a part may have been written.
    virtual base::Result<void> append (std::string_view bytes) = 0;
    /// Syncs every byte written so far.
    virtual base::Result<void> sync() = 0;
    virtual base::Result<void> truncate (std::uint64_t size) = 0;
};

/// A lock on a file, released when destroyed.
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
    /// Renames `from` to `to` in the same folder, replacing an existing file.
    virtual base::Result<void> renameFile (const std::string& from, const std::string& to) = 0;
    /// Succeeds when the file does not exist.
    virtual base::Result<void> removeFile (const std::string& path) = 0;
    /// Sorted names of the entries in the folder.
    virtual base::Result<std::vector<std::string>> listFolder (const std::string& folder) = 0;
    /// Creates the folder if it is missing.
    virtual base::Result<void> createFolder (const std::string& folder) = 0;
    /// Syncs the names in the folder.
    virtual base::Result<void> syncFolder (const std::string& folder) = 0;
    /// Creates and locks a file. Fails with kStorageLocked when another process or object holds it.
    virtual base::Result<std::unique_ptr<FileLock>> lockFile (const std::string& path) = 0;
};

/// The file system of the operating system; stateless.
[[nodiscard]] FileSystem& systemFiles();

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
/// After a crash either the old or the new file is present, complete.
base::Result<void> replaceFile (FileSystem& files, const std::string& folder,
                                const std::string& name, std::string_view bytes);

/// The parent of `folder`.
[[nodiscard]] std::string parentFolder (const std::string& folder);

}  // namespace fernlift::storage
