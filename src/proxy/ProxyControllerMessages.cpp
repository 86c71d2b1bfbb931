// What a router receives from its controller: leases, the configuration, the table of runners,
// grants and what other routers have reported.

#include <utility>

#include "log/Log.h"
#include "proxy/ControllerPreference.h"
#include "proxy/ProxyProcess.h"

namespace fernlift::proxy
{

void ProxyProcess::onControllerMessage (const cell::ControllerToRouter& message)
{
    m_session.onMessageReceived (m_clock.now());
    m_freshness.onContact();
    applyRates (message);
    applySlots (message);
    if (const auto* other = std::get_if<cell::NotLeaderReply> (&message))
    {
        m_session.onNotLeader (*other, m_clock.now(), m_random);
    }
    else if (const auto* grant = std::get_if<cell::LeaseGrant> (&message))
    {
        m_session.onGrant (*grant);
        if (m_directory.onLease (m_clock.now()))
            m_streamFetcher.begin();
        setControllerAnswering (true);
        if (grant->routers)
        {
            m_directory.setRouters (*grant->routers);
            applyRouterCount();
        }
        confirmConfiguration();
        confirmRoutes (*grant);
    }
    else if (const auto* configuration = std::get_if<cell::ConfigurationUpdate> (&message))
    {
        applyConfiguration (*configuration);
    }
    else if (const auto* quota = std::get_if<cell::QuotaGrant> (&message))
    {
        m_quotas.onGrant (*quota, m_clock.now());
        m_server.onDirectoryChanged();
    }
    else if (const auto* reserve = std::get_if<cell::RetryReserveGrants> (&message))
    {
        applyRetryReserve (*reserve);
    }
    else if (std::holds_alternative<cell::StreamRecords> (message))
    {
        m_context.streamRecorder.onSupported();
    }
    else if (const auto* streams = std::get_if<cell::StreamLookupReply> (&message))
    {
        m_context.streamRecorder.onReply (*streams, m_context.streams, m_clock.now());
        m_server.onDirectoryChanged();
    }
    else if (const auto* peers = std::get_if<cell::RouterPeers> (&message))
    {
        m_context.peers.apply (*peers, m_clock.now());
    }
    else if (const auto* suspects = std::get_if<cell::SuspectUpdate> (&message))
    {
        m_suspects.apply (*suspects, m_clock.now());
        m_server.onSuspectsChanged();
    }
    else if (const auto* suspectReport = std::get_if<cell::SuspectReport> (&message))
    {
        m_suspects.onForwardedReport (*suspectReport, m_clock.now());
        m_server.onSuspectsChanged();
    }
    else if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
    {
        applyInstances (*instances);
    }
    else if (const auto* loads = std::get_if<cell::InstanceLoadUpdate> (&message))
    {
        m_directory.applyLoads (*loads, m_clock.now());
    }
}

void ProxyProcess::applyRates (const cell::ControllerToRouter& message)
{
    const auto* update = std::get_if<cell::InstanceRateUpdate> (&message);
    const auto* grant = std::get_if<cell::InstancePermitGrant> (&message);
    if (update != nullptr)
        m_rates.apply (*update, m_clock.now());
    else if (grant != nullptr)
        m_rates.onGrant (*grant, m_clock.now());
    else if (! std::holds_alternative<cell::NotLeaderReply> (message))
        m_rates.onOtherMessage();
    if (update != nullptr || grant != nullptr)
        m_server.onDirectoryChanged();
}

void ProxyProcess::applySlots (const cell::ControllerToRouter& message)
{
    const auto* services = std::get_if<cell::BrittleServices> (&message);
    const auto* grants = std::get_if<cell::SlotGrants> (&message);
    const bool mayPrecede = std::holds_alternative<cell::NotLeaderReply> (message)
                            || std::holds_alternative<cell::InstanceRateUpdate> (message);
    if (services != nullptr)
        m_context.slots.apply (*services);
    else if (grants != nullptr)
        m_context.slots.onGrants (*grants, m_clock.now());
    else if (! mayPrecede)
        m_context.slots.onOtherMessage();
    if (services != nullptr || grants != nullptr)
        m_server.onDirectoryChanged();
}

void ProxyProcess::confirmRoutes (const cell::LeaseGrant& grant)
{
    const bool isCurrent = m_held.version >= grant.configurationVersion;
    if (m_context.areRoutesConfirmed || ! isCurrent)
        return;
    m_context.areRoutesConfirmed = true;
    m_server.onDirectoryChanged();
}

void ProxyProcess::applyConfiguration (const cell::ConfigurationUpdate& update)
{
    if (update.version <= m_held.version)
        return;
    const base::TimePoint receivedAt = m_clock.now();
    std::optional<std::string> text = cell::wholeText (update, m_held);
    if (! text)
    {
        log::write (log::Event::kConfigurationGap, { { "version", update.version },
                                                     { "base", update.baseVersion },
                                                     { "held", m_held.version } });
        m_needsWholeConfiguration = true;
        m_session.requestSoon (m_clock.now());
        pollController();
        return;
    }
    config::CatalogueOutcome outcome = m_parser (*text);
    if (! outcome.catalogue)
    {
        const std::string problem =
            outcome.problems.empty() ? "" : outcome.problems.front().message;
        log::write (
            log::Event::kConfigurationUnreadable,
            { { "version", update.version }, { "held", m_held.version }, { "problem", problem } });
        return;
    }
    m_held = { update.version, update.digest, std::move (*text) };
    m_server.setLimits (outcome.catalogue->services.limits);
    m_context.routes = std::make_shared<const RouteTable> (m_held.version,
                                                           std::move (outcome.catalogue->services));
    log::write (log::Event::kConfigurationTaken,
                { { "version", m_held.version },
                  { "digest", m_held.digest },
                  { "base", update.baseVersion },
                  { "pieces", update.pieces.size() },
                  { "whole_bytes", update.text.size() },
                  { "read_ms", base::toMilliseconds (m_clock.now() - receivedAt) } });
    m_freshness.onApplied (m_clock.now());
    confirmConfiguration();
    m_server.onDirectoryChanged();
    // The leader waits for the statement that the configuration is in force here.
    m_session.requestSoon (m_clock.now());
    pollController();
}

void ProxyProcess::confirmConfiguration()
{
    if (m_held.version != 0)
        m_freshness.onLease (m_session.leaseEnd (m_held.version));
}

void ProxyProcess::applyInstances (const cell::InstanceUpdate& update)
{
    const std::size_t sizeBefore = m_directory.size();
    if (! m_directory.apply (update, m_clock.now()))
    {
        // The update does not follow the held version; a new connection receives the whole table.
        m_link.close();
        m_session.onLost (m_clock.now(), m_random);
        return;
    }
    log::write (log::Event::kInstancesTaken,
                { { "term", update.term },
                  { "from", update.fromVersion },
                  { "to", update.toVersion },
                  { "changed", update.upserts.size() },
                  { "removed", update.removals.size() },
                  { "history_ms", update.softwareHistory.knownMilliseconds },
                  { "departed_versions", update.softwareHistory.departed.size() },
                  { "runners", m_directory.size() } });
    std::vector<base::SocketAddress> preferred =
        preferredControllers (update.controllers, m_settings.id, m_settings.zone);
    m_preferredController.reset();
    if (! preferred.empty())
        m_preferredController = preferred.front();
    m_link.setControllers (std::move (preferred));
    applyRouterCount();
    // The last known state of a controller that does not lead does not include the number of
    // routers.
    if (update.term == cell::kTermOfLastKnownState)
        m_quotas.setRouters (0);
    const bool hasOtherRunners =
        update.fromVersion == 0 || ! update.removals.empty() || m_directory.size() != sizeBefore;
    if (hasOtherRunners)
        m_context.reachability.setRunners (m_directory.instances());
    for (const std::string& id : m_directory.takeReplaced())
        m_suspects.onReplaced (id, m_clock.now());
    m_server.onDirectoryChanged();
    if (! update.mustConfirm)
        return;
    m_session.requestSoon (m_clock.now());
    pollController();
}

void ProxyProcess::applyRouterCount()
{
    const std::uint32_t routers = m_directory.routers();
    m_rates.setRouters (routers);
    m_context.reachability.setRouters (routers);
    m_quotas.setRouters (routers);
}

void ProxyProcess::requestRetryReserve()
{
    logRetryReserve();
    if (! m_session.isConnected())
        return;
    if (auto request = m_retryReserve.takeRequest (m_retryBudgets.denied(), m_clock.now()))
        m_link.send (std::move (*request));
}

void ProxyProcess::applyRetryReserve (const cell::RetryReserveGrants& grants)
{
    if (m_retryReserve.onGrants (grants))
        m_retryBudgets.grantReserve (m_retryReserve.part(), m_retryReserve.end());
    requestRetryReserve();
}

void ProxyProcess::sendStreams()
{
    StreamRecorder& recorder = m_context.streamRecorder;
    recorder.expire (m_clock.now());
    if (! m_session.isConnected())
        return;
    if (auto records = recorder.takeRecords (m_clock.now()))
        m_link.send (std::move (*records));
    if (auto lookup = recorder.takeLookup())
        m_link.send (std::move (*lookup));
}

void ProxyProcess::logRetryReserve()
{
    const std::optional<double> part = m_retryBudgets.limit();
    if (part == m_loggedReserve)
        return;
    m_loggedReserve = part;
    log::write (log::Event::kRetryReserveChanged, { { "part", part.value_or (0) },
                                                    { "share", part ? m_retryReserve.share() : 0 },
                                                    { "reserve", m_settings.cellRetryReserve } });
}

}  // namespace fernlift::proxy
