// Prints the time that storage takes next to the disk's own sync time. Only results are asserted,
// because the times depend on the machine.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "storage/FileStorage.h"

namespace fernlift::storage
{
namespace
{

constexpr std::uint64_t kEntries = 10'000;
constexpr std::size_t kEntryBytes = 200;
constexpr std::size_t kSnapshotBytes = 4UL * 1024 * 1024;
constexpr int kRuns = 10;

template <class Operation>
bool succeeds (Operation&& operation)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (operation());
            return true;
        },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return false;
        });
}

/// Milliseconds that `operation` takes.
template <class Operation>
double millisecondsOf (Operation&& operation)
{
    const auto begin = std::chrono::steady_clock::now();
    operation();
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count();
}

struct Spread
{
    double median = 0;
    double worst = 0;
};

Spread spreadOf (std::vector<double> values)
{
    std::sort (values.begin(), values.end());
    return { values[values.size() / 2], values.back() };
}

class FileStorageTiming : public ::testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "fernlift-XXXXXX").string();
        ASSERT_NE (::mkdtemp (pattern.data()), nullptr);
        m_root = pattern;
    }
    void TearDown() override { std::filesystem::remove_all (m_root); }

    std::unique_ptr<FileStorage> open (const std::string& name)
    {
        std::unique_ptr<FileStorage> storage;
        succeeds (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (storage, FileStorage::open ((m_root / name).string()));
                return {};
            });
        return storage;
    }
    static std::vector<WriteBatch> batchOf (std::uint64_t first, std::uint64_t count)
    {
        std::vector<WriteBatch> batches (count);
        for (std::uint64_t step = 0; step < count; ++step)
        {
            batches[step].entries.push_back ({ first + step, std::string (kEntryBytes, 'x') });
        }
        return batches;
    }

    std::filesystem::path m_root;
};

TEST_F (FileStorageTiming, ofAStartAfterTenThousandEntriesAndASnapshot)
{
    {
        const auto storage = open ("start");
        ASSERT_TRUE (succeeds ([&] { return storage->initialize (1); }));
        WriteBatch snapshot;
        snapshot.hasSnapshot = true;
        snapshot.snapshot = { 1, std::string (kSnapshotBytes, 's') };
        ASSERT_TRUE (succeeds ([&] { return storage->write (batchOf (1, 1)); }));
        ASSERT_TRUE (succeeds ([&] { return storage->write ({ snapshot }); }));
        constexpr std::uint64_t kGroup = 20;
        for (std::uint64_t first = 2; first < kEntries + 2; first += kGroup)
        {
            ASSERT_TRUE (succeeds ([&] { return storage->write (batchOf (first, kGroup)); }));
        }
    }
    std::vector<double> times;
    times.reserve (kRuns);
    for (int run = 0; run < kRuns; ++run)
    {
        times.push_back (millisecondsOf (
            [&]
            {
                const auto storage = open ("start");
                Recovered recovered;
                ASSERT_TRUE (succeeds (
                    [&]() -> base::Result<void>
                    {
                        BOOST_LEAF_ASSIGN (recovered, storage->recover());
                        return {};
                    }));
                EXPECT_EQ (recovered.entries.size(), kEntries);
                EXPECT_EQ (recovered.snapshot.data.size(), kSnapshotBytes);
            }));
    }
    const Spread spread = spreadOf (times);
    std::cout << "start after " << kEntries << " entries of " << kEntryBytes
              << " bytes and a snapshot of " << kSnapshotBytes << " bytes: median " << spread.median
              << " ms, worst " << spread.worst << " ms of " << kRuns << "\n";
}

TEST_F (FileStorageTiming, ofGroupCommitBesideTheDisksOwnSync)
{
    constexpr int kSyncs = 100;
    std::vector<double> bare;
    bare.reserve (kSyncs);
    ASSERT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (
                file, systemFiles().open ((m_root / "bare").string(), OpenMode::kCreateEmpty));
            for (int sync = 0; sync < kSyncs; ++sync)
            {
                bare.push_back (millisecondsOf (
                    [&]
                    {
                        succeeds (
                            [&]() -> base::Result<void>
                            {
                                BOOST_LEAF_CHECK (file->append (std::string (kEntryBytes, 'x')));
                                return file->sync();
                            });
                    }));
            }
            return {};
        }));
    const Spread disk = spreadOf (bare);
    std::cout << "append of " << kEntryBytes << " bytes and sync: median " << disk.median
              << " ms, worst " << disk.worst << " ms of " << kSyncs << "\n";
    for (const std::uint64_t group : { 1U, 10U, 100U })
    {
        const auto storage = open ("group-" + std::to_string (group));
        ASSERT_TRUE (succeeds ([&] { return storage->initialize (1); }));
        std::vector<double> times;
        times.reserve (kSyncs);
        for (std::uint64_t write = 0; write < kSyncs; ++write)
        {
            times.push_back (millisecondsOf (
                [&] {
                    ASSERT_TRUE (succeeds (
                        [&] { return storage->write (batchOf (1 + write * group, group)); }));
                }));
        }
        double total = 0;
        for (const double time : times)
            total += time;
        const Spread spread = spreadOf (times);
        std::cout << "writes of " << group << ": median " << spread.median << " ms, worst "
                  << spread.worst << " ms, "
                  << static_cast<std::uint64_t> (static_cast<double> (group * kSyncs) * 1000
                                                 / total)
                  << " entries/s\n";
    }
}

}  // namespace
}  // namespace fernlift::storage
