#include "sim/ConsensusChecker.h"

#include <utility>

#include "cell/CommandCodec.h"
#include "sim/ConfigurationChecker.h"
#include "sim/ControllerNode.h"
#include "sim/LeavingChecker.h"
#include "sim/ReplicaChecker.h"

namespace fernlift::sim
{
namespace
{

std::optional<cell::Command> decode (const consensus::Entry& entry)
{
    if (entry.kind != consensus::EntryKind::kCommand)
        return std::nullopt;
    return base::handleErrors (
        [&]() -> base::Result<std::optional<cell::Command>>
        {
            BOOST_LEAF_AUTO (command, cell::decodeCommand (entry.data));
            return std::optional (std::move (command));
        },
        [] (const base::Error&) { return std::optional<cell::Command>(); });
}

std::string memberName (base::MemberId member) { return "member " + std::to_string (member); }

}  // namespace

void ConsensusChecker::onStarted (base::MemberId member, const consensus::RecoveredState& recovered)
{
    MemberLog& log = m_logs[member];
    log = MemberLog();
    for (const consensus::Entry& entry : recovered.entries)
        log.entries[entry.index] = entry;
}

void ConsensusChecker::onEnded (base::MemberId member) { m_logs[member].holdsLease = false; }

void ConsensusChecker::onPersist (base::MemberId member, const consensus::PersistRequest& request)
{
    auto& entries = m_logs[member].entries;
    if (request.truncateFrom)
    {
        entries.erase (entries.lower_bound (*request.truncateFrom), entries.end());
    }
    for (const consensus::Entry& entry : request.entries)
        entries[entry.index] = entry;
}

void ConsensusChecker::onProgress (ControllerNode& controller)
{
    const consensus::RaftStatus status = controller.core().raftStatus();
    MemberLog& log = m_logs[controller.member()];
    if (status.appliedIndex > log.checkedIndex)
        checkApplied (controller.member(), log, status);
    if (status.role == consensus::Role::kLeader)
    {
        const auto [leader, isNew] = m_leaders.emplace (status.term, status.self);
        if (isNew)
        {
            m_world.addToTrace (memberName (status.self) + " leads term "
                                + std::to_string (status.term));
        }
        else if (leader->second != status.self)
        {
            m_world.violations.add ("one leader a term",
                                    "term " + std::to_string (status.term) + " is led by "
                                        + memberName (leader->second) + " and by "
                                        + memberName (status.self));
        }
    }
    checkLeases (controller, status);
}

void ConsensusChecker::checkApplied (base::MemberId member, MemberLog& log,
                                     const consensus::RaftStatus& status)
{
    for (base::LogIndex index = log.checkedIndex + 1; index <= status.appliedIndex; ++index)
    {
        const auto found = log.entries.find (index);
        if (found == log.entries.end())
            continue;  // The member received a snapshot that covers this entry.
        if (index == m_committed.size() + 1)
        {
            commit (found->second);
        }
        else if (index <= m_committed.size() && ! (m_committed[index - 1] == found->second))
        {
            m_world.violations.add (
                "committed log equal at all members",
                memberName (member) + " applied another entry at index " + std::to_string (index));
        }
    }
    log.checkedIndex = status.appliedIndex;
    if (status.appliedIndex > m_committed.size())
    {
        m_world.violations.add ("committed log equal at all members",
                                memberName (member) + " is ahead of every log");
    }
}

void ConsensusChecker::onVoteSent (const consensus::Message& message)
{
    const auto [vote, isNew] = m_votes.emplace (std::pair (message.from, message.term), message.to);
    if (isNew || vote->second == message.to)
        return;
    m_world.violations.add ("one vote a term", memberName (message.from) + " voted in term "
                                                   + std::to_string (message.term) + " for "
                                                   + memberName (vote->second) + " and for "
                                                   + memberName (message.to));
}

void ConsensusChecker::commit (const consensus::Entry& entry)
{
    m_committed.push_back (entry);
    const std::optional<cell::Command> command = decode (entry);
    if (! command)
        return;
    const cell::ApplyResult result = m_state.apply (entry.index, *command);
    m_world.replicas->onCommitted (entry.index, *command, result);
    m_world.configuration->onCommitted (*command, result);
    m_world.leaving->onCommitted (*command);
}

std::optional<cell::Command> ConsensusChecker::commandAt (base::LogIndex index) const
{
    if (index == 0 || index > m_committed.size())
        return std::nullopt;
    return decode (m_committed[index - 1]);
}

void ConsensusChecker::checkLeases (ControllerNode& controller, const consensus::RaftStatus& status)
{
    MemberLog& log = m_logs[controller.member()];
    log.holdsLease = controller.core().holdsLease();
    if (! log.holdsLease)
        return;
    m_highestLeaseTerm = std::max (m_highestLeaseTerm, status.term);
    for (const auto& other : m_world.controllers)
    {
        if (other.get() == &controller || ! m_logs[other->member()].holdsLease)
            continue;
        if (! other->leadsNow())
            continue;
        m_world.violations.add ("one lease at a time", memberName (controller.member()) + " and "
                                                           + memberName (other->member())
                                                           + " hold the leader's lease");
    }
}

void ConsensusChecker::checkNotDeposed (ControllerNode& controller, const std::string& act)
{
    const base::Term term = controller.core().raftStatus().term;
    if (term >= m_highestLeaseTerm)
        return;
    m_world.violations.add ("a replaced leader does nothing that counts",
                            memberName (controller.member()) + " of term " + std::to_string (term)
                                + " " + act + " although term "
                                + std::to_string (m_highestLeaseTerm) + " has a leader");
}

void ConsensusChecker::onRouterMessageSent (ControllerNode& controller,
                                            const cell::ControllerToRouter& message)
{
    if (std::holds_alternative<cell::LeaseGrant> (message))
    {
        checkNotDeposed (controller, "granted a lease");
    }
    else if (std::holds_alternative<cell::ConfigurationUpdate> (message))
    {
        checkNotDeposed (controller, "sent a configuration");
    }
    else if (std::holds_alternative<cell::ReplicaUpdate> (message))
    {
        checkNotDeposed (controller, "sent a replica table");
    }
}

void ConsensusChecker::onOrderSent (ControllerNode& controller, const engine::Order& order)
{
    checkNotDeposed (controller, "sent an order with fence " + std::to_string (order.fence));
}

void ConsensusChecker::checkEnd()
{
    if (m_world.leader() == nullptr)
    {
        m_world.violations.add ("the cell heals", "no controller leads");
    }
    const std::string expected = m_state.encode();
    for (const auto& controller : m_world.controllers)
    {
        if (! controller->isAlive() || controller->isFrozen())
            continue;
        const consensus::RaftStatus status = controller->core().raftStatus();
        const bool isMember = std::any_of (
            status.members.members.begin(), status.members.members.end(),
            [&] (const consensus::Member& member) { return member.id == controller->member(); });
        if (! isMember)
            continue;
        if (status.appliedIndex + 50 < m_committed.size())
        {
            m_world.violations.add ("the cell heals",
                                    memberName (controller->member()) + " applied "
                                        + std::to_string (status.appliedIndex) + " of "
                                        + std::to_string (m_committed.size()));
        }
        const bool isSame = status.appliedIndex != m_committed.size()
                            || controller->core().state().encode() == expected;
        if (! isSame)
        {
            m_world.violations.add ("state equal at all members",
                                    memberName (controller->member())
                                        + " holds another state at index "
                                        + std::to_string (status.appliedIndex));
        }
    }
}

}  // namespace fernlift::sim
