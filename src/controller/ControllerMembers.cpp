// Changes of the members that the leader makes by itself.

#include <algorithm>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::onJoinRequest (RouterConnection connection,
                                                    const cell::MemberJoinRequest& request)
{
    if (! options_.managesMembers || request.cell != options_.cell)
        return;
    cell::MemberJoinReply reply;
    for (const consensus::Member& member : status_.members.members)
    {
        if (member.id == request.member.id)
            reply.isVoter = member.isVoter;
    }
    if (! reply.isVoter)
        leader_->admission.onJoinRequest (request.member, request.isFounding, now_);
    sendToRouter (connection, reply);
    changeMembersIfDue();
}

void ControllerCore::Implementation::changeMembersIfDue()
{
    if (! options_.managesMembers || ! holdsLease())
        return;
    const bool isChanging =
        std::ranges::any_of (leader_->proposals,
                             [] (const auto& item)
                             {
                                 return std::holds_alternative<ForOwnMembers> (item.second)
                                        || std::holds_alternative<ForMembers> (item.second);
                             });
    if (isChanging)
        return;
    const consensus::RaftStatus status = raft_.status (now_);
    std::optional<consensus::MemberSet> change = leader_->admission.nextChange (status, now_);
    if (! change)
        return;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (index, raft_.proposeMembers (std::move (*change), now_));
            leader_->proposals.emplace (index, ForOwnMembers{});
            return {};
        },
        [] (const base::Error&) {});  // Not possible now; the next routine tries again.
}

void ControllerCore::Implementation::finish (const ForOwnMembers& /*purpose*/,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
}

}  // namespace fernlift::controller
