#include "sim/SimulatedDisk.h"

#include <stdexcept>
#include <utility>

#include "consensus/Durable.h"
#include "storage/Record.h"
#include "wire/Codec.h"

namespace fernlift::sim
{
namespace
{

using storage::RecordKind;
using storage::RecordVerdict;

constexpr consensus::Term kBootstrapTerm = 1;

storage::BatchRecord toRecord (const storage::WriteBatch& batch)
{
    storage::BatchRecord record;
    record.hasHardState = batch.hasHardState;
    record.hardState = batch.hardState;
    record.truncateFrom = batch.truncateFrom;
    for (const storage::StoredEntry& entry : batch.entries)
    {
        record.entries.push_back ({ entry.index, entry.data });
    }
    return record;
}

/// The value of a call that may not fail in a simulation.
template <class Value, class Call>
Value must (const char* what, Call&& call)
{
    return base::handleErrors (
        [&]() -> base::Result<Value> { return call(); },
        [&] (const base::Error& error) -> Value
        { throw std::logic_error (std::string (what) + ": " + error.message); });
}

}  // namespace

void SimulatedDisk::beginWrite()
{
    storage::BatchesRecord record;
    for (const consensus::PersistRequest& request : waiting_)
    {
        writing_.push_back (consensus::toWriteBatch (request));
        record.batches.push_back (toRecord (writing_.back()));
        writingSequence_ = request.sequence;
    }
    waiting_.clear();
    unsynced_ = storage::encodeRecord (RecordKind::kBatches, wire::encodeValue (record));
}

std::uint64_t SimulatedDisk::endWrite()
{
    bool hasSnapshot = false;
    for (const storage::WriteBatch& batch : writing_)
    {
        apply (batch);
        hasSnapshot = hasSnapshot || batch.hasSnapshot;
    }
    writing_.clear();
    if (hasSnapshot)
    {
        rewrite();
    }
    else
    {
        segment_ += unsynced_;
    }
    unsynced_.clear();
    return writingSequence_;
}

void SimulatedDisk::apply (const storage::WriteBatch& batch)
{
    must<bool> ("disk",
                [&]() -> base::Result<bool>
                {
                    BOOST_LEAF_CHECK (image_.apply (toRecord (batch)));
                    return true;
                });
    if (! batch.hasSnapshot)
        return;
    image_.applySnapshot (batch.snapshot.lastIndex);
    snapshot_ = storage::encodeRecord (RecordKind::kSnapshot, batch.snapshot.data);
}

void SimulatedDisk::rewrite()
{
    segment_ = storage::encodeRecord (RecordKind::kSegmentHeader,
                                      wire::encodeValue (image_.makeCheckpoint (1)));
}

bool SimulatedDisk::crash (base::Random& random)
{
    waiting_.clear();
    if (writing_.empty())
        return false;
    bool hasSnapshot = false;
    for (const storage::WriteBatch& batch : writing_)
        hasSnapshot |= batch.hasSnapshot;
    writing_.clear();
    const std::string record = std::exchange (unsynced_, {});
    // A snapshot is written aside: before its rename it is as if it had not been.
    if (hasSnapshot)
        return false;
    const auto kept = random.uniformInteger (0, static_cast<std::int64_t> (record.size()));
    segment_.append (record, 0, static_cast<std::size_t> (kept));
    return kept > 0 && static_cast<std::size_t> (kept) < record.size();
}

void SimulatedDisk::wipe() { *this = SimulatedDisk(); }

consensus::RecoveredState SimulatedDisk::recover()
{
    image_ = storage::LogImage();
    std::size_t offset = 0;
    while (true)
    {
        const storage::ReadRecord record = storage::readRecord (segment_, offset);
        if (record.verdict == RecordVerdict::kEnd)
            break;
        if (record.verdict == RecordVerdict::kTorn)
        {
            segment_.resize (offset);
            break;
        }
        if (record.verdict != RecordVerdict::kWhole)
            throw std::logic_error ("disk: damaged record");
        offset = record.nextOffset;
        must<bool> ("recovery",
                    [&]() -> base::Result<bool>
                    {
                        if (record.kind == RecordKind::kSegmentHeader)
                        {
                            BOOST_LEAF_AUTO (
                                header, wire::decodeValue<storage::SegmentHeader> (record.payload));
                            BOOST_LEAF_CHECK (image_.load (header));
                            return true;
                        }
                        BOOST_LEAF_AUTO (
                            batches, wire::decodeValue<storage::BatchesRecord> (record.payload));
                        for (const storage::BatchRecord& batch : batches.batches)
                        {
                            BOOST_LEAF_CHECK (image_.apply (batch));
                        }
                        return true;
                    });
    }
    storage::Recovered recovered;
    recovered.hardState = image_.hardState();
    recovered.entries = image_.entries();
    if (! snapshot_.empty())
    {
        recovered.snapshot.lastIndex = image_.snapshotIndex();
        recovered.snapshot.data = std::string (storage::readRecord (snapshot_, 0).payload);
    }
    return must<consensus::RecoveredState> (
        "recovery", [&] { return consensus::toRecoveredState (recovered, {}); });
}

void SimulatedDisk::bootstrap (const consensus::MemberSet& members)
{
    consensus::Entry entry;
    entry.index = 1;
    entry.term = kBootstrapTerm;
    entry.kind = consensus::EntryKind::kMembership;
    entry.data = wire::encodeValue (members);
    consensus::PersistRequest request;
    request.hardState = consensus::HardState{ kBootstrapTerm, 0 };
    request.entries.push_back (std::move (entry));
    submit (std::move (request));
    beginWrite();
    endWrite();
}

}  // namespace fernlift::sim
