#pragma once

/// Checks invariants of consensus: the committed log is equal at all members, each term has at most
/// one leader, at most one leader's lease exists at a time, and a replaced leader grants no leases
/// and sends no orders, configurations or replica tables. Applies the committed log to a state
/// machine of its own, which the other checkers use as reference.

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
    /// Called after every input of a controller.
    void onProgress (ControllerNode& controller);
    /// Called when a member sends a granted vote.
    void onVoteSent (const consensus::Message& message);
    /// Called when a controller sends a message to a router.
    void onRouterMessageSent (ControllerNode& controller, const cell::ControllerToRouter& message);
    void onOrderSent (ControllerNode& controller, const engine::Order& order);
    /// Checks that the healed cell has a leader and equal states at all members.
    void checkEnd();

    /// State after applying all entries that any member has committed.
    [[nodiscard]] const cell::CellState& state() const { return m_state; }
    /// The command at an index of the committed log; none if the entry is not a command.
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
