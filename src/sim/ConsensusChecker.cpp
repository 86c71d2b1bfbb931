#include "sim/ConsensusChecker.h"

#include <utility>

#include "sim/ConfigurationChecker.h"
#include "sim/ControllerNode.h"
#include "sim/LeavingChecker.h"
#include "sim/ReplicaChecker.h"
#include "wire/Codec.h"

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
            BOOST_LEAF_AUTO (command, wire::decodeMessage<cell::Command> (entry.data));
            return std::optional (std::move (command));
        },
        [] (const base::Error&) { return std::optional<cell::Command>(); });
}

std::string memberName (base::MemberId member) { return "member " + std::to_string (member); }

}  // namespace

void ConsensusChecker::onStarted (base::MemberId member, const consensus::RecoveredState& recovered)
{
    MemberLog& log = logs_[member];
    log = MemberLog();
    for (const consensus::Entry& entry : recovered.entries)
        log.entries[entry.index] = entry;
}

void ConsensusChecker::onEnded (base::MemberId member) { logs_[member].holdsLease = false; }

void ConsensusChecker::onPersist (base::MemberId member, const consensus::PersistRequest& request)
{
    auto& entries = logs_[member].entries;
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
    MemberLog& log = logs_[controller.member()];
    if (status.appliedIndex > log.checkedIndex)
        checkApplied (controller.member(), log, status);
    if (status.role == consensus::Role::kLeader)
    {
        const auto [leader, isNew] = leaders_.emplace (status.term, status.self);
        if (isNew)
        {
            world_.note (memberName (status.self) + " leads term " + std::to_string (status.term));
        }
        else if (leader->second != status.self)
        {
            world_.violations.add ("one leader a term",
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
            continue;  // Covered by a snapshot it received.
        if (index == committed_.size() + 1)
        {
            commit (found->second);
        }
        else if (index <= committed_.size() && ! (committed_[index - 1] == found->second))
        {
            world_.violations.add (
                "committed log equal at all members",
                memberName (member) + " applied another entry at index " + std::to_string (index));
        }
    }
    log.checkedIndex = status.appliedIndex;
    if (status.appliedIndex > committed_.size())
    {
        world_.violations.add ("committed log equal at all members",
                               memberName (member) + " is ahead of every log");
    }
}

void ConsensusChecker::onVoteSent (const consensus::Message& message)
{
    const auto [vote, isNew] = votes_.emplace (std::pair (message.from, message.term), message.to);
    if (isNew || vote->second == message.to)
        return;
    world_.violations.add ("one vote a term", memberName (message.from) + " voted in term "
                                                  + std::to_string (message.term) + " for "
                                                  + memberName (vote->second) + " and for "
                                                  + memberName (message.to));
}

void ConsensusChecker::commit (const consensus::Entry& entry)
{
    committed_.push_back (entry);
    const std::optional<cell::Command> command = decode (entry);
    if (! command)
        return;
    const cell::ApplyResult result = state_.apply (entry.index, *command);
    world_.replicas->onCommitted (entry.index, *command, result);
    world_.configuration->onCommitted (*command, result);
    world_.leaving->onCommitted (*command);
}

std::optional<cell::Command> ConsensusChecker::commandAt (base::LogIndex index) const
{
    if (index == 0 || index > committed_.size())
        return std::nullopt;
    return decode (committed_[index - 1]);
}

void ConsensusChecker::checkLeases (ControllerNode& controller, const consensus::RaftStatus& status)
{
    MemberLog& log = logs_[controller.member()];
    log.holdsLease = controller.core().holdsLease();
    if (! log.holdsLease)
        return;
    highestLeaseTerm_ = std::max (highestLeaseTerm_, status.term);
    for (const auto& other : world_.controllers)
    {
        if (other.get() == &controller || ! logs_[other->member()].holdsLease)
            continue;
        if (! other->leadsNow())
            continue;
        world_.violations.add ("one lease at a time", memberName (controller.member()) + " and "
                                                          + memberName (other->member())
                                                          + " hold the leader's lease");
    }
}

void ConsensusChecker::checkNotDeposed (ControllerNode& controller, const std::string& act)
{
    const base::Term term = controller.core().raftStatus().term;
    if (term >= highestLeaseTerm_)
        return;
    world_.violations.add ("a replaced leader does nothing that counts",
                           memberName (controller.member()) + " of term " + std::to_string (term)
                               + " " + act + " although term " + std::to_string (highestLeaseTerm_)
                               + " has a leader");
}

void ConsensusChecker::onActed (ControllerNode& controller, const cell::ControllerToRouter& message)
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
    if (world_.leader() == nullptr)
    {
        world_.violations.add ("the cell heals", "no controller leads");
    }
    const std::string expected = state_.encode();
    for (const auto& controller : world_.controllers)
    {
        if (! controller->isAlive() || controller->isFrozen())
            continue;
        const consensus::RaftStatus status = controller->core().raftStatus();
        const bool isMember = std::any_of (
            status.members.members.begin(), status.members.members.end(),
            [&] (const consensus::Member& member) { return member.id == controller->member(); });
        if (! isMember)
            continue;
        if (status.appliedIndex + 50 < committed_.size())
        {
            world_.violations.add ("the cell heals", memberName (controller->member()) + " applied "
                                                         + std::to_string (status.appliedIndex)
                                                         + " of "
                                                         + std::to_string (committed_.size()));
        }
        const bool isSame = status.appliedIndex != committed_.size()
                            || controller->core().state().encode() == expected;
        if (! isSame)
        {
            world_.violations.add ("state equal at all members",
                                   memberName (controller->member())
                                       + " holds another state at index "
                                       + std::to_string (status.appliedIndex));
        }
    }
}

}  // namespace fernlift::sim
