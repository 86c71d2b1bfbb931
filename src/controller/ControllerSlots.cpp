/**
 * Slots of runners in brittle services: the leader collects what runners state, sends every router
 * the brittle services and assigns slots to single requests. Controllers that do not lead forward
 * these messages. See docs/design/brittle-runners.md.
 */

#include <map>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
cell::BrittleServices ControllerCore::Implementation::brittleServices() const
{
    if (! m_leader)
        return m_relay->slots.services();
    const BrittlenessTable& table = m_leader->brittleness;
    return { m_leader->term, table.version(), true, table.services() };
}

void ControllerCore::Implementation::announceSlots (RouterConnection connection,
                                                    const cell::RouterHello& hello)
{
    if ((hello.features & cell::kReadsSlotGrants) != 0)
        sendToRouter (connection, brittleServices());
}

void ControllerCore::Implementation::sendBrittleServicesTo (const RouterSessions& sessions,
                                                            BrittleUpdateState& updateState)
{
    const std::uint64_t version =
        m_leader ? m_leader->brittleness.version() : m_relay->slots.version();
    if (std::exchange (updateState.sentVersion, version) == version)
        return;
    std::vector<RouterConnection> readers = sessions.sessionsWith (cell::kReadsSlotGrants);
    if (! readers.empty())
        m_effects.emplace_back (BroadcastToRouters{ std::move (readers), brittleServices() });
}

void ControllerCore::Implementation::beginSlots (const cell::BrittleServices& services,
                                                 const std::vector<cell::SlotReport>& reports)
{
    m_leader->brittleness.begin (services.services, m_now);
    m_leader->slots.emplace (m_leader->term, m_now,
                             [this] (const std::string& instance)
                             { return m_state.instances().find (instance); });
    for (const cell::SlotReport& report : reports)
        m_leader->slots->onReport (report, m_now);
}

void ControllerCore::Implementation::onSlotReports (RouterConnection connection,
                                                    const cell::SlotReports& reports)
{
    // Another member may be the leader by now and assign the same slots.
    if (! holdsLease())
        return;
    for (const cell::BrittleStatement& statement : reports.statements)
        onBrittleStatement (statement);
    sendBrittleServicesTo (m_leader->sessions, m_leader->brittleUpdateState);
    for (const cell::SlotReport& report : reports.reports)
    {
        m_leader->slotHolders[report.holder] = connection;
        m_leader->slots->onReport (report, m_now);
    }
    sendSlotGrants();
}

void ControllerCore::Implementation::onBrittleStatement (const cell::BrittleStatement& statement)
{
    const cell::ServiceInstance* const known = m_state.instances().find (statement.instance);
    // The statement of an earlier incarnation does not apply to this one.
    if (known == nullptr || known->startedAt != statement.startedAt)
        return;
    m_leader->brittleness.onStatement (known->service, statement, m_now);
    if (statement.isDecline && m_leader->brittleness.isBrittle (known->service))
        m_leader->slots->onDecline (statement.instance, statement.startedAt, m_now);
}

void ControllerCore::Implementation::pollSlots()
{
    sendBrittleServicesTo (m_leader->sessions, m_leader->brittleUpdateState);
    if (! holdsLease())
        return;
    m_leader->slots->poll (m_now);
    sendSlotGrants();
}

void ControllerCore::Implementation::sendSlotGrants()
{
    std::map<RouterConnection, cell::SlotGrants> byConnection;
    for (cell::SlotGrant& grant : m_leader->slots->takeGrants())
    {
        const auto connection = m_leader->slotHolders.find (grant.holder);
        if (connection == m_leader->slotHolders.end())
            continue;
        cell::SlotGrants& grants = byConnection[connection->second];
        grants.term = m_leader->term;
        grants.grants.push_back (std::move (grant));
    }
    for (auto& [connection, grants] : byConnection)
        sendToRouter (connection, std::move (grants));
}

void ControllerCore::Implementation::shareSlots()
{
    if (const auto share = m_leader->sessions.shareWith (cell::kReadsSlotGrants))
        m_leader->slots->setShare (*share);
}

bool ControllerCore::Implementation::relaySlotReports (RouterConnection connection,
                                                       const cell::RouterToController& message)
{
    const auto* reports = std::get_if<cell::SlotReports> (&message);
    if (reports == nullptr)
        return false;
    m_relay->slots.onReports (connection, *reports, m_now);
    sendSlotReportsToLeader();
    return true;
}

void ControllerCore::Implementation::sendSlotReportsToLeader()
{
    if (! m_relay->session.isConnected())
        return;
    if (auto reports = m_relay->slots.takeReports (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*reports) });
}

void ControllerCore::Implementation::applyLeaderSlots (const cell::ControllerToRouter& message)
{
    if (const auto* services = std::get_if<cell::BrittleServices> (&message))
    {
        m_relay->slots.onServices (*services, m_now);
    }
    else if (const auto* grants = std::get_if<cell::SlotGrants> (&message))
    {
        for (SlotRelay::Answer& answer : m_relay->slots.onGrants (*grants, m_now))
            sendToRouter (answer.router, std::move (answer.grants));
    }
    else if (! std::holds_alternative<cell::NotLeaderReply> (message)
             && ! std::holds_alternative<cell::InstanceRateUpdate> (message))
    {
        m_relay->slots.onOtherMessage();
    }
}

}  // namespace fernlift::controller
