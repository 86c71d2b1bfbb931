#pragma once

/// One member under test, for unit tests: the test itself plays the other members, the disk and the
/// clock.

#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/Membership.h"
#include "consensus/RaftNode.h"

namespace fernlift::consensus
{

inline Member testMember (MemberId id, bool isVoter = true)
{
    return { id, "127.0.0.1:" + std::to_string (id), "", "zone", isVoter };
}

/// Voters 1 to `count`.
inline MemberSet testVoters (MemberId count)
{
    MemberSet set;
    for (MemberId id = 1; id <= count; ++id)
        set.members.push_back (testMember (id));
    return set;
}

/// The error with which `operation` fails; none when it succeeds.
template <class Operation>
std::optional<base::ErrorKind> failureOf (Operation&& operation)
{
    using Kind = std::optional<base::ErrorKind>;
    return base::handleErrors (
        [&]() -> base::Result<Kind>
        {
            BOOST_LEAF_CHECK (operation());
            return Kind();
        },
        [] (const base::Error& error) { return Kind (error.kind); });
}

/// Member 1 of a quorum whose other members are played by the test.
class LoneMember
{
public:
    static constexpr MemberId kSelf = 1;

    explicit LoneMember (MemberSet members, RecoveredState state = {}, RaftOptions options = {})
    {
        state.initialMembers = std::move (members);
        node_ = std::make_unique<RaftNode> (kSelf, options, std::move (state), 1, now_);
        collect();
    }

    RaftNode& node() { return *node_; }
    [[nodiscard]] base::TimePoint now() const { return now_; }
    [[nodiscard]] RaftStatus status() const { return node_->status (now_); }
    [[nodiscard]] bool leads() const { return status().role == Role::kLeader; }
    [[nodiscard]] bool holdsLease() const { return node_->holdsLease (now_); }

    void receive (MemberId from, Term term, Payload payload)
    {
        node_->receive ({ from, kSelf, term, std::move (payload) }, now_);
        collect();
    }
    void advance (base::Duration duration)
    {
        const base::TimePoint end = now_ + duration;
        while (now_ < end)
        {
            now_ = std::min (end, now_ + base::milliseconds (5));
            node_->tick (now_);
            collect();
        }
    }
    /// Every write asked for so far is synced.
    void sync()
    {
        if (lastSequence_ == 0)
            return;
        node_->onPersisted (std::exchange (lastSequence_, 0), now_);
        collect();
        if (lastSequence_ != 0)
            sync();
    }
    bool propose (const std::string& data)
    {
        const auto failure = failureOf ([&] { return node_->propose (data, now_); });
        collect();
        return ! failure;
    }
    std::optional<base::ErrorKind> proposeMembers (const MemberSet& members)
    {
        const auto failure = failureOf ([&] { return node_->proposeMembers (members, now_); });
        collect();
        return failure;
    }
    /// Becomes leader with the votes of `voters`; every write is synced on the way.
    void lead (const std::vector<MemberId>& voters)
    {
        while (status().role != Role::kPreCandidate)
            advance (base::milliseconds (5));
        for (const MemberId id : voters)
            receive (id, status().term + 1, VoteReply{ true, true });
        sync();
        const Term term = status().term;
        for (const MemberId id : voters)
            receive (id, term, VoteReply{ false, true });
        sync();
    }
    /// Member `id` answers the latest append request sent to it: it has everything up to `match`.
    void acknowledge (MemberId id, LogIndex match)
    {
        AppendReply reply;
        reply.accepted = true;
        reply.matchIndex = match;
        reply.round = lastRoundTo (id);
        receive (id, status().term, reply);
    }
    [[nodiscard]] std::uint64_t lastRoundTo (MemberId id) const
    {
        std::uint64_t round = 0;
        for (const Message& message : sent_)
        {
            const auto* request = std::get_if<AppendRequest> (&message.payload);
            if (request != nullptr && message.to == id)
                round = request->round;
        }
        return round;
    }

    /// Payloads of this type sent to `to` so far (0: to anyone).
    template <class Type>
    [[nodiscard]] std::vector<Type> sent (MemberId to = 0) const
    {
        std::vector<Type> found;
        for (const Message& message : sent_)
        {
            const auto* payload = std::get_if<Type> (&message.payload);
            if (payload != nullptr && (to == 0 || message.to == to))
                found.push_back (*payload);
        }
        return found;
    }
    [[nodiscard]] const std::vector<Message>& messages() const { return sent_; }
    [[nodiscard]] const std::vector<PersistRequest>& writes() const { return writes_; }
    [[nodiscard]] const std::vector<Entry>& committed() const { return committed_; }
    [[nodiscard]] const std::optional<Snapshot>& installed() const { return installed_; }
    void forgetSent() { sent_.clear(); }

private:
    void collect()
    {
        RaftOutput output = node_->takeOutput();
        if (! output.writes.empty())
            lastSequence_ = output.writes.back().sequence;
        if (output.installedSnapshot)
            installed_ = std::move (output.installedSnapshot);
        std::move (output.writes.begin(), output.writes.end(), std::back_inserter (writes_));
        std::move (output.messages.begin(), output.messages.end(), std::back_inserter (sent_));
        std::move (output.committed.begin(), output.committed.end(),
                   std::back_inserter (committed_));
    }

    base::TimePoint now_{ base::milliseconds (1000) };
    std::unique_ptr<RaftNode> node_;
    std::uint64_t lastSequence_ = 0;
    std::vector<Message> sent_;
    std::vector<PersistRequest> writes_;
    std::vector<Entry> committed_;
    std::optional<Snapshot> installed_;
};

/// A recovered log with one command for each of `terms`, from index 1 on.
inline RecoveredState recoveredLog (HardState hardState, const std::vector<Term>& terms)
{
    RecoveredState state;
    state.hardState = hardState;
    for (const Term term : terms)
    {
        const LogIndex index = state.entries.size() + 1;
        state.entries.push_back ({ index, term, EntryKind::kCommand, "recovered" });
    }
    return state;
}

}  // namespace fernlift::consensus
