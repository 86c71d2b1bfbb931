#include "controller/StorageThread.h"

#include <chrono>
#include <iterator>
#include <optional>
#include <utility>

#include "consensus/Durable.h"

namespace fernlift::controller
{

StorageThread::StorageThread (std::unique_ptr<storage::Storage> storage, QObject* context,
                              Handlers handlers)
    : storage_ (std::move (storage)),
      context_ (context),
      handlers_ (std::move (handlers)),
      thread_ ([this] { run(); })
{
}

StorageThread::~StorageThread()
{
    {
        const std::lock_guard lock (mutex_);
        isStopping_ = true;
    }
    condition_.notify_one();
    thread_.join();
}

void StorageThread::submit (consensus::PersistRequest request)
{
    {
        const std::lock_guard lock (mutex_);
        waiting_.push_back (std::move (request));
        ++work_.requests;
    }
    condition_.notify_one();
}

StorageWork StorageThread::work() const
{
    const std::lock_guard lock (mutex_);
    return work_;
}

void StorageThread::run()
{
    while (true)
    {
        const std::vector<consensus::PersistRequest> requests = takeWaiting();
        if (requests.empty() || ! write (requests))
            return;
    }
}

std::vector<consensus::PersistRequest> StorageThread::takeWaiting()
{
    std::unique_lock lock (mutex_);
    condition_.wait (lock, [this] { return isStopping_ || ! waiting_.empty(); });
    std::vector<consensus::PersistRequest> requests (std::make_move_iterator (waiting_.begin()),
                                                     std::make_move_iterator (waiting_.end()));
    waiting_.clear();
    return requests;
}

bool StorageThread::write (const std::vector<consensus::PersistRequest>& requests)
{
    std::vector<storage::WriteBatch> batches;
    batches.reserve (requests.size());
    for (const consensus::PersistRequest& request : requests)
    {
        batches.push_back (consensus::toWriteBatch (request));
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto failure = base::handleErrors (
        [&]() -> base::Result<std::optional<base::Error>>
        {
            BOOST_LEAF_CHECK (storage_->write (batches));
            return std::optional<base::Error>();
        },
        [] (const base::Error& error) { return std::optional (error); });
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    {
        const std::lock_guard lock (mutex_);
        ++work_.syncs;
        work_.microseconds += static_cast<std::uint64_t> (
            std::chrono::duration_cast<std::chrono::microseconds> (elapsed).count());
    }
    report (failure, requests.back().sequence);
    return ! failure;
}

void StorageThread::report (std::optional<base::Error> failure, std::uint64_t sequence)
{
    const auto notify = [handlers = handlers_, failure = std::move (failure), sequence]
    {
        if (failure)
        {
            handlers.onFailed (*failure);
        }
        else
        {
            handlers.onPersisted (sequence);
        }
    };
    QMetaObject::invokeMethod (context_, notify, Qt::QueuedConnection);
}

}  // namespace fernlift::controller
