#include <gtest/gtest.h>

#include <atomic>
#include <semaphore>

#include "controller/ControllerTestSupport.h"
#include "controller/StorageThread.h"

namespace fernlift::controller
{
namespace
{

/// Storage whose writes wait for a permit.
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
    explicit SlowStorage (SlowDisk& disk) : disk_ (disk) {}
    base::Result<storage::Recovered> recover() override { return storage::Recovered{}; }
    base::Result<void> initialize (std::uint64_t /*memberId*/) override { return {}; }
    base::Result<void> write (const std::vector<storage::WriteBatch>& batches) override
    {
        ++disk_.writesBegun;
        disk_.permits.acquire();
        if (disk_.isFull)
            return base::fail (base::ErrorKind::kStorageFull, "no space");
        disk_.batchesWritten += static_cast<int> (batches.size());
        return {};
    }

private:
    SlowDisk& disk_;
};

class StorageThreadTest : public testing::Test
{
protected:
    StorageThreadTest()
    {
        ensureApplication();
        StorageThread::Handlers handlers;
        handlers.onPersisted = [this] (std::uint64_t sequence) { persisted_.push_back (sequence); };
        handlers.onFailed = [this] (const base::Error& error) { failures_.push_back (error.kind); };
        thread_ = std::make_unique<StorageThread> (std::make_unique<SlowStorage> (disk_), &context_,
                                                   handlers);
    }
    ~StorageThreadTest() override { disk_.permits.release (kManyPermits); }

    void submit (std::uint64_t sequence)
    {
        consensus::PersistRequest request;
        request.sequence = sequence;
        thread_->submit (request);
    }

    static constexpr int kManyPermits = 100;
    SlowDisk disk_;
    QObject context_;
    std::vector<std::uint64_t> persisted_;
    std::vector<base::ErrorKind> failures_;
    std::unique_ptr<StorageThread> thread_;
};

TEST_F (StorageThreadTest, writesEverythingThatWaitsWithOneSync)
{
    submit (1);
    ASSERT_TRUE (runUntil ([&] { return disk_.writesBegun == 1; }));
    for (std::uint64_t sequence = 2; sequence <= 10; ++sequence)
        submit (sequence);
    EXPECT_TRUE (persisted_.empty());
    disk_.permits.release (2);
    ASSERT_TRUE (runUntil ([&] { return persisted_.size() == 2; }));
    EXPECT_EQ (persisted_, (std::vector<std::uint64_t>{ 1, 10 }));
    EXPECT_EQ (disk_.batchesWritten, 10);
    EXPECT_EQ (thread_->work().syncs, 2U);
    EXPECT_EQ (thread_->work().requests, 10U);
}

TEST_F (StorageThreadTest, writesNothingAfterAFailure)
{
    disk_.isFull = true;
    submit (1);
    disk_.permits.release (kManyPermits);
    ASSERT_TRUE (runUntil ([&] { return ! failures_.empty(); }));
    EXPECT_EQ (failures_.front(), base::ErrorKind::kStorageFull);
    disk_.isFull = false;
    submit (2);
    thread_.reset();
    QCoreApplication::processEvents();
    EXPECT_EQ (disk_.writesBegun, 1);
    EXPECT_TRUE (persisted_.empty());
    EXPECT_EQ (failures_.size(), 1U);
}

TEST_F (StorageThreadTest, finishesWaitingWritesBeforeItEnds)
{
    disk_.permits.release (kManyPermits);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
        submit (sequence);
    thread_.reset();
    EXPECT_EQ (disk_.batchesWritten, 5);
}

}  // namespace
}  // namespace fernlift::controller
