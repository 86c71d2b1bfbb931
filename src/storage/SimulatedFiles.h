#pragma once

/// In-memory file system for tests. A crash can be injected at every modifying operation, and the
/// test chooses which unsynced changes survive it. Also simulates full, read-only and failing
/// disks.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "storage/FileSystem.h"

namespace fernlift::storage
{

/// Which unsynced changes survive a crash.
enum class CrashKind : std::uint8_t
{
    kProcessKilled,    ///< All of them; they remain unsynced.
    kNothingSurvives,  ///< Power failure: none of them.
    kPartSurvives,     ///< Power failure: a random part of the bytes and of the names.
};

/// Guarantees of the disk that a test disables.
enum class DiskFault : std::uint8_t
{
    kNone,
    kFileSyncDoesNothing,
    kFolderSyncDoesNothing
};

class SimulatedFiles final : public FileSystem
{
public:
    base::Result<std::unique_ptr<File>> open (const std::string& path, OpenMode mode) override;
    base::Result<std::string> readFile (const std::string& path) override;
    base::Result<void> renameFile (const std::string& from, const std::string& to) override;
    base::Result<void> removeFile (const std::string& path) override;
    base::Result<std::vector<std::string>> listFolder (const std::string& folder) override;
    base::Result<void> createFolder (const std::string& folder) override;
    base::Result<void> syncFolder (const std::string& folder) override;
    base::Result<std::unique_ptr<FileLock>> lockFile (const std::string& path) override;

    /// Number of modifying operations so far.
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }
    /// Makes the process crash in modifying operation number `step`. An append at that step is
    /// applied in part; all later operations fail.
    void crashAt (std::uint64_t step) { m_crashStep = step; }
    [[nodiscard]] bool hasCrashed() const { return m_hasCrashed; }
    /// Reduces the files to those that a restarted process finds after a crash of `kind`.
    void restart (CrashKind kind, std::uint64_t seed);
    void setFault (DiskFault fault) { m_fault = fault; }
    /// Sets how many bytes can still be written before the disk is full; nullopt: no limit.
    void setFreeBytes (std::optional<std::uint64_t> bytes) { m_freeBytes = bytes; }
    void setReadOnly (bool isReadOnly) { m_isReadOnly = isReadOnly; }
    /// Makes every later sync fail, as on a faulty disk.
    void setSyncFails (bool fails) { m_syncFails = fails; }

private:
    friend class SimulatedFile;
    friend class SimulatedLock;

    struct Node
    {
        std::string bytes;
        std::string synced;
    };
    using Names = std::map<std::string, std::shared_ptr<Node>>;
    /// One change of names in a folder. Changes reach the disk in the order in which they are made.
    struct NameChange
    {
        std::string folder;
        std::string removed;
        std::string added;
        std::shared_ptr<Node> node;
    };

    /// Counts a modifying operation; fails at the operation that crashes and at all later ones.
    base::Result<void> step (const std::string& path);
    base::Result<void> append (Node& node, const std::string& path, std::string_view bytes);
    base::Result<void> sync (Node& node, const std::string& path);
    static void apply (Names& names, const NameChange& change);
    void change (NameChange change);

    Names m_names;        ///< Files by path, as the process sees them.
    Names m_syncedNames;  ///< Files by path, as after a power failure.
    std::vector<NameChange> m_unsyncedNames;
    std::map<std::string, bool> m_locks;
    std::uint64_t m_steps = 0;
    std::uint64_t m_crashStep = 0;
    bool m_hasCrashed = false;
    bool m_isReadOnly = false;
    bool m_syncFails = false;
    DiskFault m_fault = DiskFault::kNone;
    std::optional<std::uint64_t> m_freeBytes;
};

}  // namespace fernlift::storage
