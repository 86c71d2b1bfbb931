// A crash at every step of a run of writes, and disks that fail.

#include <gtest/gtest.h>

#include <iostream>

#include "storage/FileNames.h"
#include "storage/FileStorage.h"
#include "storage/SimulatedFiles.h"

namespace fernlift::storage
{
namespace
{

using base::ErrorKind;

constexpr const char* kFolder = "/data";
constexpr std::uint64_t kSmallSegment = 400;
constexpr std::uint64_t kMember = 7;

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

/// What a folder holds, as a model of the writes gives it.
struct Contents
{
    std::string hardState;
    StoredSnapshot snapshot;
    std::vector<StoredEntry> entries;

    bool operator== (const Contents&) const = default;
    void apply (const WriteBatch& batch)
    {
        if (batch.hasHardState)
            hardState = batch.hardState;
        if (batch.truncateFrom > 0)
        {
            std::erase_if (entries,
                           [&] (const auto& entry) { return entry.index >= batch.truncateFrom; });
        }
        entries.insert (entries.end(), batch.entries.begin(), batch.entries.end());
        if (! batch.hasSnapshot)
            return;
        snapshot = batch.snapshot;
        std::erase_if (entries,
                       [&] (const auto& entry) { return entry.index <= batch.snapshot.lastIndex; });
    }
};

using Write = std::vector<WriteBatch>;

WriteBatch entriesFrom (std::uint64_t first, std::uint64_t count, char text)
{
    WriteBatch batch;
    for (std::uint64_t index = first; index < first + count; ++index)
    {
        batch.entries.push_back ({ index, std::string (60, text) });
    }
    return batch;
}

WriteBatch snapshotAt (std::uint64_t lastIndex, std::uint64_t truncateFrom = 0)
{
    WriteBatch batch;
    batch.truncateFrom = truncateFrom;
    batch.hasSnapshot = true;
    batch.snapshot = { lastIndex, "state at " + std::to_string (lastIndex) };
    return batch;
}

WriteBatch hardStateOf (std::string text)
{
    WriteBatch batch;
    batch.hasHardState = true;
    batch.hardState = std::move (text);
    return batch;
}

/// Writes of every kind: votes, entries over several segments, a truncation, own and received
/// snapshots.
std::vector<Write> writesOfEveryKind()
{
    WriteBatch rewrite = entriesFrom (6, 3, 'c');
    rewrite.truncateFrom = 6;
    return { { hardStateOf ("term 1") },
             { entriesFrom (1, 3, 'a') },
             { entriesFrom (4, 2, 'a'), entriesFrom (6, 2, 'b') },
             { hardStateOf ("term 2"), rewrite },
             { entriesFrom (9, 4, 'c') },
             { snapshotAt (8), entriesFrom (13, 1, 'd') },
             { entriesFrom (14, 3, 'd') },
             { hardStateOf ("term 3"), snapshotAt (100, 9) },
             { entriesFrom (101, 2, 'e') },
             { snapshotAt (101) },
             { entriesFrom (103, 5, 'f') } };
}

/// One member's life: it starts, writes, dies at a chosen step, and starts again.
class Life
{
public:
    SimulatedFiles& files() { return m_files; }
    [[nodiscard]] const Contents& acknowledged() const { return m_acknowledged; }

    /// Starts; false when it dies or fails on the way, which is no truth unless it died. What it
    /// reads back must be what was acknowledged or that with the write in progress, and counts as
    /// acknowledged from then on.
    bool start()
    {
        m_storage.reset();
        Recovered recovered;
        const auto error = errorOf (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_storage, FileStorage::open (kFolder, kSmallSegment, m_files));
                BOOST_LEAF_ASSIGN (recovered, m_storage->recover());
                if (recovered.memberId == 0)
                    BOOST_LEAF_CHECK (m_storage->initialize (kMember));
                return {};
            });
        if (error)
        {
            m_isTrue = m_files.hasCrashed();
            m_problem = error->message;
            return false;
        }
        const Contents found{ recovered.hardState, recovered.snapshot, recovered.entries };
        const bool isIdentityKept = ! m_isIdentityKnown || recovered.memberId == kMember;
        m_isTrue = isIdentityKept && (found == m_acknowledged || found == m_attempted);
        m_isIdentityKnown = true;
        m_acknowledged = found;
        m_attempted = found;
        return true;
    }
    /// Whether the last start read back all that was acknowledged and nothing never written.
    [[nodiscard]] bool isTrue() const { return m_isTrue; }
    [[nodiscard]] const std::string& problem() const { return m_problem; }

    /// Carries the writes out until the process dies.
    void write (const std::vector<Write>& writes)
    {
        for (const Write& write : writes)
        {
            m_attempted = m_acknowledged;
            for (const WriteBatch& batch : write)
                m_attempted.apply (batch);
            const auto error = errorOf ([&] { return m_storage->write (write); });
            if (error)
                m_failure = error->kind;
            if (error)
                return;
            m_acknowledged = m_attempted;
            ++m_done;
        }
    }
    [[nodiscard]] std::size_t done() const { return m_done; }
    /// How the last write failed; kInternal when none has.
    [[nodiscard]] ErrorKind failure() const { return m_failure; }

private:
    SimulatedFiles m_files;
    std::unique_ptr<FileStorage> m_storage;
    Contents m_acknowledged;
    Contents m_attempted;
    bool m_isIdentityKnown = false;
    bool m_isTrue = true;
    std::string m_problem;
    std::size_t m_done = 0;
    ErrorKind m_failure = ErrorKind::kInternal;
};

/// Entries that follow on whatever the folder holds.
std::vector<Write> writesAfter (const Contents& contents)
{
    const std::uint64_t last =
        contents.entries.empty() ? contents.snapshot.lastIndex : contents.entries.back().index;
    return { { hardStateOf ("later") },
             { entriesFrom (last + 1, 3, 'z') },
             { snapshotAt (last + 2) } };
}

std::uint64_t stepsOfWholeRun()
{
    Life life;
    life.start();
    life.write (writesOfEveryKind());
    EXPECT_EQ (life.done(), writesOfEveryKind().size());
    return life.files().steps();
}

/// Dies at `step`, then perhaps again while it starts, then starts, writes on (or not: what it read
/// back must last too) and loses power. Whether every start read back the truth.
bool survives (std::uint64_t step, CrashKind kind, std::uint64_t secondStep, std::uint64_t seed,
               DiskFault fault = DiskFault::kNone)
{
    Life life;
    life.files().setFault (fault);
    life.files().crashAt (step);
    if (life.start())
        life.write (writesOfEveryKind());
    life.files().restart (kind, seed);
    if (secondStep > 0)
    {
        life.files().crashAt (life.files().steps() + secondStep);
        life.start();
        if (! life.isTrue())
            return false;
        life.files().restart (kind, seed + 1);
    }
    if (! life.start() || ! life.isTrue())
        return false;
    if (seed % 2 == 0)
        life.write (writesAfter (life.acknowledged()));
    life.files().restart (CrashKind::kNothingSurvives, seed);
    return life.start() && life.isTrue();
}

TEST (FileStorageCrash, atEveryStepLosesNothingAcknowledged)
{
    const std::uint64_t steps = stepsOfWholeRun();
    constexpr std::uint64_t kSecondSteps = 8;
    std::uint64_t runs = 0;
    for (std::uint64_t step = 1; step <= steps; ++step)
    {
        for (std::uint64_t second = 0; second <= kSecondSteps; ++second)
        {
            for (const CrashKind kind : { CrashKind::kProcessKilled, CrashKind::kNothingSurvives,
                                          CrashKind::kPartSurvives })
            {
                const std::uint64_t seeds = kind == CrashKind::kPartSurvives ? 4 : 2;
                for (std::uint64_t seed = 1; seed <= seeds; ++seed, ++runs)
                {
                    ASSERT_TRUE (survives (step, kind, second, seed))
                        << "step " << step << ", kind " << static_cast<int> (kind) << ", second "
                        << second << ", seed " << seed;
                }
            }
        }
    }
    std::cout << steps << " steps, " << runs << " runs\n";
}

TEST (FileStorageCrash, showsWhenAFileOrFolderIsNotSynced)
{
    const std::uint64_t steps = stepsOfWholeRun();
    for (const DiskFault fault :
         { DiskFault::kFileSyncDoesNothing, DiskFault::kFolderSyncDoesNothing })
    {
        std::uint64_t lies = 0;
        for (std::uint64_t step = 1; step <= steps; ++step)
        {
            if (! survives (step, CrashKind::kNothingSurvives, 0, 1, fault))
                ++lies;
        }
        EXPECT_GT (lies, steps / 2) << "this check can fail";
    }
}

class FailingDisk : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE (m_life.start());
        m_life.write ({ { entriesFrom (1, 2, 'a') } });
        ASSERT_EQ (m_life.done(), 1U);
    }
    /// After the failure nothing is written, whatever the disk does then; what was acknowledged is
    /// read back.
    void expectStopWithoutLie (ErrorKind kind)
    {
        m_life.write ({ { entriesFrom (3, 2, 'b') } });
        EXPECT_EQ (m_life.done(), 1U);
        EXPECT_EQ (m_life.failure(), kind);
        m_life.files().setRoom (std::nullopt);
        m_life.files().setReadOnly (false);
        m_life.files().setSyncFails (false);
        m_life.write ({ { entriesFrom (3, 2, 'c') } });
        EXPECT_EQ (m_life.done(), 1U) << "the state on disk is not known any more";
    }

    Life m_life;
};

TEST_F (FailingDisk, whenFullStopsTheMember)
{
    for (const std::uint64_t room : { 0U, 1U, 50U })
    {
        Life life;
        ASSERT_TRUE (life.start());
        life.write ({ { entriesFrom (1, 2, 'a') } });
        life.files().setRoom (room);
        life.write ({ { entriesFrom (3, 2, 'b') } });
        EXPECT_EQ (life.done(), 1U);
        life.files().setRoom (std::nullopt);
        life.files().restart (CrashKind::kProcessKilled, 1);
        EXPECT_TRUE (life.start() && life.isTrue());
        EXPECT_EQ (life.acknowledged().entries.size(), 2U);
    }
    m_life.files().setRoom (10);
    expectStopWithoutLie (ErrorKind::kStorageFull);
}

TEST_F (FailingDisk, whenReadOnlyStopsTheMember)
{
    m_life.files().setReadOnly (true);
    expectStopWithoutLie (ErrorKind::kStorageFailed);
}

TEST_F (FailingDisk, whenASyncFailsStopsTheMember)
{
    m_life.files().setSyncFails (true);
    expectStopWithoutLie (ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace fernlift::storage
