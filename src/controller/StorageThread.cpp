#include "controller/StorageThread.h"

#include <chrono>
#include <iterator>
#include <optional>
#include <utility>

#include "consensus/ConsensusCodec.h"

namespace fernlift::controller
{

StorageThread::StorageThread (std::unique_ptr<storage::Storage> storage, QObject* context,
                              Handlers handlers)
    : m_storage (std::move (storage)),
      m_context (context),
      m_handlers (std::move (handlers)),
      m_thread ([this] { run(); })
{
}

StorageThread::~StorageThread()
{
    {
        const std::lock_guard lock (m_mutex);
        m_isStopping = true;
    }
    m_condition.notify_one();
    m_thread.join();
}

void StorageThread::submit (consensus::PersistRequest request)
{
    {
        const std::lock_guard lock (m_mutex);
        m_waiting.push_back (std::move (request));
        ++m_work.requests;
    }
    m_condition.notify_one();
}

StorageCounters StorageThread::work() const
{
    const std::lock_guard lock (m_mutex);
    return m_work;
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
    std::unique_lock lock (m_mutex);
    m_condition.wait (lock, [this] { return m_isStopping || ! m_waiting.empty(); });
    std::vector<consensus::PersistRequest> requests (std::make_move_iterator (m_waiting.begin()),
                                                     std::make_move_iterator (m_waiting.end()));
    m_waiting.clear();
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
            BOOST_LEAF_CHECK (m_storage->write (batches));
            return std::optional<base::Error>();
        },
        [] (const base::Error& error) { return std::optional (error); });
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    {
        const std::lock_guard lock (m_mutex);
        ++m_work.syncs;
        m_work.microseconds += static_cast<std::uint64_t> (
            std::chrono::duration_cast<std::chrono::microseconds> (elapsed).count());
    }
    report (failure, requests.back().sequence);
    return ! failure;
}

void StorageThread::report (std::optional<base::Error> failure, std::uint64_t sequence)
{
    const auto notify = [handlers = m_handlers, failure = std::move (failure), sequence]
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
    QMetaObject::invokeMethod (m_context, notify, Qt::QueuedConnection);
}

}  // namespace fernlift::controller
