#pragma once

/// Storage in files of one data folder:
///   lock              locked while a process uses the folder
///   identity          identity of the member that owns the folder
///   segment-NUMBER    records of the log
///   snapshot-INDEX    the snapshot that the log refers to
/// Files that end in ".new" are incomplete and are removed at start.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/FileSystem.h"
#include "storage/LogImage.h"
#include "storage/Storage.h"

namespace fernlift::storage
{

/// A segment that grows beyond this size is closed and a new one is started.
constexpr std::uint64_t kDefaultSegmentBytes = 16UL * 1024 * 1024;

/**
 * Stores a member's state durably: a write that has returned survives any crash.
 *
 * The log is a sequence of checksummed records, one per call of `write`, in numbered segments. A
 * segment either continues the previous one or is a checkpoint that contains the whole log. A
 * snapshot is stored in its own file first and takes effect with the checkpoint that refers to it.
 * After any failure the state on disk is unknown, so every later write is refused.
 *
 * Threading: one thread at a time; every call may block on the disk.
 */
class FileStorage final : public Storage
{
public:
    /// Creates the folder if needed, locks it and checks its format.
    static base::Result<std::unique_ptr<FileStorage>> open (
        const std::string& folder, std::uint64_t segmentBytes = kDefaultSegmentBytes,
        FileSystem& files = systemFiles());

    base::Result<Recovered> recover() override;
    base::Result<void> initialize (std::uint64_t memberId) override;
    base::Result<void> write (const std::vector<WriteBatch>& batches) override;

private:
    FileStorage (std::string folder, std::uint64_t segmentBytes, FileSystem& files);

    base::Result<void> readIdentity();
    base::Result<Recovered> recoverInitialized();
    base::Result<void> recoverSegments (const std::vector<std::uint64_t>& numbers,
                                        std::uint64_t& tornBytes);
    base::Result<std::uint64_t> findCheckpoint (const std::vector<std::uint64_t>& numbers) const;
    base::Result<std::uint64_t> replaySegment (std::uint64_t number, bool isLast);
    base::Result<std::string> readSnapshot() const;
    base::Result<void> removeLeftovers();
    base::Result<void> checkUnused() const;

    base::Result<void> writeChecked (const std::vector<WriteBatch>& batches);
    base::Result<bool> storeSnapshots (const std::vector<WriteBatch>& batches);
    base::Result<void> appendRecord (const BatchesRecord& record);
    /// Starts a new segment: a checkpoint, or a continuation of the last one.
    base::Result<void> beginSegment (bool isCheckpoint);

    [[nodiscard]] std::string pathOf (const std::string& name) const
    {
        return m_folder + "/" + name;
    }

    const std::string m_folder;
    const std::uint64_t m_segmentBytes;  ///< Size above which a segment is closed.
    FileSystem& m_files;
    std::unique_ptr<FileLock>
        m_lock;                       ///< Lock on the folder, held for the lifetime of this object.
    std::uint64_t m_memberId = 0;     ///< Identity of the member; 0 until it is synced.
    bool m_isReady = false;           ///< True once recovered or initialised, until a write fails.
    LogImage m_image;                 ///< State that recovery would read after the last write.
    std::unique_ptr<File> m_segment;  ///< The last segment, open for appending.
    std::uint64_t m_segmentNumber = 0;     ///< Number of m_segment; numbers are consecutive.
    std::uint64_t m_checkpointNumber = 0;  ///< Number of the last checkpoint segment.
    std::uint64_t m_segmentSize = 0;       ///< Bytes of complete records in m_segment.
};

}  // namespace fernlift::storage
