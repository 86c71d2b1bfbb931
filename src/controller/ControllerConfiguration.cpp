/**
 * The way of an operator's configuration at the leader: from the call over the commit and the
 * routers to the answer. A change is answered once no router serves under an earlier one; see
 * docs/design/configuration.md.
 */

#include <utility>

#include "base/Digest.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Routers that need a configuration at nearly the same time get one message, encoded once.
constexpr base::Duration kConfigurationInterval = base::milliseconds (10);

}  // namespace

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const ReplaceConfiguration& request)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    std::string digest = base::sha256Hex (request.text);
    if (digest == inForce.digest)
    {
        // Sent again: it is committed, and may not be in force everywhere yet.
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

void ControllerCore::Implementation::noteConfiguration (const cell::ConfigurationResult& result)
{
    keepConfiguration();
    if (! m_leader || result.outcome != cell::ConfigurationOutcome::kAccepted)
        return;
    m_leader->rollout.onCommitted (result.inForce.version, m_now);
    m_effects.emplace_back (ConfigurationCommitted{ result.inForce.version, m_leader->term,
                                                    m_leader->sessions.sessions().size() });
}

void ControllerCore::Implementation::keepConfiguration()
{
    const cell::ConfigurationState& configuration = m_state.configuration();
    if (configuration.identity().version != 0)
        m_configurationChange.note (configuration.identity(), configuration.text());
}

void ControllerCore::Implementation::finish (const ForConfiguration& purpose,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& outcome = std::get<cell::ConfigurationResult> (result);
    if (outcome.outcome == cell::ConfigurationOutcome::kInvalid)
    {
        answerConfiguration (
            purpose, { ControlVerdict::kInvalid, "", "the version or the text does not hold" });
        return;
    }
    // The highest version prevails: a lower or equal one is acknowledged and changes nothing.
    // Either way the answer says that nothing earlier than what is in force now is served from any
    // more.
    awaitRollout (purpose);
}

void ControllerCore::Implementation::awaitRollout (const ForConfiguration& purpose)
{
    m_leader->configurationWaits.push_back ({ purpose,
                                              m_state.configuration().identity().version,
                                              { ControlVerdict::kDone, ownAdminAddress(), "" } });
}

void ControllerCore::Implementation::answerConfiguration (const ForConfiguration& purpose,
                                                          ControlAnswer answer)
{
    m_effects.emplace_back (ConfigurationAnswered{ purpose.version, nameOf (answer.verdict),
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
                                                          PacedWork& pacing,
                                                          std::uint64_t& announcedVersion)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    if (inForce.version == 0)
        return;
    // It may have come into force by an entry of an earlier leader.
    if (std::exchange (announcedVersion, inForce.version) != inForce.version)
        pacing.request();
    if (! pacing.takeDue (m_now, kConfigurationInterval))
        return;
    std::map<std::uint64_t, std::vector<RouterConnection>> behind;  // By what they hold; 0: other.
    for (auto& [connection, session] : sessions.sessions())
    {
        if (! sessions.needsConfiguration (session, inForce, m_now))
            continue;
        const bool isChange = ! std::exchange (session.needsWholeConfiguration, false)
                              && m_configurationChange.isKept (session.configurationVersion,
                                                               session.configurationDigest);
        behind[isChange ? session.configurationVersion : 0].push_back (connection);
        session.sentVersion = inForce.version;
        session.configurationSentAt = m_now;
    }
    for (auto& [version, connections] : behind)
    {
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections),
                                                    m_configurationChange.updateFrom (version) });
    }
}

void ControllerCore::Implementation::followRollout()
{
    ConfigurationRollout& rollout = m_leader->rollout;
    if (! rollout.isOpen() && m_leader->configurationWaits.empty())
        return;
    const RouterSessions& sessions = m_leader->sessions;
    const std::uint64_t confirmed = sessions.confirmedVersion (
        m_state.configuration().identity().version, m_leader->since, m_now);
    if (auto news = rollout.onConfirmed (confirmed, m_now))
    {
        news->routers = sessions.sessions().size();
        m_effects.emplace_back (*news);
    }
    answerConfigurationWaits (confirmed);
    if (auto late = rollout.takeLate (m_now))
    {
        sessions.describeBehind (*late);
        m_effects.emplace_back (std::move (*late));
    }
}

void ControllerCore::Implementation::answerConfigurationWaits (std::uint64_t confirmedVersion)
{
    std::erase_if (m_leader->configurationWaits,
                   [&] (ConfigurationWait& wait)
                   {
                       if (wait.version > confirmedVersion)
                           return false;
                       answerConfiguration (wait.purpose, std::move (wait.answer));
                       return true;
                   });
}

}  // namespace fernlift::controller
