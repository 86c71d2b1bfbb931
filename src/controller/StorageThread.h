#pragma once

/// The one thread that writes a controller's data folder.

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

/// What the thread has done so far.
struct StorageWork
{
    std::uint64_t requests = 0;      ///< Writes asked for by consensus.
    std::uint64_t syncs = 0;         ///< Calls of Storage::write, each one sync.
    std::uint64_t microseconds = 0;  ///< Time spent in Storage::write.
};

/// Carries out writes in the order of their submission. Everything that waits when the disk is free
/// goes into one `Storage::write`, and so into one sync. After a failure nothing more is written.
class StorageThread
{
public:
    /// Run on the thread of `context`.
    struct Handlers
    {
        /// Every write up to `sequence` is synced.
        std::function<void (std::uint64_t sequence)> onPersisted;
        /// The disk failed for good; called once.
        std::function<void (const base::Error& error)> onFailed;
    };

    /// `context` must outlive the object; its thread must run an event loop.
    StorageThread (std::unique_ptr<storage::Storage> storage, QObject* context, Handlers handlers);
    /// Finishes the writes that wait, then ends the thread.
    ~StorageThread();
    StorageThread (const StorageThread&) = delete;
    StorageThread& operator= (const StorageThread&) = delete;

    void submit (consensus::PersistRequest request);
    [[nodiscard]] StorageWork work() const;

private:
    void run();
    /// Waits for requests and takes all of them; empty once the thread should end.
    std::vector<consensus::PersistRequest> takeWaiting();
    /// Writes `requests` with one sync; false when the disk failed.
    bool write (const std::vector<consensus::PersistRequest>& requests);

    /// Tells the owner's thread how the writes up to `sequence` ended.
    void report (std::optional<base::Error> failure, std::uint64_t sequence);

    std::unique_ptr<storage::Storage> m_storage;
    QObject* m_context;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<consensus::PersistRequest> m_waiting;
    bool m_isStopping = false;
    StorageWork m_work;
    std::thread m_thread;  ///< Last member: starts when all others exist.
};

}  // namespace fernlift::controller
