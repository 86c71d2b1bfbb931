#pragma once

/// Durable storage of one controller: a log of records in checksummed segments and snapshots, under
/// one data folder.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/Error.h"

namespace fernlift::storage
{

/// A log entry as opaque bytes. This module does not depend on Raft.
struct StoredEntry
{
    std::uint64_t index = 0;
    std::string data;

    bool operator== (const StoredEntry&) const = default;
};

struct StoredSnapshot
{
    std::uint64_t lastIndex = 0;  ///< Index of the last entry covered; 0: no snapshot.
    std::string data;

    bool operator== (const StoredSnapshot&) const = default;
};

/// Contents of a data folder, read when the process starts.
struct Recovered
{
    std::uint64_t memberId = 0;  ///< 0 in a new folder.
    std::string hardState;       ///< Empty in a new folder.
    StoredSnapshot snapshot;
    std::vector<StoredEntry> entries;  ///< Contiguous entries after the snapshot.
    std::uint64_t tornBytesCut = 0;    ///< Bytes of an incomplete last record that were dropped.
};

/// One atomic change. Its parts are applied in the order of the members below and synced before
/// write() returns.
struct WriteBatch
{
    bool hasHardState = false;
    std::string hardState;
    std::uint64_t truncateFrom = 0;  ///< First index to remove; 0: nothing to truncate.
    std::vector<StoredEntry> entries;
    bool hasSnapshot = false;
    StoredSnapshot snapshot;
};

/// Interface of durable storage. The file implementation blocks on sync and must be called from
/// one thread at a time.
class Storage
{
public:
    virtual ~Storage() = default;
    virtual base::Result<Recovered> recover() = 0;
    /// Stores the member's identity in a new folder.
    virtual base::Result<void> initialize (std::uint64_t memberId) = 0;
    /// Writes all batches with one sync; they are durable when this returns. After a failure no
    /// further writes are allowed.
    virtual base::Result<void> write (const std::vector<WriteBatch>& batches) = 0;
};

/// Opens a data folder and locks it for this process. Fails with kStorageLocked,
/// kStorageFormatUnknown or kStorageFailed.
[[nodiscard]] base::Result<std::unique_ptr<Storage>> openFileStorage (const std::string& folder);

}  // namespace fernlift::storage
