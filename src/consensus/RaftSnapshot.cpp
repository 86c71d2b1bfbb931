#include <algorithm>
#include <utility>

#include "consensus/RaftImplementation.h"
#include "wire/Codec.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::compact (LogIndex appliedIndex, std::string stateMachineData)
{
    const bool isUseful =
        appliedIndex > m_log.snapshot().lastIndex && appliedIndex <= m_appliedIndex;
    if (m_hasStorageFailed || ! isUseful)
        return;
    Snapshot snapshot;
    snapshot.lastIndex = appliedIndex;
    snapshot.lastTerm = m_log.termAt (appliedIndex).value_or (0);
    snapshot.members = m_log.membersAt (appliedIndex);
    snapshot.data = std::move (stateMachineData);
    m_persist.storeSnapshot (snapshot);
    m_log.compact (std::move (snapshot), m_options.entriesKeptByCompaction);
}

void RaftNode::Implementation::startSnapshot (MemberId id, MemberReplication& member)
{
    member.mode = ReplicationMode::kSnapshot;
    member.snapshot = {};
    member.snapshot.lastIndex = m_log.snapshot().lastIndex;
    member.snapshot.lastTerm = m_log.snapshot().lastTerm;
    sendSnapshotChunk (id, member);
}

void RaftNode::Implementation::sendSnapshotChunk (MemberId id, MemberReplication& member)
{
    if (member.snapshot.lastIndex != m_log.snapshot().lastIndex)
    {
        startSnapshot (id, member);
        return;
    }
    if (m_encodedSnapshotIndex != m_log.snapshot().lastIndex)
    {
        m_encodedSnapshot = wire::encodeValue (m_log.snapshot());
        m_encodedSnapshotIndex = m_log.snapshot().lastIndex;
    }
    SnapshotChunk chunk;
    chunk.lastIndex = member.snapshot.lastIndex;
    chunk.lastTerm = member.snapshot.lastTerm;
    chunk.offset = std::min<std::uint64_t> (member.snapshot.offset, m_encodedSnapshot.size());
    chunk.totalBytes = m_encodedSnapshot.size();
    chunk.round = beginRound (member);
    chunk.data = m_encodedSnapshot.substr (chunk.offset, m_options.snapshotChunkBytes);
    member.snapshot.chunkRound = chunk.round;
    member.snapshot.sentAt = m_now;
    send (id, std::move (chunk));
}

void RaftNode::Implementation::onSnapshotReply (MemberId from, const SnapshotReply& reply)
{
    const auto found = m_replications.find (from);
    if (found == m_replications.end())
        return;
    MemberReplication& member = found->second;
    member.confirmRound (reply.round, m_now);
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
    onLeaderContact (from);
    const bool isNeeded = chunk.lastIndex > m_commitIndex;
    if (isNeeded)
    {
        if (auto snapshot = m_snapshotReceiver.add (m_hardState.term, chunk))
            installSnapshot (std::move (*snapshot));
    }
    SnapshotReply reply;
    reply.lastIndex = chunk.lastIndex;
    reply.installed = chunk.lastIndex <= m_commitIndex;
    reply.nextOffset = reply.installed ? chunk.totalBytes : m_snapshotReceiver.nextOffset();
    reply.round = chunk.round;
    if (m_options.plantedFault == PlantedFault::kSnapshotReplyBeforeSync)
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
    m_installedSnapshot = snapshot;
    const bool fitsLog = m_log.termAt (snapshot.lastIndex) == snapshot.lastTerm;
    const LogIndex commitBefore = m_commitIndex;
    m_commitIndex = snapshot.lastIndex;
    m_appliedIndex = snapshot.lastIndex;
    if (fitsLog)
    {
        m_persist.storeSnapshot (snapshot);
        m_log.compact (std::move (snapshot), m_options.entriesKeptByCompaction);
    }
    else
    {
        m_persist.replaceBySnapshot (snapshot, commitBefore);
        m_log.replaceBy (std::move (snapshot));
    }
}

}  // namespace fernlift::consensus
