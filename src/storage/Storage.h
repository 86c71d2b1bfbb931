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

/// What storage keeps for consensus, as opaque bytes: this module knows nothing of Raft.
struct StoredEntry
{
    std::uint64_t index = 0;
    std::string data;

    bool operator== (const StoredEntry&) const = default;
};

struct StoredSnapshot
{
    std::uint64_t lastIndex = 0;  ///< 0: none.
    std::string data;

    bool operator== (const StoredSnapshot&) const = default;
};

/// Contents of a data folder at start.
struct Recovered
{
    std::uint64_t memberId = 0;  ///< 0 in a new folder.
    std::string hardState;       ///< Empty in a new folder.
    StoredSnapshot snapshot;
    std::vector<StoredEntry> entries;  ///< Contiguous, after the snapshot.
    std::uint64_t tornBytesCut = 0;    ///< Bytes of an unfinished last record that were dropped.
};

/// One atomic step, carried out in the order of the members and synced before write() returns.
struct WriteBatch
{
    bool hasHardState = false;
    std::string hardState;
    std::uint64_t truncateFrom = 0;  ///< 0: nothing to truncate.
    std::vector<StoredEntry> entries;
    bool hasSnapshot = false;
    StoredSnapshot snapshot;
};

/// Interface of storage. The file implementation blocks on sync and is called from one thread.
class Storage
{
public:
    virtual ~Storage() = default;
    virtual base::Result<Recovered> recover() = 0;
    /// Stores the identity of the member in a new folder.
    virtual base::Result<void> initialize (std::uint64_t memberId) = 0;
    /// All batches are on disk, synced once, when this returns. After a failure nothing further may
    /// be written.
    virtual base::Result<void> write (const std::vector<WriteBatch>& batches) = 0;
};

/// Opens a data folder and locks it for this process; kStorageLocked, kStorageFormatUnknown or
/// kStorageFailed on failure.
[[nodiscard]] base::Result<std::unique_ptr<Storage>> openFileStorage (const std::string& folder);

}  // namespace fernlift::storage
