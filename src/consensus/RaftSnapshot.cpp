#include <algorithm>
#include <utility>

#include "consensus/RaftImplementation.h"
#include "wire/Codec.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::compact (LogIndex appliedIndex, std::string stateMachineData)
{
    const bool isUseful = appliedIndex > log_.snapshot().lastIndex && appliedIndex <= appliedIndex_;
    if (hasStorageFailed_ || ! isUseful)
        return;
    Snapshot snapshot;
    snapshot.lastIndex = appliedIndex;
    snapshot.lastTerm = log_.termAt (appliedIndex).value_or (0);
    snapshot.members = log_.membersAt (appliedIndex);
    snapshot.data = std::move (stateMachineData);
    persist_.storeSnapshot (snapshot);
    log_.compact (std::move (snapshot), options_.entriesKeptByCompaction);
}

void RaftNode::Implementation::startSnapshot (MemberId id, MemberReplication& member)
{
    member.mode = ReplicationMode::kSnapshot;
    member.snapshot = {};
    member.snapshot.lastIndex = log_.snapshot().lastIndex;
    member.snapshot.lastTerm = log_.snapshot().lastTerm;
    sendSnapshotChunk (id, member);
}

void RaftNode::Implementation::sendSnapshotChunk (MemberId id, MemberReplication& member)
{
    if (member.snapshot.lastIndex != log_.snapshot().lastIndex)
    {
        startSnapshot (id, member);
        return;
    }
    if (encodedSnapshotIndex_ != log_.snapshot().lastIndex)
    {
        encodedSnapshot_ = wire::encodeValue (log_.snapshot());
        encodedSnapshotIndex_ = log_.snapshot().lastIndex;
    }
    SnapshotChunk chunk;
    chunk.lastIndex = member.snapshot.lastIndex;
    chunk.lastTerm = member.snapshot.lastTerm;
    chunk.offset = std::min<std::uint64_t> (member.snapshot.offset, encodedSnapshot_.size());
    chunk.totalBytes = encodedSnapshot_.size();
    chunk.round = beginRound (member);
    chunk.data = encodedSnapshot_.substr (chunk.offset, options_.snapshotChunkBytes);
    member.snapshot.chunkRound = chunk.round;
    member.snapshot.sentAt = now_;
    send (id, std::move (chunk));
}

void RaftNode::Implementation::onSnapshotReply (MemberId from, const SnapshotReply& reply)
{
    const auto found = replications_.find (from);
    if (found == replications_.end())
        return;
    MemberReplication& member = found->second;
    member.confirmRound (reply.round, now_);
    const bool isCurrent =
        member.mode == ReplicationMode::kSnapshot && reply.lastIndex == member.snapshot.lastIndex;
    if (! isCurrent)
        return;
    if (reply.installed)
    {
        member.acknowledge (reply.lastIndex);
        member.probeFrom (reply.lastIndex + 1);
        commitByMajority();
    }
    else if (reply.round == member.snapshot.chunkRound)
    {
        member.snapshot.offset = reply.nextOffset;
        sendSnapshotChunk (from, member);
    }
}

void RaftNode::Implementation::onSnapshotChunk (MemberId from, const SnapshotChunk& chunk)
{
    noteLeader (from);
    const bool isNeeded = chunk.lastIndex > commitIndex_;
    if (isNeeded)
    {
        if (auto snapshot = snapshotReceiver_.add (hardState_.term, chunk))
            installSnapshot (std::move (*snapshot));
    }
    SnapshotReply reply;
    reply.lastIndex = chunk.lastIndex;
    reply.installed = chunk.lastIndex <= commitIndex_;
    reply.nextOffset = reply.installed ? chunk.totalBytes : snapshotReceiver_.nextOffset();
    reply.round = chunk.round;
    if (options_.plantedFault == PlantedFault::kSnapshotReplyBeforeSync)
    {
        send (from, reply);
    }
    else
    {
        sendWhenSynced (from, reply);
    }
}

void RaftNode::Implementation::installSnapshot (Snapshot snapshot)
{
    installedSnapshot_ = snapshot;
    const bool fitsLog = log_.termAt (snapshot.lastIndex) == snapshot.lastTerm;
    const LogIndex commitBefore = commitIndex_;
    commitIndex_ = snapshot.lastIndex;
    appliedIndex_ = snapshot.lastIndex;
    if (fitsLog)
    {
        persist_.storeSnapshot (snapshot);
        log_.compact (std::move (snapshot), options_.entriesKeptByCompaction);
    }
    else
    {
        persist_.replaceBySnapshot (snapshot, commitBefore);
        log_.replaceBy (std::move (snapshot));
    }
}

}  // namespace fernlift::consensus
