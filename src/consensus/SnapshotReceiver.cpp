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
    const bool isSame = term == leaderTerm_ && chunk.lastIndex == lastIndex_
                        && chunk.lastTerm == lastTerm_ && chunk.totalBytes == totalBytes_;
    if (! isSame)
        restart (term, chunk);
    if (chunk.offset != bytes_.size())
        return std::nullopt;
    bytes_ += chunk.data;
    if (bytes_.size() < totalBytes_)
        return std::nullopt;
    std::optional<Snapshot> snapshot = decodeSnapshot (bytes_);
    restart (0, SnapshotChunk{});
    return snapshot;
}

void SnapshotReceiver::restart (Term term, const SnapshotChunk& chunk)
{
    leaderTerm_ = term;
    lastIndex_ = chunk.lastIndex;
    lastTerm_ = chunk.lastTerm;
    totalBytes_ = chunk.totalBytes;
    bytes_.clear();
}

}  // namespace fernlift::consensus
