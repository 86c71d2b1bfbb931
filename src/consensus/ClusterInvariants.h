#pragma once

/// Checks the safety properties of consensus over a run of a simulated cluster, for tests. Receives
/// every action of the members in the order of true time and records each violation. Does not check
/// liveness; ClusterSimulation does. Single-threaded.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/SimulatedDisk.h"

namespace fernlift::consensus
{

/// The state machine of a simulated member: a digest of all applied entries. Members with equal
/// state encode it in different bytes, as real state machines may.
struct DigestState
{
    LogIndex lastIndex = 0;
    std::uint64_t digest = 0;

    void apply (const Entry& entry);
    [[nodiscard]] std::string encode (MemberId by) const;
    /// Returns none when the bytes were not encoded by a single member.
    [[nodiscard]] static std::optional<DigestState> decode (const std::string& bytes);
};

class ClusterInvariants
{
public:
    /// Checks that state is synced before a reply that depends on it is sent, that a member grants
    /// one vote per term, and that the terms of its replies never decrease.
    void onSent (const Message& message, const DiskState& synced);
    /// Checks election safety and leader completeness: the log of a new leader contains every entry
    /// committed in earlier terms. A candidate that was frozen may win an old term late, and need
    /// not have entries committed in later terms. `written` is the disk of the new leader.
    void onLeader (MemberId id, Term term, const DiskState& written);
    /// Checks log matching at every entry that is written.
    void onWritten (MemberId id, const PersistRequest& request, const DiskState& before);
    /// Checks that the commit index never decreases and that a leader advances it only to entries
    /// of its own term.
    void onCommit (MemberId id, const RaftStatus& status, LogIndex commitBefore,
                   const DiskState& written);
    /// Checks state-machine safety. `term` is the current term of the member; the first member to
    /// apply an entry is the leader that committed it.
    void onApplied (MemberId id, Term term, const DigestState& state, const Entry& entry);
    void onInstalled (MemberId id, const Snapshot& snapshot);
    /// Records that the command at `index` was acknowledged to a caller as committed.
    void onAcknowledged (LogIndex index) { m_observed = std::max (m_observed, index); }
    /// Checks a read that a leader with a lease answered from the state at `index`. The read is
    /// linearizable if that state includes every write acknowledged and every state read before.
    void onLeaseRead (MemberId id, LogIndex index);
    void fail (const std::string& invariant, MemberId id, const std::string& detail);

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] LogIndex committedIndex() const { return m_committed.size(); }
    [[nodiscard]] std::uint64_t digestAt (LogIndex index) const
    {
        return m_committed[index - 1].digest;
    }

private:
    struct Committed
    {
        Term term = 0;
        Term committedIn = 0;  ///< Term of the leader that committed the entry.
        std::uint64_t digest = 0;
    };
    struct Written
    {
        Term previousTerm = 0;
        std::uint64_t hash = 0;
        bool operator== (const Written&) const = default;
    };

    void checkAnswer (const Message& message, const DiskState& synced);
    void checkHas (const std::string& what, MemberId id, LogIndex index, const DiskState& synced);

    std::vector<std::string> m_violations;
    std::vector<Committed> m_committed;  ///< Indexed by log index minus 1.
    std::map<Term, MemberId> m_leaders;
    std::map<std::pair<LogIndex, Term>, Written> m_written;
    std::map<std::pair<MemberId, Term>, MemberId> m_votes;
    std::map<MemberId, Term> m_answeredTerms;
    LogIndex m_observed = 0;
};

}  // namespace fernlift::consensus
