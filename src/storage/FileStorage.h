#pragma once

/// Storage in files of one data folder:
///   lock              locked while a process uses the folder
///   identity          the member whose folder it is
///   segment-NUMBER    records of the log
///   snapshot-INDEX    the snapshot the log refers to
/// Files that end in ".new" were not finished and are removed at start.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/FileSystem.h"
#include "storage/LogImage.h"
#include "storage/Storage.h"

namespace fernlift::storage
{

/// A segment is closed and a new one begun when it is larger than this.
constexpr std::uint64_t kDefaultSegmentBytes = 16UL * 1024 * 1024;

/**
 * Keeps a member's state so that a write that returned survives any crash.
 *
 * The log is a run of checksummed records, one for each call of `write`, in numbered segments. A
 * segment either continues the one before or is a checkpoint that restates the whole log; a
 * snapshot is stored aside first and takes effect with the checkpoint that names it. After any
 * failure the state on disk is not known, so every later write is refused.
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
    /// Begins a new segment: a checkpoint, or a continuation of the last one.
    base::Result<void> beginSegment (bool isCheckpoint);

    [[nodiscard]] std::string pathOf (const std::string& name) const
    {
        return m_folder + "/" + name;
    }

    const std::string m_folder;
    const std::uint64_t m_segmentBytes;  ///< Size above which a segment is closed.
    FileSystem& m_files;
    std::unique_ptr<FileLock> m_lock;      ///< Held as long as this object lives.
    std::uint64_t m_memberId = 0;          ///< 0 until the identity is synced.
    bool m_isReady = false;                ///< Recovered or initialised, and no write has failed.
    LogImage m_image;                      ///< What a start would read back after the last write.
    std::unique_ptr<File> m_segment;       ///< The last segment, open for appending.
    std::uint64_t m_segmentNumber = 0;     ///< Of m_segment; numbers only grow, without a gap.
    std::uint64_t m_checkpointNumber = 0;  ///< Of the last segment that restates the whole log.
    std::uint64_t m_segmentSize = 0;       ///< Bytes of whole records in m_segment.
};

}  // namespace fernlift::storage
