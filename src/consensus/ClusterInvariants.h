#pragma once

/// What must hold in every run of a simulated cluster, for tests. It sees everything that the
/// members do, in the order of true time, and notes each violation.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/SimulatedDisk.h"

namespace fernlift::consensus
{

/// The state machine of a simulated member: a digest of everything applied so far. Its bytes differ
/// between members of equal state, as those of a real state machine may.
struct DigestState
{
    LogIndex lastIndex = 0;
    std::uint64_t digest = 0;

    void apply (const Entry& entry);
    [[nodiscard]] std::string encode (MemberId by) const;
    /// None when the bytes are not of one member's encoding.
    [[nodiscard]] static std::optional<DigestState> decode (const std::string& bytes);
};

class ClusterInvariants
{
public:
    /// Persisted before answered; one vote a term; terms of answers never go back.
    void onSent (const Message& message, const DiskState& synced);
    /// Election safety, and leader completeness: entries committed in earlier terms are there. A
    /// candidate that was frozen may win an old term late, without what later terms committed.
    /// `written`: what the new leader has.
    void onLeader (MemberId id, Term term, const DiskState& written);
    /// Log matching, checked at every entry that is written.
    void onWritten (MemberId id, const PersistRequest& request, const DiskState& before);
    /// Monotone commit; a leader commits only through entries of its own term.
    void onCommit (MemberId id, const RaftStatus& status, LogIndex commitBefore,
                   const DiskState& written);
    /// State-machine safety. `term`: the member's own; the first member to apply an entry is the
    /// leader that committed it.
    void onApplied (MemberId id, Term term, const DigestState& state, const Entry& entry);
    void onInstalled (MemberId id, const Snapshot& snapshot);
    /// A caller was told that the command at `index` is committed.
    void onAcknowledged (LogIndex index) { m_observed = std::max (m_observed, index); }
    /// A leader that holds its lease answered a read from the state at `index`: linearizable if
    /// that includes every write acknowledged and every state read before.
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
        Term committedIn = 0;  ///< Term of the leader that committed it.
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
    std::vector<Committed> m_committed;  ///< Entry 1 first.
    std::map<Term, MemberId> m_leaders;
    std::map<std::pair<LogIndex, Term>, Written> m_written;
    std::map<std::pair<MemberId, Term>, MemberId> m_votes;
    std::map<MemberId, Term> m_answeredTerms;
    LogIndex m_observed = 0;
};

}  // namespace fernlift::consensus
