#include <gtest/gtest.h>

#include <atomic>
#include <semaphore>

#include "controller/ControllerTestSupport.h"
#include "controller/StorageThread.h"

namespace fernlift::controller
{
namespace
{

/// Disk whose writes block until the test releases a permit for each.
struct SlowDisk
{
    std::counting_semaphore<> permits{ 0 };
    std::atomic<int> writesBegun{ 0 };
    std::atomic<int> batchesWritten{ 0 };
    std::atomic<bool> isFull{ false };
};

class SlowStorage final : public storage::Storage
{
public:
    explicit SlowStorage (SlowDisk& disk) : m_disk (disk) {}
    base::Result<storage::Recovered> recover() override { return storage::Recovered{}; }
    base::Result<void> initialize (std::uint64_t /*memberId*/) override { return {}; }
    base::Result<void> write (const std::vector<storage::WriteBatch>& batches) override
    {
        ++m_disk.writesBegun;
        m_disk.permits.acquire();
        if (m_disk.isFull)
            return base::fail (base::ErrorKind::kStorageFull, "no space");
        m_disk.batchesWritten += static_cast<int> (batches.size());
        return {};
    }

private:
    SlowDisk& m_disk;
};

class StorageThreadTest : public testing::Test
{
protected:
    StorageThreadTest()
    {
        ensureApplication();
        StorageThread::Handlers handlers;
        handlers.onPersisted = [this] (std::uint64_t sequence)
        { m_persisted.push_back (sequence); };
        handlers.onFailed = [this] (const base::Error& error)
        { m_failures.push_back (error.kind); };
        m_thread = std::make_unique<StorageThread> (std::make_unique<SlowStorage> (m_disk),
                                                    &m_context, handlers);
    }
    ~StorageThreadTest() override { m_disk.permits.release (kManyPermits); }

    void submit (std::uint64_t sequence)
    {
        consensus::PersistRequest request;
        request.sequence = sequence;
        m_thread->submit (request);
    }

    static constexpr int kManyPermits = 100;
    SlowDisk m_disk;
    QObject m_context;
    std::vector<std::uint64_t> m_persisted;
    std::vector<base::ErrorKind> m_failures;
    std::unique_ptr<StorageThread> m_thread;
};

TEST_F (StorageThreadTest, writesAllWaitingRequestsWithOneSync)
{
    submit (1);
    ASSERT_TRUE (runUntil ([&] { return m_disk.writesBegun == 1; }));
    for (std::uint64_t sequence = 2; sequence <= 10; ++sequence)
        submit (sequence);
    EXPECT_TRUE (m_persisted.empty());
    m_disk.permits.release (2);
    ASSERT_TRUE (runUntil ([&] { return m_persisted.size() == 2; }));
    EXPECT_EQ (m_persisted, (std::vector<std::uint64_t>{ 1, 10 }));
    EXPECT_EQ (m_disk.batchesWritten, 10);
    EXPECT_EQ (m_thread->work().syncs, 2U);
    EXPECT_EQ (m_thread->work().requests, 10U);
}

TEST_F (StorageThreadTest, writesNothingAfterAFailure)
{
    m_disk.isFull = true;
    submit (1);
    m_disk.permits.release (kManyPermits);
    ASSERT_TRUE (runUntil ([&] { return ! m_failures.empty(); }));
    EXPECT_EQ (m_failures.front(), base::ErrorKind::kStorageFull);
    m_disk.isFull = false;
    submit (2);
    m_thread.reset();
    QCoreApplication::processEvents();
    EXPECT_EQ (m_disk.writesBegun, 1);
    EXPECT_TRUE (m_persisted.empty());
    EXPECT_EQ (m_failures.size(), 1U);
}

TEST_F (StorageThreadTest, completesWaitingWritesBeforeTheThreadEnds)
{
    m_disk.permits.release (kManyPermits);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
        submit (sequence);
    m_thread.reset();
    EXPECT_EQ (m_disk.batchesWritten, 5);
}

}  // namespace
}  // namespace fernlift::controller
