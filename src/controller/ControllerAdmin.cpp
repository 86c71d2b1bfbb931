// Requests of operators on the administration interface.

#include <algorithm>
#include <utility>

#include "base/Digest.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::onAdmin (AdminTicket ticket, const AdminRequest& request)
{
    std::visit ([&] (const auto& value) { admin (ticket, value); }, request);
    drain();
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminApply& request)
{
    if (! m_leader)
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    const config::CatalogueOutcome parsed = m_options.catalogueParser (request.text);
    if (! parsed.catalogue)
    {
        answer (ticket, problemsAnswer (parsed.problems));
        return;
    }
    if (parsed.catalogue->cell != m_options.cell)
    {
        answer (ticket, problemsAnswer ({ { 0, "cell",
                                            "the file is for cell '" + parsed.catalogue->cell.value
                                                + "', this is '" + m_options.cell.value + "'" } }));
        return;
    }
    cell::ApplyConfiguration command;
    command.version = parsed.catalogue->version;
    command.digest = base::sha256Hex (request.text);
    command.text = request.text;
    command.proposedAt = cellTime();
    const ForApply purpose{ ticket, request.waitInForce, m_now + request.timeout };
    if (! propose (command, purpose))
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminStatus& /*request*/)
{
    const consensus::RaftStatus status = m_raft.status (m_now);
    answer (ticket, statusAnswer (adminView (status)));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminExplain& request)
{
    const bool mayRead =
        (m_leader && holdsLease()) || m_options.plantedFault == cell::PlantedFault::kStaleRead;
    if (! mayRead)
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    const consensus::RaftStatus status = m_raft.status (m_now);
    answer (ticket, explainAnswer (adminView (status), request.kind, request.name));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminMembers& /*request*/)
{
    answer (ticket, membersAnswer (m_raft.status (m_now)));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminAddMember& request)
{
    consensus::MemberSet members = m_raft.members();
    const bool isKnown = std::any_of (members.members.begin(), members.members.end(),
                                      [&] (const consensus::Member& member)
                                      { return member.id == request.member.id; });
    if (isKnown)
    {
        answer (ticket, errorAnswer ({ base::ErrorKind::kMembershipChangeRefused,
                                       "a member with this id exists already" }));
        return;
    }
    members.members.push_back (request.member);
    std::sort (members.members.begin(), members.members.end(),
               [] (const auto& left, const auto& right) { return left.id < right.id; });
    changeMembers (ticket, std::move (members));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminPromoteMember& request)
{
    consensus::MemberSet members = m_raft.members();
    const auto found = std::ranges::find (members.members, request.id, &consensus::Member::id);
    if (found == members.members.end())
    {
        answer (ticket, errorAnswer ({ base::ErrorKind::kNotFound,
                                       "no member " + std::to_string (request.id) + " is known" }));
        return;
    }
    found->isVoter = true;
    changeMembers (ticket, std::move (members));
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminRemoveMember& request)
{
    consensus::MemberSet members = m_raft.members();
    std::erase_if (members.members,
                   [&] (const consensus::Member& member) { return member.id == request.id; });
    changeMembers (ticket, std::move (members));
}

void ControllerCore::Implementation::changeMembers (AdminTicket ticket,
                                                    consensus::MemberSet members)
{
    if (! m_leader)
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            if (members == m_raft.members())
            {
                // The same change may not be committed yet, so an answer now could prove wrong.
                if (! holdsLease() || isMembersChangePending())
                {
                    return base::fail (base::ErrorKind::kMembershipChangeRefused,
                                       "this change is in progress; repeat the request");
                }
                answer (ticket, doneAnswer());
                return {};
            }
            BOOST_LEAF_AUTO (index, m_raft.proposeMembers (std::move (members), m_now));
            m_leader->proposals.emplace (index, ForMembers{ ticket });
            return {};
        },
        [&] (const base::Error& error) { answer (ticket, errorAnswer (error)); });
}

bool ControllerCore::Implementation::isMembersChangePending() const
{
    return std::ranges::any_of (m_leader->proposals, [] (const auto& item)
                                { return std::holds_alternative<ForMembers> (item.second); });
}

void ControllerCore::Implementation::admin (AdminTicket ticket, const AdminDrain& request)
{
    if (! m_leader)
    {
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
        return;
    }
    if (m_state.replicas().findRunner (request.runner) == nullptr)
    {
        answer (ticket, errorAnswer ({ base::ErrorKind::kNotFound,
                                       "no runner '" + request.runner.value + "' is known" }));
        return;
    }
    const cell::SetDraining command{ request.runner, request.isDraining, cellTime() };
    if (! propose (command, ForDrain{ ticket }))
        answer (ticket, notLeaderAnswer (m_raft.status (m_now)));
}

void ControllerCore::Implementation::answer (AdminTicket ticket, AdminAnswer answer)
{
    m_effects.emplace_back (AnswerAdmin{ ticket, answer.httpStatus, std::move (answer.json) });
}

void ControllerCore::Implementation::answerPendingApplies()
{
    if (m_leader->pendingApplies.empty())
        return;
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    const bool isEverywhere =
        holdsLease() && m_leader->sessions.isInForceEverywhere (inForce, m_leader->since, m_now);
    std::erase_if (m_leader->pendingApplies,
                   [&] (const PendingApply& wait)
                   {
                       // When a later configuration is in force everywhere, this one has been
                       // replaced everywhere too.
                       if (! isEverywhere && m_now < wait.deadline)
                           return false;
                       answer (wait.ticket, configurationAnswer (wait.result, isEverywhere));
                       return true;
                   });
}

AdminView ControllerCore::Implementation::adminView (const consensus::RaftStatus& status) const
{
    AdminView view{ m_state, status, nullptr, nullptr, nullptr, nullptr, m_now };
    if (m_leader)
    {
        view.watch = &m_leader->watch;
        view.sessions = &m_leader->sessions;
        view.demands = &m_leader->demands;
        view.loads = &m_leader->loads;
        view.rates = &m_leader->rates;
        view.instances = &m_leader->instances;
        view.placement = m_leader->engines.status();
        view.retryReserve = &m_leader->retryReserve;
    }
    return view;
}

}  // namespace fernlift::controller
