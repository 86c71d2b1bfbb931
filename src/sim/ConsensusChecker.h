#pragma once

/// Invariants of consensus: one committed log, equal at all members; one leader a term; one lease
/// at a time; nothing that counts from a leader that was replaced. Follows the committed log with a
/// state machine of its own, against which the other checks are made.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cell/CellState.h"
#include "cell/RouterMessages.h"
#include "consensus/RaftNode.h"
#include "engine/EngineApi.h"
#include "sim/World.h"

namespace fernlift::sim
{

class ConsensusChecker
{
public:
    explicit ConsensusChecker (World& world) : m_world (world) {}

    void onStarted (base::MemberId member, const consensus::RecoveredState& recovered);
    void onEnded (base::MemberId member);
    void onPersist (base::MemberId member, const consensus::PersistRequest& request);
    /// After every input of a controller.
    void onProgress (ControllerNode& controller);
    /// A member sends its vote.
    void onVoteSent (const consensus::Message& message);
    /// A controller sends something to a router.
    void onActed (ControllerNode& controller, const cell::ControllerToRouter& message);
    void onOrderSent (ControllerNode& controller, const engine::Order& order);
    /// Once the cell has healed: states are equal, a leader exists.
    void checkEnd();

    /// The state after every entry committed anywhere.
    [[nodiscard]] const cell::CellState& state() const { return m_state; }
    /// The command at an index of the committed log; none for other entries.
    [[nodiscard]] std::optional<cell::Command> commandAt (base::LogIndex index) const;
    [[nodiscard]] base::LogIndex committedIndex() const { return m_committed.size(); }
    [[nodiscard]] std::size_t terms() const { return m_leaders.size(); }

private:
    struct MemberLog
    {
        std::map<base::LogIndex, consensus::Entry> entries;
        base::LogIndex checkedIndex = 0;
        bool holdsLease = false;
    };

    void checkApplied (base::MemberId member, MemberLog& log, const consensus::RaftStatus& status);
    void commit (const consensus::Entry& entry);
    void checkLeases (ControllerNode& controller, const consensus::RaftStatus& status);
    void checkNotDeposed (ControllerNode& controller, const std::string& act);

    World& m_world;
    std::map<base::MemberId, MemberLog> m_logs;
    std::vector<consensus::Entry> m_committed;
    cell::CellState m_state;
    std::map<base::Term, base::MemberId> m_leaders;
    std::map<std::pair<base::MemberId, base::Term>, base::MemberId> m_votes;
    base::Term m_highestLeaseTerm = 0;
};

}  // namespace fernlift::sim
