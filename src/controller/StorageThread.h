#pragma once

/// Thread that writes a controller's data folder; nothing else writes it.

#include <QObject>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "base/Error.h"
#include "consensus/RaftNode.h"
#include "storage/Storage.h"

namespace fernlift::controller
{

/// Counters of the thread since its start.
struct StorageCounters
{
    std::uint64_t requests = 0;      ///< Writes requested by consensus.
    std::uint64_t syncs = 0;         ///< Calls of Storage::write; each syncs once.
    std::uint64_t microseconds = 0;  ///< Time spent in Storage::write.
};

/// Performs writes in the order of their submission. All requests that are waiting when the disk
/// becomes free are combined into one `Storage::write` and thus one sync. After a failure nothing
/// more is written.
class StorageThread
{
public:
    /// Called on the thread of `context`.
    struct Handlers
    {
        /// All writes up to `sequence` are synced.
        std::function<void (std::uint64_t sequence)> onPersisted;
        /// A write failed; no further writes follow. Called once.
        std::function<void (const base::Error& error)> onFailed;
    };

    /// `context` must outlive the object; its thread must run an event loop.
    StorageThread (std::unique_ptr<storage::Storage> storage, QObject* context, Handlers handlers);
    /// Completes all submitted writes, then ends the thread.
    ~StorageThread();
    StorageThread (const StorageThread&) = delete;
    StorageThread& operator= (const StorageThread&) = delete;

    void submit (consensus::PersistRequest request);
    [[nodiscard]] StorageCounters work() const;

private:
    void run();
    /// Waits for requests and removes all of them; returns an empty list when the thread should
    /// end.
    std::vector<consensus::PersistRequest> takeWaiting();
    /// Writes `requests` with one sync; returns false on failure.
    bool write (const std::vector<consensus::PersistRequest>& requests);

    /// Reports the result of the writes up to `sequence` on the thread of the context.
    void report (std::optional<base::Error> failure, std::uint64_t sequence);

    std::unique_ptr<storage::Storage> m_storage;
    QObject* m_context;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<consensus::PersistRequest> m_waiting;
    bool m_isStopping = false;
    StorageCounters m_work;
    std::thread m_thread;  ///< Last member, so that it starts after all others exist.
};

}  // namespace fernlift::controller
