#pragma once

/// Files in memory, for tests: a crash can be brought about at every operation that changes
/// something, and what a crash leaves is chosen by the test. Also full and read-only disks.

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

/// What is left of changes that were not synced.
enum class CrashKind : std::uint8_t
{
    kProcessKilled,    ///< Everything; but nothing more is synced than before.
    kNothingSurvives,  ///< Loss of power: only what was synced.
    kPartSurvives,     ///< Loss of power: by chance a part of the bytes and of the names.
};

/// Rules of the disk that a test breaks on purpose.
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

    /// Number of changing operations so far.
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }
    /// The process dies in operation number `step`, which is carried out in part; all later ones
    /// fail.
    void crashAt (std::uint64_t step) { m_crashStep = step; }
    [[nodiscard]] bool hasCrashed() const { return m_hasCrashed; }
    /// Makes the files what the next start of the process finds.
    void restart (CrashKind kind, std::uint64_t seed);
    void setFault (DiskFault fault) { m_fault = fault; }
    /// Bytes that may still be written before the disk is full.
    void setRoom (std::optional<std::uint64_t> bytes) { m_room = bytes; }
    void setReadOnly (bool isReadOnly) { m_isReadOnly = isReadOnly; }
    /// Every sync fails from now on, as on a broken disk.
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
    /// One change of names, in the order in which they reach the disk.
    struct NameChange
    {
        std::string folder;
        std::string removed;
        std::string added;
        std::shared_ptr<Node> node;
    };

    /// Counts a changing operation; fails after a crash, or at the one that crashes.
    base::Result<void> step (const std::string& path);
    base::Result<void> append (Node& node, const std::string& path, std::string_view bytes);
    base::Result<void> sync (Node& node, const std::string& path);
    static void apply (Names& names, const NameChange& change);
    void change (NameChange change);

    Names m_names;        ///< Path to file, as the process sees it.
    Names m_syncedNames;  ///< As after a loss of power.
    std::vector<NameChange> m_unsyncedNames;
    std::map<std::string, bool> m_locks;
    std::uint64_t m_steps = 0;
    std::uint64_t m_crashStep = 0;
    bool m_hasCrashed = false;
    bool m_isReadOnly = false;
    bool m_syncFails = false;
    DiskFault m_fault = DiskFault::kNone;
    std::optional<std::uint64_t> m_room;
};

}  // namespace fernlift::storage
