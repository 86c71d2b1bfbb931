/**
 * Configuration changes of an operator at the leader: validation, proposal, rollout to the routers
 * and the answer. A change is answered once no router serves under an earlier configuration; see
 * docs/design/configuration.md.
 */

#include <utility>

#include "base/Digest.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Interval of configuration messages: routers that need a configuration within it get one message,
/// which is encoded once.
constexpr base::Duration kConfigurationInterval = base::milliseconds (10);

}  // namespace

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const ReplaceConfiguration& request)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    std::string digest = base::sha256Hex (request.text);
    if (digest == inForce.digest)
    {
        // The operator repeated the change: it is committed, but may not be in force everywhere.
        awaitRollout ({ ticket, inForce.version, m_now });
        return;
    }
    config::CatalogueOutcome parsed = m_options.catalogueParser (request.text);
    if (! parsed.catalogue)
    {
        std::string problems;
        for (const config::CatalogueProblem& problem : parsed.problems)
            problems += problem.key + ": " + problem.message + "\n";
        answerConfiguration ({ ticket, 0, m_now },
                             { ControlVerdict::kInvalid, "", std::move (problems) });
        return;
    }
    cell::ApplyConfiguration command;
    command.version = parsed.catalogue->version;
    command.digest = std::move (digest);
    command.text = request.text;
    command.proposedAt = cellTime();
    m_state.keepParsed (command.digest, std::move (*parsed.catalogue));
    if (propose (command, ForConfiguration{ ticket, command.version, m_now }))
        drain();
    else
        answerNotLeader (ticket);
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const ReadConfiguration& /*request*/)
{
    const std::string& text = m_state.configuration().text();
    if (text.empty())
    {
        answerControl (ticket, { ControlVerdict::kUnavailable, "", "" });
    }
    else
    {
        answerControl (ticket, { ControlVerdict::kDone, "", text });
    }
}

void ControllerCore::Implementation::onConfigurationApplied (
    const cell::ConfigurationResult& result)
{
    cacheConfiguration();
    if (! m_leader || result.outcome != cell::ConfigurationOutcome::kAccepted)
        return;
    m_leader->rollout.onCommitted (result.inForce.version, m_now);
    m_effects.emplace_back (ConfigurationCommitted{ result.inForce.version, m_leader->term,
                                                    m_leader->sessions.sessions().size() });
}

void ControllerCore::Implementation::cacheConfiguration()
{
    const cell::ConfigurationState& configuration = m_state.configuration();
    if (configuration.identity().version != 0)
        m_configurationChange.setInForce (configuration.identity(), configuration.text());
}

void ControllerCore::Implementation::finish (const ForConfiguration& purpose,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& outcome = std::get<cell::ConfigurationResult> (result);
    if (outcome.outcome == cell::ConfigurationOutcome::kInvalid)
    {
        answerConfiguration (
            purpose, { ControlVerdict::kInvalid, "", "the version or the text is invalid" });
        return;
    }
    // The highest version prevails: a lower or equal one is acknowledged without effect. In both
    // cases the answer means that no router serves under a configuration earlier than the one in
    // force now.
    awaitRollout (purpose);
}

void ControllerCore::Implementation::awaitRollout (const ForConfiguration& purpose)
{
    m_leader->pendingConfigurations.push_back (
        { purpose,
          m_state.configuration().identity().version,
          { ControlVerdict::kDone, ownAdminAddress(), "" } });
}

void ControllerCore::Implementation::answerConfiguration (const ForConfiguration& purpose,
                                                          ControlAnswer answer)
{
    m_effects.emplace_back (ConfigurationAnswered{ purpose.version, toString (answer.verdict),
                                                   m_now - purpose.arrivedAt });
    answerControl (purpose.ticket, std::move (answer));
}

void ControllerCore::Implementation::sendConfigurationIfDue()
{
    if (holdsLease())
        sendConfigurationTo (m_leader->sessions, m_leader->configurationSend,
                             m_leader->announcedVersion);
}

void ControllerCore::Implementation::sendConfigurationTo (RouterSessions& sessions,
                                                          ThrottledWork& pacing,
                                                          std::uint64_t& announcedVersion)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    if (inForce.version == 0)
        return;
    // The configuration may have come into force by an entry of an earlier leader.
    if (std::exchange (announcedVersion, inForce.version) != inForce.version)
        pacing.request();
    if (! pacing.takeDue (m_now, kConfigurationInterval))
        return;
    // Routers by the kept version that they hold; 0: routers that need the whole text.
    std::map<std::uint64_t, std::vector<RouterConnection>> behind;
    for (auto& [connection, session] : sessions.sessions())
    {
        if (! sessions.needsConfiguration (session, inForce, m_now))
            continue;
        const bool isDelta = ! std::exchange (session.needsWholeConfiguration, false)
                             && m_configurationChange.isKept (session.configurationVersion,
                                                              session.configurationDigest);
        behind[isDelta ? session.configurationVersion : 0].push_back (connection);
        session.sentVersion = inForce.version;
        session.configurationSentAt = m_now;
    }
    for (auto& [version, connections] : behind)
    {
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections),
                                                    m_configurationChange.updateFrom (version) });
    }
}

void ControllerCore::Implementation::trackRollout()
{
    ConfigurationRollout& rollout = m_leader->rollout;
    if (! rollout.isOpen() && m_leader->pendingConfigurations.empty())
        return;
    const RouterSessions& sessions = m_leader->sessions;
    const std::uint64_t confirmed = sessions.confirmedVersion (
        m_state.configuration().identity().version, m_leader->since, m_now);
    if (auto confirmation = rollout.onConfirmed (confirmed, m_now))
    {
        confirmation->routers = sessions.sessions().size();
        m_effects.emplace_back (*confirmation);
    }
    answerPendingConfigurations (confirmed);
    if (auto late = rollout.takeLate (m_now))
    {
        sessions.describeLateRouters (*late);
        m_effects.emplace_back (std::move (*late));
    }
}

void ControllerCore::Implementation::answerPendingConfigurations (std::uint64_t confirmedVersion)
{
    std::erase_if (m_leader->pendingConfigurations,
                   [&] (PendingConfiguration& wait)
                   {
                       if (wait.version > confirmedVersion)
                           return false;
                       answerConfiguration (wait.purpose, std::move (wait.answer));
                       return true;
                   });
}

}  // namespace fernlift::controller
