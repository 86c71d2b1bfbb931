// Injects a crash at every modifying operation of a sequence of writes, and disk failures, and
// checks that recovery finds every acknowledged write and nothing that was never written.

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

/// Expected contents of a folder: a model to which each write is applied.
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

/// Writes of every kind: votes, entries over several segments, a truncation, local snapshots and
/// one received from another member.
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

/// A member that starts, writes, crashes at a chosen step and restarts, on simulated files.
class MemberRun
{
public:
    SimulatedFiles& files() { return m_files; }
    [[nodiscard]] const Contents& acknowledged() const { return m_acknowledged; }

    /// Starts the member; false when it crashes or fails. A failure without a crash counts as a
    /// violation. The recovered contents must equal the acknowledged ones, with or without the
    /// write that was in progress, and count as acknowledged from then on.
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
            m_matchesAcknowledged = m_files.hasCrashed();
            m_problem = error->message;
            return false;
        }
        const Contents found{ recovered.hardState, recovered.snapshot, recovered.entries };
        const bool isIdentityKept = ! m_isIdentityKnown || recovered.memberId == kMember;
        m_matchesAcknowledged = isIdentityKept && (found == m_acknowledged || found == m_attempted);
        m_isIdentityKnown = true;
        m_acknowledged = found;
        m_attempted = found;
        return true;
    }
    /// Whether the last start recovered all acknowledged writes and nothing that was never written.
    [[nodiscard]] bool matchesAcknowledged() const { return m_matchesAcknowledged; }
    [[nodiscard]] const std::string& problem() const { return m_problem; }

    /// Performs the writes until one fails.
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
            ++m_completedWrites;
        }
    }
    [[nodiscard]] std::size_t completedWrites() const { return m_completedWrites; }
    /// Kind of the last failed write; kInternal when none failed.
    [[nodiscard]] ErrorKind failure() const { return m_failure; }

private:
    SimulatedFiles m_files;
    std::unique_ptr<FileStorage> m_storage;
    Contents m_acknowledged;
    Contents m_attempted;
    bool m_isIdentityKnown = false;
    bool m_matchesAcknowledged = true;
    std::string m_problem;
    std::size_t m_completedWrites = 0;
    ErrorKind m_failure = ErrorKind::kInternal;
};

/// Writes that continue the log from `contents`.
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
    MemberRun run;
    run.start();
    run.write (writesOfEveryKind());
    EXPECT_EQ (run.completedWrites(), writesOfEveryKind().size());
    return run.files().steps();
}

/// Crashes at `step`, optionally crashes again during the restart, restarts, writes more for even
/// seeds (without further writes the recovered contents must be durable too) and loses power.
/// Returns whether every start recovered the acknowledged writes.
bool keepsAcknowledgedWrites (std::uint64_t step, CrashKind kind, std::uint64_t secondStep,
                              std::uint64_t seed, DiskFault fault = DiskFault::kNone)
{
    MemberRun run;
    run.files().setFault (fault);
    run.files().crashAt (step);
    if (run.start())
        run.write (writesOfEveryKind());
    run.files().restart (kind, seed);
    if (secondStep > 0)
    {
        run.files().crashAt (run.files().steps() + secondStep);
        run.start();
        if (! run.matchesAcknowledged())
            return false;
        run.files().restart (kind, seed + 1);
    }
    if (! run.start() || ! run.matchesAcknowledged())
        return false;
    if (seed % 2 == 0)
        run.write (writesAfter (run.acknowledged()));
    run.files().restart (CrashKind::kNothingSurvives, seed);
    return run.start() && run.matchesAcknowledged();
}

TEST (FileStorageCrash, keepsAcknowledgedWritesAfterACrashAtEveryStep)
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
                    ASSERT_TRUE (keepsAcknowledgedWrites (step, kind, second, seed))
                        << "step " << step << ", kind " << static_cast<int> (kind) << ", second "
                        << second << ", seed " << seed;
                }
            }
        }
    }
    std::cout << steps << " steps, " << runs << " runs\n";
}

TEST (FileStorageCrash, detectsAMissingSyncOfFilesOrFolders)
{
    const std::uint64_t steps = stepsOfWholeRun();
    for (const DiskFault fault :
         { DiskFault::kFileSyncDoesNothing, DiskFault::kFolderSyncDoesNothing })
    {
        std::uint64_t violations = 0;
        for (std::uint64_t step = 1; step <= steps; ++step)
        {
            if (! keepsAcknowledgedWrites (step, CrashKind::kNothingSurvives, 0, 1, fault))
                ++violations;
        }
        EXPECT_GT (violations, steps / 2) << "the check must detect a disk that does not sync";
    }
}

class FailingDisk : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE (m_run.start());
        m_run.write ({ { entriesFrom (1, 2, 'a') } });
        ASSERT_EQ (m_run.completedWrites(), 1U);
    }
    /// Expects that a write fails with `kind` and that every later write is refused, even when the
    /// disk works again.
    void expectWritesRefused (ErrorKind kind)
    {
        m_run.write ({ { entriesFrom (3, 2, 'b') } });
        EXPECT_EQ (m_run.completedWrites(), 1U);
        EXPECT_EQ (m_run.failure(), kind);
        m_run.files().setFreeBytes (std::nullopt);
        m_run.files().setReadOnly (false);
        m_run.files().setSyncFails (false);
        m_run.write ({ { entriesFrom (3, 2, 'c') } });
        EXPECT_EQ (m_run.completedWrites(), 1U)
            << "the state on disk is unknown after a failed write";
    }

    MemberRun m_run;
};

TEST_F (FailingDisk, refusesWritesAfterTheDiskIsFull)
{
    for (const std::uint64_t freeBytes : { 0U, 1U, 50U })
    {
        MemberRun run;
        ASSERT_TRUE (run.start());
        run.write ({ { entriesFrom (1, 2, 'a') } });
        run.files().setFreeBytes (freeBytes);
        run.write ({ { entriesFrom (3, 2, 'b') } });
        EXPECT_EQ (run.completedWrites(), 1U);
        run.files().setFreeBytes (std::nullopt);
        run.files().restart (CrashKind::kProcessKilled, 1);
        EXPECT_TRUE (run.start() && run.matchesAcknowledged());
        EXPECT_EQ (run.acknowledged().entries.size(), 2U);
    }
    m_run.files().setFreeBytes (10);
    expectWritesRefused (ErrorKind::kStorageFull);
}

TEST_F (FailingDisk, refusesWritesAfterTheDiskIsReadOnly)
{
    m_run.files().setReadOnly (true);
    expectWritesRefused (ErrorKind::kStorageFailed);
}

TEST_F (FailingDisk, refusesWritesAfterAFailedSync)
{
    m_run.files().setSyncFails (true);
    expectWritesRefused (ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace fernlift::storage
