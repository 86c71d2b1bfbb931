#include "sim/SimulatedDisk.h"

#include <stdexcept>
#include <utility>

#include "consensus/ConsensusCodec.h"
#include "storage/Record.h"
#include "wire/Codec.h"

namespace fernlift::sim
{
namespace
{

using storage::RecordKind;
using storage::RecordStatus;

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

/// Returns the value of `call`; throws if it fails, which is a bug of the simulation.
template <class Value, class Call>
Value valueOrThrow (const char* what, Call&& call)
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
    for (const consensus::PersistRequest& request : m_waiting)
    {
        m_writing.push_back (consensus::toWriteBatch (request));
        record.batches.push_back (toRecord (m_writing.back()));
        m_writingSequence = request.sequence;
    }
    m_waiting.clear();
    m_unsynced = storage::encodeRecord (RecordKind::kBatches, wire::encodeValue (record));
}

std::uint64_t SimulatedDisk::endWrite()
{
    bool hasSnapshot = false;
    for (const storage::WriteBatch& batch : m_writing)
    {
        apply (batch);
        hasSnapshot = hasSnapshot || batch.hasSnapshot;
    }
    m_writing.clear();
    if (hasSnapshot)
    {
        rewrite();
    }
    else
    {
        m_segment += m_unsynced;
    }
    m_unsynced.clear();
    return m_writingSequence;
}

void SimulatedDisk::apply (const storage::WriteBatch& batch)
{
    valueOrThrow<bool> ("disk",
                        [&]() -> base::Result<bool>
                        {
                            BOOST_LEAF_CHECK (m_image.apply (toRecord (batch)));
                            return true;
                        });
    if (! batch.hasSnapshot)
        return;
    m_image.applySnapshot (batch.snapshot.lastIndex);
    m_snapshot = storage::encodeRecord (RecordKind::kSnapshot, batch.snapshot.data);
}

void SimulatedDisk::rewrite()
{
    m_segment = storage::encodeRecord (RecordKind::kSegmentHeader,
                                       wire::encodeValue (m_image.makeCheckpoint (1)));
}

bool SimulatedDisk::crash (base::Random& random)
{
    m_waiting.clear();
    if (m_writing.empty())
        return false;
    bool hasSnapshot = false;
    for (const storage::WriteBatch& batch : m_writing)
        hasSnapshot |= batch.hasSnapshot;
    m_writing.clear();
    const std::string record = std::exchange (m_unsynced, {});
    // A snapshot is written to a temporary file and has no effect before the file is renamed.
    if (hasSnapshot)
        return false;
    const auto kept = random.uniformInteger (0, static_cast<std::int64_t> (record.size()));
    m_segment.append (record, 0, static_cast<std::size_t> (kept));
    return kept > 0 && static_cast<std::size_t> (kept) < record.size();
}

void SimulatedDisk::wipe() { *this = SimulatedDisk(); }

consensus::RecoveredState SimulatedDisk::recover()
{
    m_image = storage::LogImage();
    std::size_t offset = 0;
    while (true)
    {
        const storage::ReadRecord record = storage::readRecord (m_segment, offset);
        if (record.status == RecordStatus::kEnd)
            break;
        if (record.status == RecordStatus::kTorn)
        {
            m_segment.resize (offset);
            break;
        }
        if (record.status != RecordStatus::kComplete)
            throw std::logic_error ("simulated disk: damaged record found during recovery");
        offset = record.nextOffset;
        valueOrThrow<bool> (
            "recovery",
            [&]() -> base::Result<bool>
            {
                if (record.kind == RecordKind::kSegmentHeader)
                {
                    BOOST_LEAF_AUTO (header,
                                     wire::decodeValue<storage::SegmentHeader> (record.payload));
                    BOOST_LEAF_CHECK (m_image.load (header));
                    return true;
                }
                BOOST_LEAF_AUTO (batches,
                                 wire::decodeValue<storage::BatchesRecord> (record.payload));
                for (const storage::BatchRecord& batch : batches.batches)
                {
                    BOOST_LEAF_CHECK (m_image.apply (batch));
                }
                return true;
            });
    }
    storage::Recovered recovered;
    recovered.hardState = m_image.hardState();
    recovered.entries = m_image.entries();
    if (! m_snapshot.empty())
    {
        recovered.snapshot.lastIndex = m_image.snapshotIndex();
        recovered.snapshot.data = std::string (storage::readRecord (m_snapshot, 0).payload);
    }
    return valueOrThrow<consensus::RecoveredState> (
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
