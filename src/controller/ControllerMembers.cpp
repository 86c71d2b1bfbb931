// Membership changes that the leader makes without an operator.

#include <algorithm>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::onJoinRequest (RouterConnection connection,
                                                    const cell::MemberJoinRequest& request)
{
    if (! m_options.managesMembers || request.cell != m_options.cell)
        return;
    cell::MemberJoinReply reply;
    for (const consensus::Member& member : m_raft.members().members)
    {
        if (member.id == request.member.id)
            reply.isVoter = member.isVoter;
    }
    if (! reply.isVoter)
        m_leader->admission.onJoinRequest (request.member, request.isFounding, m_now);
    sendToRouter (connection, reply);
    changeMembersIfDue();
}

void ControllerCore::Implementation::changeMembersIfDue()
{
    if (! m_options.managesMembers || ! holdsLease())
        return;
    const bool isChanging =
        std::ranges::any_of (m_leader->proposals,
                             [] (const auto& item)
                             {
                                 return std::holds_alternative<ForAutomaticMembers> (item.second)
                                        || std::holds_alternative<ForMembers> (item.second);
                             });
    if (isChanging)
        return;
    const consensus::RaftStatus status = m_raft.status (m_now);
    std::optional<consensus::MemberSet> change = m_leader->admission.nextChange (status, m_now);
    if (! change)
        return;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (index, m_raft.proposeMembers (std::move (*change), m_now));
            m_leader->proposals.emplace (index, ForAutomaticMembers{});
            return {};
        },
        [] (const base::Error&) {});  // The change is not possible now; the next call retries.
}

void ControllerCore::Implementation::finish (const ForAutomaticMembers& /*purpose*/,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
}

}  // namespace fernlift::controller
