#pragma once

/// Harness for unit tests of a single member. The test itself simulates the other members, the disk
/// and the clock.

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

/// Returns voters 1 to `count`.
inline MemberSet testVoters (MemberId count)
{
    MemberSet set;
    for (MemberId id = 1; id <= count; ++id)
        set.members.push_back (testMember (id));
    return set;
}

/// Returns the error with which `operation` fails; none when it succeeds.
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

/// Member 1 of a quorum whose other members are simulated by the test.
class MemberHarness
{
public:
    static constexpr MemberId kSelf = 1;

    explicit MemberHarness (MemberSet members, RecoveredState state = {}, RaftOptions options = {})
    {
        state.initialMembers = std::move (members);
        m_node = std::make_unique<RaftNode> (kSelf, options, std::move (state), 1, m_now);
        collect();
    }

    RaftNode& node() { return *m_node; }
    [[nodiscard]] base::TimePoint now() const { return m_now; }
    [[nodiscard]] RaftStatus status() const { return m_node->status (m_now); }
    [[nodiscard]] bool leads() const { return status().role == Role::kLeader; }
    [[nodiscard]] bool holdsLease() const { return m_node->holdsLease (m_now); }

    void receive (MemberId from, Term term, Payload payload)
    {
        m_node->receive ({ from, kSelf, term, std::move (payload) }, m_now);
        collect();
    }
    void advance (base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        while (m_now < end)
        {
            m_now = std::min (end, m_now + base::milliseconds (5));
            m_node->tick (m_now);
            collect();
        }
    }
    /// Confirms every write output so far as synced.
    void sync()
    {
        if (m_lastSequence == 0)
            return;
        m_node->onPersisted (std::exchange (m_lastSequence, 0), m_now);
        collect();
        if (m_lastSequence != 0)
            sync();
    }
    bool propose (const std::string& data)
    {
        const auto failure = failureOf ([&] { return m_node->propose (data, m_now); });
        collect();
        return ! failure;
    }
    std::optional<base::ErrorKind> proposeMembers (const MemberSet& members)
    {
        const auto failure = failureOf ([&] { return m_node->proposeMembers (members, m_now); });
        collect();
        return failure;
    }
    /// Makes the member leader with the votes of `voters`, syncing every write.
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
    /// Delivers an accepting reply of member `id` to the latest append request sent to it, with a
    /// log that matches up to `match`.
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
        for (const Message& message : m_sent)
        {
            const auto* request = std::get_if<AppendRequest> (&message.payload);
            if (request != nullptr && message.to == id)
                round = request->round;
        }
        return round;
    }

    /// Payloads of this type sent so far to `to`, or to any member if `to` is 0.
    template <class Type>
    [[nodiscard]] std::vector<Type> sent (MemberId to = 0) const
    {
        std::vector<Type> found;
        for (const Message& message : m_sent)
        {
            const auto* payload = std::get_if<Type> (&message.payload);
            if (payload != nullptr && (to == 0 || message.to == to))
                found.push_back (*payload);
        }
        return found;
    }
    [[nodiscard]] const std::vector<Message>& messages() const { return m_sent; }
    [[nodiscard]] const std::vector<PersistRequest>& writes() const { return m_writes; }
    [[nodiscard]] const std::vector<Entry>& committed() const { return m_committed; }
    [[nodiscard]] const std::optional<Snapshot>& installed() const { return m_installed; }
    void clearSent() { m_sent.clear(); }

private:
    void collect()
    {
        RaftOutput output = m_node->takeOutput();
        if (! output.writes.empty())
            m_lastSequence = output.writes.back().sequence;
        if (output.installedSnapshot)
            m_installed = std::move (output.installedSnapshot);
        std::move (output.writes.begin(), output.writes.end(), std::back_inserter (m_writes));
        std::move (output.messages.begin(), output.messages.end(), std::back_inserter (m_sent));
        std::move (output.committed.begin(), output.committed.end(),
                   std::back_inserter (m_committed));
    }

    base::TimePoint m_now{ base::milliseconds (1000) };
    std::unique_ptr<RaftNode> m_node;
    std::uint64_t m_lastSequence = 0;
    std::vector<Message> m_sent;
    std::vector<PersistRequest> m_writes;
    std::vector<Entry> m_committed;
    std::optional<Snapshot> m_installed;
};

/// Returns a recovered log with one command for each of `terms`, from index 1 on.
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
