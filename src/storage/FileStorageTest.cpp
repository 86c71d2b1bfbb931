#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

#include "storage/FileNames.h"
#include "storage/FileStorage.h"
#include "storage/Record.h"

namespace fernlift::storage
{
namespace
{

using base::ErrorKind;

/// The error with which `operation` fails; nullopt when it succeeds.
template <class Operation>
std::optional<base::Error> errorOf (Operation&& operation)
{
    using Failure = std::optional<base::Error>;
    return base::handleErrors (
        [&]() -> base::Result<Failure>
        {
            BOOST_LEAF_CHECK (operation());
            return Failure();
        },
        [] (const base::Error& error) { return Failure (error); });
}

/// The kind of error with which `operation` fails; nullopt when it succeeds.
template <class Operation>
std::optional<ErrorKind> failureOf (Operation&& operation)
{
    const std::optional<base::Error> error = errorOf (operation);
    return error ? std::optional (error->kind) : std::nullopt;
}

class FileStorageTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "fernlift-XXXXXX").string();
        ASSERT_NE (::mkdtemp (pattern.data()), nullptr);
        m_root = pattern;
        m_folder = m_root / "data";
    }
    void TearDown() override { std::filesystem::remove_all (m_root); }

    std::optional<ErrorKind> open (std::uint64_t segmentBytes = kDefaultSegmentBytes)
    {
        m_storage.reset();
        return failureOf (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_storage, FileStorage::open (m_folder, segmentBytes));
                return {};
            });
    }
    std::optional<ErrorKind> recover()
    {
        return failureOf (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_recovered, m_storage->recover());
                return {};
            });
    }
    void start (std::uint64_t segmentBytes = kDefaultSegmentBytes)
    {
        ASSERT_EQ (open (segmentBytes), std::nullopt);
        ASSERT_EQ (recover(), std::nullopt);
        if (m_recovered.memberId == 0)
        {
            ASSERT_EQ (failureOf ([&] { return m_storage->initialize (7); }), std::nullopt);
        }
    }
    std::optional<ErrorKind> write (const std::vector<WriteBatch>& batches)
    {
        return failureOf ([&] { return m_storage->write (batches); });
    }
    std::filesystem::path lastSegment() const
    {
        std::filesystem::path last;
        for (const auto& item : std::filesystem::directory_iterator (m_folder))
        {
            const std::string name = item.path().filename();
            if (segmentNumberOf (name) && item.path() > last)
                last = item.path();
        }
        return last;
    }
    std::size_t segmentCount() const
    {
        std::size_t count = 0;
        for (const auto& item : std::filesystem::directory_iterator (m_folder))
        {
            if (segmentNumberOf (item.path().filename()))
                ++count;
        }
        return count;
    }
    static void flipByte (const std::filesystem::path& path, std::uint64_t offset)
    {
        std::fstream file (path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekg (static_cast<std::streamoff> (offset));
        const int byte = file.get();
        file.seekp (static_cast<std::streamoff> (offset));
        file.put (static_cast<char> (byte ^ 0x55));
    }

    /// Damages one byte of the last segment, in the record at `recordAt`. Recovery must fail with a
    /// message that names the file and the record's offset. The byte is restored afterwards.
    void expectDamageIsReported (std::uint64_t offset, std::uint64_t recordAt)
    {
        m_storage.reset();
        flipByte (lastSegment(), offset);
        ASSERT_EQ (open(), std::nullopt);
        const auto error = errorOf ([&] { return m_storage->recover(); });
        ASSERT_TRUE (error.has_value()) << offset;
        EXPECT_EQ (error->kind, ErrorKind::kStorageCorrupt) << offset;
        EXPECT_NE (error->message.find (lastSegment().string()), std::string::npos)
            << error->message;
        EXPECT_NE (error->message.find ("offset " + std::to_string (recordAt)), std::string::npos)
            << error->message;
        m_storage.reset();
        flipByte (lastSegment(), offset);
    }

    static WriteBatch entries (std::uint64_t from, std::uint64_t to, std::size_t bytes = 10)
    {
        WriteBatch batch;
        for (std::uint64_t index = from; index <= to; ++index)
        {
            batch.entries.push_back (
                { index, std::string (bytes, static_cast<char> ('a' + index % 26)) });
        }
        return batch;
    }
    static WriteBatch hardState (std::string text)
    {
        WriteBatch batch;
        batch.hasHardState = true;
        batch.hardState = std::move (text);
        return batch;
    }
    static WriteBatch snapshot (std::uint64_t lastIndex, std::string data)
    {
        WriteBatch batch;
        batch.hasSnapshot = true;
        batch.snapshot = { lastIndex, std::move (data) };
        return batch;
    }

    std::filesystem::path m_root;
    std::filesystem::path m_folder;
    std::unique_ptr<FileStorage> m_storage;
    Recovered m_recovered;
};

TEST_F (FileStorageTest, ANewFolderHasNoIdentity)
{
    ASSERT_EQ (open(), std::nullopt);
    ASSERT_EQ (recover(), std::nullopt);
    EXPECT_EQ (m_recovered.memberId, 0U);
    EXPECT_EQ (write ({ hardState ("x") }), ErrorKind::kStorageFailed);
}

TEST_F (FileStorageTest, RecoversWrittenState)
{
    start();
    ASSERT_EQ (write ({ hardState ("one"), entries (1, 5) }), std::nullopt);
    WriteBatch rewrite = entries (4, 4, 3);
    rewrite.truncateFrom = 4;
    ASSERT_EQ (write ({ rewrite, hardState ("two") }), std::nullopt);
    start();
    EXPECT_EQ (m_recovered.memberId, 7U);
    EXPECT_EQ (m_recovered.hardState, "two");
    ASSERT_EQ (m_recovered.entries.size(), 4U);
    EXPECT_EQ (m_recovered.entries[3].data.size(), 3U);
    EXPECT_EQ (m_recovered.tornBytesCut, 0U);
}

TEST_F (FileStorageTest, ASnapshotReplacesTheLogItCovers)
{
    start();
    ASSERT_EQ (write ({ hardState ("one"), entries (1, 10) }), std::nullopt);
    ASSERT_EQ (write ({ snapshot (8, "state") }), std::nullopt);
    EXPECT_EQ (segmentCount(), 1U);
    ASSERT_EQ (write ({ entries (11, 12) }), std::nullopt);
    start();
    EXPECT_EQ (m_recovered.hardState, "one");
    EXPECT_EQ (m_recovered.snapshot, (StoredSnapshot{ 8, "state" }));
    ASSERT_EQ (m_recovered.entries.size(), 4U);
    EXPECT_EQ (m_recovered.entries.front().index, 9U);
}

TEST_F (FileStorageTest, AcceptsAReceivedSnapshotBeyondTheLog)
{
    start();
    ASSERT_EQ (write ({ entries (1, 10) }), std::nullopt);
    WriteBatch received = snapshot (500, "state");
    received.truncateFrom = 6;
    ASSERT_EQ (write ({ received, entries (501, 501) }), std::nullopt);
    start();
    EXPECT_EQ (m_recovered.snapshot.lastIndex, 500U);
    ASSERT_EQ (m_recovered.entries.size(), 1U);
}

TEST_F (FileStorageTest, SegmentsRollAndAreDeletedAfterASnapshot)
{
    start (1000);
    for (std::uint64_t index = 1; index <= 50; ++index)
    {
        ASSERT_EQ (write ({ entries (index, index, 100) }), std::nullopt);
    }
    EXPECT_GT (segmentCount(), 3U);
    start (1000);
    EXPECT_EQ (m_recovered.entries.size(), 50U);
    ASSERT_EQ (write ({ snapshot (50, "state") }), std::nullopt);
    EXPECT_EQ (segmentCount(), 1U);
    start (1000);
    EXPECT_TRUE (m_recovered.entries.empty());
}

TEST_F (FileStorageTest, CutsATornTailAtEveryLength)
{
    start();
    ASSERT_EQ (write ({ entries (1, 3) }), std::nullopt);
    const auto whole = std::filesystem::file_size (lastSegment());
    ASSERT_EQ (write ({ entries (4, 6) }), std::nullopt);
    const auto longer = std::filesystem::file_size (lastSegment());
    m_storage.reset();
    const auto copy = m_root / "copy";
    std::filesystem::copy (m_folder, copy, std::filesystem::copy_options::recursive);
    for (auto size = whole; size < longer; ++size)
    {
        m_storage.reset();
        std::filesystem::remove_all (m_folder);
        std::filesystem::copy (copy, m_folder, std::filesystem::copy_options::recursive);
        std::filesystem::resize_file (lastSegment(), size);
        start();
        EXPECT_EQ (m_recovered.entries.size(), 3U) << size;
        EXPECT_EQ (m_recovered.tornBytesCut, size - whole);
        ASSERT_EQ (write ({ entries (4, 4) }), std::nullopt);
        start();
        EXPECT_EQ (m_recovered.entries.size(), 4U) << size;
    }
}

TEST_F (FileStorageTest, RefusesDamageInTheMiddle)
{
    start();
    ASSERT_EQ (write ({ entries (1, 3) }), std::nullopt);
    const auto first = std::filesystem::file_size (lastSegment());
    ASSERT_EQ (write ({ entries (4, 6) }), std::nullopt);
    const auto second = std::filesystem::file_size (lastSegment());
    ASSERT_EQ (write ({ entries (7, 9) }), std::nullopt);
    for (auto offset = first; offset < second; ++offset)
    {
        ASSERT_NO_FATAL_FAILURE (expectDamageIsReported (offset, first));
    }
    start();
    EXPECT_EQ (m_recovered.entries.size(), 9U);
}

TEST_F (FileStorageTest, RefusesDamageInACompleteLastRecord)
{
    start();
    ASSERT_EQ (write ({ entries (1, 3) }), std::nullopt);
    const auto first = std::filesystem::file_size (lastSegment());
    ASSERT_EQ (write ({ entries (4, 6) }), std::nullopt);
    const auto end = std::filesystem::file_size (lastSegment());
    for (auto offset = first; offset < end; ++offset)
    {
        // A length beyond the end of the file counts as a torn write only when the header's
        // checksum is valid, which it is not after one byte has changed.
        ASSERT_NO_FATAL_FAILURE (expectDamageIsReported (offset, first));
    }
}

TEST_F (FileStorageTest, CutsALastRecordWithAnUnwrittenSector)
{
    constexpr std::uint64_t kSector = 512;
    start();
    ASSERT_EQ (write ({ entries (1, 3) }), std::nullopt);
    const auto first = std::filesystem::file_size (lastSegment());
    ASSERT_EQ (write ({ entries (4, 6, 1000) }), std::nullopt);
    const auto end = std::filesystem::file_size (lastSegment());
    m_storage.reset();
    const auto copy = m_root / "copy";
    std::filesystem::copy (m_folder, copy, std::filesystem::copy_options::recursive);
    for (auto from = first; from < end; from = (from / kSector + 1) * kSector)
    {
        std::filesystem::remove_all (m_folder);
        std::filesystem::copy (copy, m_folder, std::filesystem::copy_options::recursive);
        const auto to = std::min<std::uint64_t> (end, (from / kSector + 1) * kSector);
        std::fstream file (lastSegment(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp (static_cast<std::streamoff> (from));
        file << std::string (to - from, '\0');
        file.close();
        start();
        EXPECT_EQ (m_recovered.entries.size(), 3U) << from;
        EXPECT_EQ (m_recovered.tornBytesCut, end - first);
        m_storage.reset();
    }
}

TEST_F (FileStorageTest, RefusesDamageInAClosedSegmentOrASnapshotOrAMissingSegment)
{
    start (100);
    ASSERT_EQ (write ({ entries (1, 2) }), std::nullopt);
    ASSERT_EQ (write ({ snapshot (2, "state") }), std::nullopt);
    const auto closed = lastSegment();
    ASSERT_EQ (write ({ entries (3, 9, 100) }), std::nullopt);
    ASSERT_NE (closed, lastSegment());
    const auto stored = m_folder / snapshotName (2);
    for (const auto& path : { closed, stored })
    {
        m_storage.reset();
        const auto offset = std::filesystem::file_size (path) - 1;
        flipByte (path, offset);
        ASSERT_EQ (open(), std::nullopt);
        EXPECT_EQ (recover(), ErrorKind::kStorageCorrupt) << path;
        m_storage.reset();
        flipByte (path, offset);
    }
    std::filesystem::remove (closed);
    ASSERT_EQ (open(), std::nullopt);
    EXPECT_EQ (recover(), ErrorKind::kStorageCorrupt);
}

TEST_F (FileStorageTest, RefusesALogWithoutIdentity)
{
    start();
    ASSERT_EQ (write ({ entries (1, 2) }), std::nullopt);
    std::filesystem::remove (m_folder / kIdentityName);
    ASSERT_EQ (open(), std::nullopt);
    EXPECT_EQ (recover(), ErrorKind::kStorageCorrupt);
    EXPECT_EQ (failureOf ([&] { return m_storage->initialize (8); }), ErrorKind::kStorageCorrupt);
}

TEST_F (FileStorageTest, RefusesAnUnknownFormat)
{
    start();
    m_storage.reset();
    std::string bytes = encodeRecord (RecordKind::kIdentity, "later", kFormatVersion + 1);
    std::ofstream (m_folder / kIdentityName, std::ios::binary) << bytes;
    EXPECT_EQ (open(), ErrorKind::kStorageFormatUnknown);
}

TEST_F (FileStorageTest, RefusesAFolderThatIsLocked)
{
    start();
    const auto second = failureOf (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_CHECK (FileStorage::open (m_folder));
            return {};
        });
    EXPECT_EQ (second, ErrorKind::kStorageLocked);
}

TEST_F (FileStorageTest, RemovesLeftoversOfACrash)
{
    start();
    ASSERT_EQ (write ({ entries (1, 2) }), std::nullopt);
    m_storage.reset();
    // The state after a crash between storing a snapshot and the checkpoint that refers to it.
    std::ofstream (m_folder / snapshotName (2)) << "never referred to";
    std::ofstream (m_folder / (segmentName (2) + ".new")) << "unfinished";
    start();
    EXPECT_EQ (m_recovered.snapshot.lastIndex, 0U);
    EXPECT_EQ (m_recovered.entries.size(), 2U);
    EXPECT_FALSE (std::filesystem::exists (m_folder / snapshotName (2)));
    EXPECT_FALSE (std::filesystem::exists (m_folder / (segmentName (2) + ".new")));
}

TEST_F (FileStorageTest, AFullDiskFailsTheWriteAndAllLaterOnes)
{
    start();
    ASSERT_EQ (write ({ entries (1, 2) }), std::nullopt);
    rlimit before{};
    ASSERT_EQ (::getrlimit (RLIMIT_FSIZE, &before), 0);
    const auto previousHandler = std::signal (SIGXFSZ, SIG_IGN);
    rlimit limited = before;
    limited.rlim_cur = std::filesystem::file_size (lastSegment()) + 100;
    ASSERT_EQ (::setrlimit (RLIMIT_FSIZE, &limited), 0);
    const auto failure = write ({ entries (3, 3, 5000) });
    ASSERT_EQ (::setrlimit (RLIMIT_FSIZE, &before), 0);
    std::signal (SIGXFSZ, previousHandler);
    EXPECT_EQ (failure, ErrorKind::kStorageFull);
    EXPECT_EQ (write ({ entries (3, 3) }), ErrorKind::kStorageFailed);
    start();
    EXPECT_EQ (m_recovered.entries.size(), 2U);
    EXPECT_GT (m_recovered.tornBytesCut, 0U);
}

TEST_F (FileStorageTest, AReadOnlyFolderFailsAtOpening)
{
    m_folder = "/proc/fernlift";
    EXPECT_EQ (open(), ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace fernlift::storage
