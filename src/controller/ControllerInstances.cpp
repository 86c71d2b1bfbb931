// Duties of the leader towards registered runners and the operator of their services.

#include <utility>

#include "base/Digest.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Silence after which an instance is removed; it registers again when it is heard.
constexpr base::Duration kHoldingsInterval = base::milliseconds (300);
constexpr base::Duration kRemovalSilence = base::seconds (30);

}  // namespace

void ControllerCore::Implementation::onControl (ControlTicket ticket, const ControlRequest& request)
{
    if (! leader_ || ! holdsLease())
    {
        answerNotLeader (ticket);
        return;
    }
    std::visit ([&] (const auto& value) { control (ticket, value); }, request);
    drain();
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const InstanceHeartbeat& heartbeat)
{
    if (leader_->instances.onHeartbeat (heartbeat, now_))
    {
        placement::EngineHoldings holdings;
        holdings.models = heartbeat.models;
        holdings.inMemory.insert (heartbeat.inMemory.begin(), heartbeat.inMemory.end());
        holdings.onDisk.insert (heartbeat.onDisk.begin(), heartbeat.onDisk.end());
        leader_->engines.onHeartbeat (heartbeat.instance.id, holdings, now_);
        leader_->isEnginePlacementDue = true;
    }
    leader_->isInstanceTableDue = true;
    const cell::ServiceInstance* known = state_.instances().find (heartbeat.instance.id);
    if (known == nullptr)
    {
        cell::ServiceInstance instance = heartbeat.instance;
        instance.isReported = true;
        instance.models = heartbeat.models;
        proposeFor (ticket, cell::AddInstance{ std::move (instance), cellTime() });
    }
    else if (heartbeat.instance.isDraining && ! known->isDraining)
    {
        proposeFor (ticket, cell::DrainInstance{ heartbeat.instance.id, cellTime() });
    }
    else
    {
        answerControl (ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
    }
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const InstanceDeregistration& request)
{
    proposeFor (ticket, cell::RemoveInstance{ request.instance, true, cellTime() });
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const ReplaceConfiguration& request)
{
    const config::CatalogueOutcome parsed = options_.catalogueParser (request.text);
    if (! parsed.catalogue)
    {
        std::string problems;
        for (const config::CatalogueProblem& problem : parsed.problems)
        {
            problems += problem.key + ": " + problem.message + "\n";
        }
        answerControl (ticket, { ControlVerdict::kInvalid, "", std::move (problems) });
        return;
    }
    cell::ApplyConfiguration command;
    command.version = parsed.catalogue->version;
    command.digest = base::sha256Hex (request.text);
    command.text = request.text;
    command.proposedAt = cellTime();
    proposeFor (ticket, command);
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const ReadConfiguration& /*request*/)
{
    const std::string& text = state_.configuration().text();
    if (text.empty())
    {
        answerControl (ticket, { ControlVerdict::kUnavailable, "", "" });
    }
    else
    {
        answerControl (ticket, { ControlVerdict::kDone, "", text });
    }
}

void ControllerCore::Implementation::proposeFor (ControlTicket ticket, const cell::Command& command)
{
    if (! propose (command, ForControl{ ticket }))
        answerNotLeader (ticket);
}

void ControllerCore::Implementation::finish (const ForControl& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    leader_->isInstanceTableDue = true;
    ControlAnswer answer{ ControlVerdict::kDone, ownAdminAddress(), "" };
    if (const auto* outcome = std::get_if<cell::ConfigurationResult> (&result))
    {
        sendConfigurationToAll();
        // The highest version prevails: a lower or equal one is acknowledged and changes nothing.
        if (outcome->outcome == cell::ConfigurationOutcome::kInvalid)
        {
            answer = { ControlVerdict::kInvalid, "", "the version or the text does not hold" };
        }
    }
    sendInstancesIfDue();
    answerControl (purpose.ticket, std::move (answer));
}

void ControllerCore::Implementation::sendInstancesIfDue()
{
    if (! leader_->isInstanceTableDue || ! holdsLease())
        return;
    leader_->isInstanceTableDue = false;
    leader_->instances.refresh (state_.instances(), now_);
    refreshEngines();
    for (auto& [connection, session] : leader_->sessions.sessions())
    {
        sendInstances (connection, session);
    }
}

void ControllerCore::Implementation::sendInstances (RouterConnection connection,
                                                    RouterSession& session)
{
    if (! holdsLease() || session.instanceVersion == leader_->instances.version())
        return;
    const bool hasNone = session.instanceVersion == 0 && leader_->instances.rows().empty();
    if (hasNone)
        return;
    cell::InstanceUpdate update = leader_->instances.updateSince (session.instanceVersion);
    for (const consensus::Member& member : status_.members.members)
    {
        update.controllers.push_back (member.peerAddress);
    }
    update.routers = static_cast<std::uint32_t> (leader_->sessions.sessions().size());
    session.instanceVersion = update.toVersion;
    sendToRouter (connection, std::move (update));
}

void ControllerCore::Implementation::runInstanceRoutine()
{
    leader_->isInstanceTableDue = true;
    leader_->isEnginePlacementDue = true;
    sendInstancesIfDue();
    noteHoldingsIfDue();
    for (const std::string& id : leader_->instances.silentFor (kRemovalSilence, now_))
    {
        propose (cell::RemoveInstance{ id, false, cellTime() }, ForNothing{});
    }
}

void ControllerCore::Implementation::noteHoldingsIfDue()
{
    if (now_ < leader_->nextHoldingsAt)
        return;
    cell::NoteHoldings command;
    for (const auto& [id, row] : leader_->instances.rows())
    {
        const cell::ServiceInstance* agreed = state_.instances().find (id);
        const bool isKnown = agreed != nullptr && row.instance.isReported;
        if (isKnown && agreed->models != row.instance.models)
        {
            command.holdings.push_back ({ id, row.instance.models });
        }
    }
    if (command.holdings.empty())
        return;
    leader_->nextHoldingsAt = now_ + kHoldingsInterval;
    command.proposedAt = cellTime();
    propose (command, ForNothing{});
}

std::string ControllerCore::Implementation::ownAdminAddress() const
{
    for (const consensus::Member& member : status_.members.members)
    {
        if (member.id == self_)
            return member.adminAddress;
    }
    return {};
}

void ControllerCore::Implementation::answerNotLeader (ControlTicket ticket)
{
    ControlAnswer answer{ ControlVerdict::kUnavailable, "", "" };
    for (const consensus::Member& member : status_.members.members)
    {
        if (member.id != status_.leader || member.id == self_)
            continue;
        answer = { ControlVerdict::kNotLeader, member.adminAddress, "" };
    }
    answerControl (ticket, std::move (answer));
}

void ControllerCore::Implementation::answerControl (ControlTicket ticket, ControlAnswer answer)
{
    effects_.emplace_back (AnswerControl{ ticket, std::move (answer) });
}

}  // namespace fernlift::controller
