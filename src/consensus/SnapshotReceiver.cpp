#include "consensus/SnapshotReceiver.h"

#include <utility>

#include "wire/Codec.h"

namespace fernlift::consensus
{
namespace
{

std::optional<Snapshot> decodeSnapshot (const std::string& bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<Snapshot>>
        {
            BOOST_LEAF_AUTO (snapshot, wire::decodeValue<Snapshot> (bytes));
            return std::optional<Snapshot> (std::move (snapshot));
        },
        [] (const base::Error&) { return std::optional<Snapshot>(); });
}

}  // namespace

std::optional<Snapshot> SnapshotReceiver::add (Term term, const SnapshotChunk& chunk)
{
    const bool isSame = term == m_leaderTerm && chunk.lastIndex == m_lastIndex
                        && chunk.lastTerm == m_lastTerm && chunk.totalBytes == m_totalBytes;
    if (! isSame)
        restart (term, chunk);
    if (chunk.offset != m_bytes.size())
        return std::nullopt;
    m_bytes += chunk.data;
    if (m_bytes.size() < m_totalBytes)
        return std::nullopt;
    std::optional<Snapshot> snapshot = decodeSnapshot (m_bytes);
    restart (0, SnapshotChunk{});
    return snapshot;
}

void SnapshotReceiver::restart (Term term, const SnapshotChunk& chunk)
{
    m_leaderTerm = term;
    m_lastIndex = chunk.lastIndex;
    m_lastTerm = chunk.lastTerm;
    m_totalBytes = chunk.totalBytes;
    m_bytes.clear();
}

}  // namespace fernlift::consensus
