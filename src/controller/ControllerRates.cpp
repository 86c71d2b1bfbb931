/**
 * Enforcement of the rates that runners state over all routers: the leader collects the stated
 * rates, sends every router the rate-limited runners and grants permits for requests to them.
 * Controllers that do not lead forward these messages. See docs/design/runner-rates.md.
 */

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Minimum interval between rate tables, which are sent whole to every router.
constexpr base::Duration kTableInterval = base::milliseconds (20);
/// Additional interval for each row that was sent to each receiver.
constexpr base::Duration kTableIntervalForRow = std::chrono::microseconds (1);

bool readsRates (const RouterSession& session)
{
    return (session.features & cell::kReadsInstanceRates) != 0;
}

}  // namespace

cell::InstanceRateUpdate ControllerCore::Implementation::rateTable() const
{
    if (m_leader)
        return { m_leader->term, m_leader->rates.version(), true, m_leader->rates.limited (m_now) };
    return m_relay->rates.table (m_now);
}

std::uint64_t ControllerCore::Implementation::rateTableVersion() const
{
    return m_leader ? m_leader->rates.version() : m_relay->rates.version();
}

void ControllerCore::Implementation::sendInitialRates (RouterConnection connection,
                                                       RouterSession& session,
                                                       const cell::RouterHello& hello)
{
    session.features = hello.features;
    if (readsRates (session))
        sendToRouter (connection, rateTable());
}

void ControllerCore::Implementation::sendRatesTo (const RouterSessions& sessions,
                                                  RateUpdateState& updateState)
{
    // Called after each input: while the table is unchanged it must not iterate over the routers,
    // which all got the table when they connected or later.
    const std::uint64_t version = rateTableVersion();
    if (updateState.sentVersion == version || m_now < updateState.nextUpdateAt)
        return;
    updateState.sentVersion = version;
    std::vector<RouterConnection> readers = sessions.sessionsWith (cell::kReadsInstanceRates);
    if (readers.empty())
        return;
    cell::InstanceRateUpdate table = rateTable();
    const auto rows = static_cast<std::int64_t> (readers.size() * table.limited.size());
    updateState.nextUpdateAt = m_now + kTableInterval + rows * kTableIntervalForRow;
    m_effects.emplace_back (BroadcastToRouters{ std::move (readers), std::move (table) });
}

void ControllerCore::Implementation::onRateReport (const cell::InstanceRateReport& report)
{
    for (const cell::InstanceRateStatement& statement : report.statements)
    {
        if (const cell::ServiceInstance* known = m_state.instances().find (statement.instance))
            m_leader->rates.onStatement (statement, known->startedAt, m_now);
    }
    sendRatesTo (m_leader->sessions, m_leader->rateUpdateState);
}

void ControllerCore::Implementation::grantPermits (RouterConnection connection,
                                                   const cell::InstancePermitRequest& request)
{
    // Another member may be the leader by now and grant from its own buckets.
    if (! holdsLease())
        return;
    sendToRouter (connection,
                  cell::InstancePermitGrant{ m_leader->rates.answer (request.claims, m_now) });
}

void ControllerCore::Implementation::shareRates()
{
    if (const auto share = m_leader->sessions.shareWith (cell::kReadsInstanceRates))
        m_leader->rates.setShare (*share, m_now);
}

void ControllerCore::Implementation::updatePlacementRates()
{
    if (std::exchange (m_leader->placedRates, m_leader->rates.version())
        == m_leader->rates.version())
        return;
    std::set<std::string> engines;
    for (const cell::InstanceRate& rate : m_leader->rates.limited (m_now))
        engines.insert (rate.instance);
    m_leader->engines.setRateLimited (std::move (engines));
    m_leader->enginePlacement.request();
}

void ControllerCore::Implementation::removeRatesOfGoneInstances()
{
    m_leader->rates.keepOnly (
        [this] (const cell::InstanceRate& rate)
        {
            const cell::ServiceInstance* known = m_state.instances().find (rate.instance);
            return known != nullptr && known->startedAt == rate.startedAt;
        });
}

bool ControllerCore::Implementation::relayRateMessage (RouterConnection connection,
                                                       const cell::RouterToController& message)
{
    const auto* report = std::get_if<cell::InstanceRateReport> (&message);
    const auto* permits = std::get_if<cell::InstancePermitRequest> (&message);
    if (report == nullptr && permits == nullptr)
        return false;
    // Without a leader that handles rates, a router gets no permits and sends nothing to limited
    // runners.
    if (! m_relay->session.isConnected() || ! m_relay->rates.isLeaderGranting())
        return true;
    if (report != nullptr)
        m_effects.emplace_back (SendToLeader{ *report });
    else
        m_effects.emplace_back (
            SendToLeader{ m_relay->rates.onRequest (connection, *permits, m_now) });
    return true;
}

void ControllerCore::Implementation::applyLeaderRates (const cell::ControllerToRouter& message)
{
    if (const auto* update = std::get_if<cell::InstanceRateUpdate> (&message))
        m_relay->rates.onUpdate (*update, m_now);
    else if (const auto* grant = std::get_if<cell::InstancePermitGrant> (&message))
        forwardPermits (*grant);
    else if (! std::holds_alternative<cell::NotLeaderReply> (message))
        m_relay->rates.onOtherMessage();
}

void ControllerCore::Implementation::forwardPermits (const cell::InstancePermitGrant& grant)
{
    if (auto answer = m_relay->rates.onGrant (grant))
        sendToRouter (answer->router, std::move (answer->grant));
}

}  // namespace fernlift::controller
