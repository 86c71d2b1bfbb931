#include "proxy/RunnerSlots.h"

#include <algorithm>
#include <iterator>

namespace fernlift::proxy
{
namespace
{

/// Interval of the reports of a router that has or wants slots. The leader grants none to a router
/// that it has not heard for longer.
constexpr base::Duration kReportInterval = base::milliseconds (250);
/// The leader needs regular statements of a runner, but not one for each answer.
constexpr base::Duration kStatementInterval = base::milliseconds (250);
/// A service that the leader has not listed within this time is dropped.
constexpr base::Duration kUnlistedLifetime = base::seconds (5);
/// Claims in one report, the most urgent ones first.
constexpr std::size_t kMaxReportedClaims = 16;
/// Time over which the rate of grants is taken.
constexpr base::Duration kGrantWindow = base::seconds (2);
/// Fewer grants give no rate.
constexpr std::ptrdiff_t kMinGrants = 3;

}  // namespace

void RunnerSlots::setChanged()
{
    if (! std::exchange (m_isChanged, true))
        m_onSendNeeded();
}

void RunnerSlots::onAnswer (const BrittleObservation& observation, base::TimePoint now)
{
    const auto known = m_services.find (observation.service);
    if (observation.isBrittle)
    {
        Service& service = m_services[observation.service];
        service.statedAt = now;
        if (known == m_services.end())
            setChanged();
        addStatement (observation, now);
        return;
    }
    if (known == m_services.end() || ! observation.isSuccess)
        return;
    addStatement (observation, now);
    // Answers may be reordered: one to a request that was sent before the statement was received
    // may have been written before the runner made it.
    if (! known->second.isInList && observation.sentAt > known->second.statedAt)
        m_services.erase (known);
}

void RunnerSlots::addStatement (const BrittleObservation& observation, base::TimePoint now)
{
    if (m_source != SlotSource::kLeader)
        return;
    base::TimePoint& sentAt = m_statementSentAt[observation.runner.id];
    if (! observation.isDecline && now - sentAt < kStatementInterval)
        return;
    sentAt = now;
    m_statements.push_back ({ { observation.runner.id, observation.runner.startedAt,
                                observation.isBrittle, observation.isDecline, 0 },
                              observation.isBrittle ? now : observation.sentAt });
    m_onSendNeeded();
}

bool RunnerSlots::isNeeded (const std::string& service) const
{
    return ! m_services.empty() && m_source != SlotSource::kNone && m_services.contains (service);
}

void RunnerSlots::onAttemptBegin (const cell::Incarnation& runner, const std::string& service,
                                  base::TimePoint deadline, std::uint64_t claim)
{
    OpenRequests& open = m_open[{ runner.id, runner.startedAt }];
    open.service = service;
    open.deadline = std::max (open.deadline, deadline);
    ++open.count;
    // The use of a granted slot has been counted since the grant.
    const bool isCounted = m_granted.erase (claim) > 0;
    if (! isCounted && isNeeded (service))
        setChanged();
}

void RunnerSlots::onAttemptEnd (const cell::Incarnation& runner)
{
    const auto found = m_open.find ({ runner.id, runner.startedAt });
    if (found == m_open.end())
        return;
    if (isNeeded (found->second.service))
        setChanged();
    if (--found->second.count == 0)
        m_open.erase (found);
}

std::uint64_t RunnerSlots::addClaim (SlotNeed need)
{
    const std::uint64_t claim = m_nextClaim++;
    m_claims[claim] = std::move (need);
    setChanged();
    return claim;
}

void RunnerSlots::removeClaim (std::uint64_t claim)
{
    const bool wasKnown = m_claims.erase (claim) + m_granted.erase (claim) > 0;
    if (wasKnown)
        setChanged();
}

std::optional<std::string> RunnerSlots::grantOf (std::uint64_t claim, base::TimePoint now) const
{
    const auto found = m_granted.find (claim);
    if (found == m_granted.end() || now >= found->second.validUntil)
        return std::nullopt;
    return found->second.runner.first;
}

base::Duration RunnerSlots::expectedWait (const std::string& queue, base::TimePoint now) const
{
    const auto known = m_grantTimes.find (queue);
    if (known == m_grantTimes.end())
        return {};
    const std::deque<base::TimePoint>& grants = known->second;
    const auto recent = std::ranges::lower_bound (grants, base::TimePoint (now - kGrantWindow));
    const auto count = std::distance (recent, grants.end());
    if (count < kMinGrants)
        return {};
    const auto ahead = std::ranges::count_if (
        m_claims, [&] (const auto& claim) { return claim.second.queue == queue; });
    return kGrantWindow * ahead / count;
}

void RunnerSlots::onLinkLost()
{
    m_source = SlotSource::kUnknown;
    m_statements.clear();
    m_statementSentAt.clear();
    // Grants on their way over the lost connection are not used.
    m_firstSequence = m_sequence + 1;
    m_isChanged = true;
}

void RunnerSlots::onOtherMessage()
{
    if (m_source == SlotSource::kUnknown)
        m_source = SlotSource::kNone;
}

void RunnerSlots::apply (const cell::BrittleServices& services)
{
    m_source = services.isGranting ? SlotSource::kLeader : SlotSource::kNone;
    const bool isNewTerm = services.term > m_term;
    const bool isOlder = services.term < m_term || (! isNewTerm && services.version < m_version);
    if (! services.isGranting || services.term == 0 || isOlder)
        return;
    if (isNewTerm)
        m_grantsSeen = 0;
    m_term = services.term;
    m_version = services.version;
    const std::set<std::string> listed (services.services.begin(), services.services.end());
    std::erase_if (
        m_services, [&] (const auto& item)
        { return item.second.isInList && ! isNewTerm && ! listed.contains (item.first); });
    for (auto& [name, service] : m_services)
        service.isInList = false;
    for (const std::string& name : listed)
        m_services[name].isInList = true;
    setChanged();
}

void RunnerSlots::onGrants (const cell::SlotGrants& grants, base::TimePoint now)
{
    if (grants.term < m_term)
        return;
    if (grants.term > m_term)
    {
        m_term = grants.term;
        m_version = 0;
        m_grantsSeen = 0;
    }
    for (const cell::SlotGrant& grant : grants.grants)
    {
        if (grant.holder != m_holder)
            continue;
        m_grantsSeen = std::max (m_grantsSeen, grant.number);
        const auto sent = m_sentAt.find (grant.sequence);
        const base::TimePoint validUntil =
            sent == m_sentAt.end() ? base::TimePoint() : sent->second + cell::kSlotGrantLifetime;
        const bool isValid = m_claims.contains (grant.claim) && grant.sequence >= m_firstSequence
                             && now < validUntil;
        if (isValid)
        {
            useGrant (grant, validUntil, now);
            continue;
        }
        ++m_counters.unused;
        setChanged();
    }
}

void RunnerSlots::useGrant (const cell::SlotGrant& grant, base::TimePoint validUntil,
                            base::TimePoint now)
{
    const auto claim = m_claims.find (grant.claim);
    const SlotNeed& need = claim->second;
    ++m_counters.granted;
    m_grantTimes[need.queue].push_back (now);
    m_granted[grant.claim] = { { grant.instance, grant.startedAt }, validUntil, need.lasts };
    m_claims.erase (claim);
    // Others could not be reported yet.
    if (m_claims.size() >= kMaxReportedClaims)
        setChanged();
}

void RunnerSlots::removeOldGrantTimes (base::TimePoint now)
{
    for (auto& [queue, times] : m_grantTimes)
    {
        while (! times.empty() && now - times.front() > kGrantWindow)
            times.pop_front();
    }
    std::erase_if (m_grantTimes, [] (const auto& item) { return item.second.empty(); });
}

void RunnerSlots::removeLateGrants (base::TimePoint now)
{
    const auto removed =
        std::erase_if (m_granted, [&] (const auto& item) { return now >= item.second.validUntil; });
    if (removed == 0)
        return;
    m_counters.unused += removed;
    setChanged();
}

void RunnerSlots::removeUnlisted (base::TimePoint now)
{
    if (m_source != SlotSource::kLeader)
        return;
    std::erase_if (m_services,
                   [&] (const auto& item)
                   {
                       const Service& service = item.second;
                       return ! service.isInList && now - service.statedAt > kUnlistedLifetime;
                   });
}

bool RunnerSlots::isReportDue (base::TimePoint now) const
{
    if (m_services.empty() && ! m_hadContent)
        return false;
    if (m_isChanged)
        return true;
    return m_hadContent && now - m_reportedAt >= kReportInterval;
}

std::vector<cell::SlotUse> RunnerSlots::uses (base::TimePoint now) const
{
    std::map<Runner, cell::SlotUse> byRunner;
    const auto add = [&] (const Runner& runner, std::uint32_t slots, base::TimePoint end)
    {
        cell::SlotUse& use = byRunner[runner];
        use.instance = runner.first;
        use.startedAt = runner.second;
        use.slots += slots;
        const std::int64_t left = std::max<std::int64_t> (base::toMilliseconds (end - now), 0);
        use.endsInMilliseconds = std::max (use.endsInMilliseconds, left);
    };
    for (const auto& [runner, open] : m_open)
    {
        if (m_services.contains (open.service))
            add (runner, open.count, open.deadline);
    }
    for (const auto& [claim, granted] : m_granted)
        add (granted.runner, 1, granted.validUntil + granted.lasts);
    std::vector<cell::SlotUse> all;
    all.reserve (byRunner.size());
    for (auto& [runner, use] : byRunner)
        all.push_back (std::move (use));
    return all;
}

std::vector<cell::SlotClaim> RunnerSlots::claims (base::TimePoint now) const
{
    std::vector<cell::SlotClaim> all;
    all.reserve (m_claims.size());
    for (const auto& [id, need] : m_claims)
    {
        all.push_back ({ id, need.priority, base::toMilliseconds (now - need.waitsSince),
                         base::toMilliseconds (need.lasts), need.instances });
    }
    // Earlier claims have lower ids.
    std::ranges::stable_sort (all, {}, &cell::SlotClaim::priority);
    if (all.size() > kMaxReportedClaims)
        all.resize (kMaxReportedClaims);
    return all;
}

std::uint64_t RunnerSlots::firstValidSequence (base::TimePoint now)
{
    std::erase_if (
        m_sentAt, [&] (const auto& item) { return now >= item.second + cell::kSlotGrantLifetime; });
    const std::uint64_t first = m_sentAt.empty() ? m_sequence : m_sentAt.begin()->first;
    return std::max (first, m_firstSequence);
}

std::optional<cell::SlotReports> RunnerSlots::takeReport (base::TimePoint now)
{
    removeLateGrants (now);
    removeUnlisted (now);
    removeOldGrantTimes (now);
    if (m_source != SlotSource::kLeader)
        return std::nullopt;
    cell::SlotReports message;
    for (Statement& statement : std::exchange (m_statements, {}))
    {
        statement.content.ageMilliseconds = base::toMilliseconds (now - statement.madeAt);
        message.statements.push_back (std::move (statement.content));
    }
    if (isReportDue (now))
    {
        cell::SlotReport report;
        report.holder = m_holder;
        report.router = m_router;
        report.sequence = ++m_sequence;
        m_sentAt[m_sequence] = now;
        report.firstSequence = firstValidSequence (now);
        report.term = m_term;
        report.grantsSeen = m_grantsSeen;
        report.uses = uses (now);
        report.claims = claims (now);
        m_hadContent = ! report.uses.empty() || ! report.claims.empty();
        m_isChanged = false;
        m_reportedAt = now;
        message.reports.push_back (std::move (report));
    }
    else if (m_services.empty())
    {
        m_isChanged = false;
    }
    if (message.statements.empty() && message.reports.empty())
        return std::nullopt;
    return message;
}

}  // namespace fernlift::proxy
