#include "proxy/RunnerRates.h"

#include <algorithm>
#include <utility>

#include "base/Overloaded.h"
#include "log/Log.h"

namespace fernlift::proxy
{
namespace
{

using quota::QuotaAnswer;

/// A grant takes some 5 ms through two controllers. A request that waits longer is sent to another
/// runner if possible.
constexpr base::Duration kGrantTimeout = base::milliseconds (100);
/// Delay before the next permit request after a permit could not be requested or was not answered.
constexpr base::Duration kRetryDelay = base::milliseconds (100);
/// Wait after a refusal that states no time.
constexpr base::Duration kMinWait = base::milliseconds (5);
/// The leader needs regular reports that a runner still states a rate, to distinguish newer answers
/// from reordered ones, but not one report per answer.
constexpr base::Duration kReportInterval = base::milliseconds (500);
/// A limit that the leader has not added to its table within this time is dropped, because the
/// runner has left the table of instances.
constexpr base::Duration kUnregisteredLifetime = base::seconds (5);
/// Part of its share of a rate that a router uses without permits, because a changed number of
/// routers becomes known late. With 7 routers and 1 request per second, each router sends one
/// request in 10.5 s, so any 4 s contain at most one of each.
constexpr double kOwnShareFactor = 2.0 / 3;

}  // namespace

void RunnerRates::onAnswer (const RateObservation& observation, const StatedRate& stated,
                            base::TimePoint now)
{
    std::visit (base::Overloaded{ [&] (const LimitedRate& rate)
                                  { setLimit (observation, rate.perSecond, now); },
                                  [&] (const UnlimitedRate&) { recordUnlimited (observation); },
                                  [&] (const UnreadableRate& rate)
                                  {
                                      log::write (log::Event::kRunnerRateUnreadable,
                                                  { { "runner", observation.instance },
                                                    { "text", rate.text } });
                                  } },
                stated);
}

void RunnerRates::setLimit (const RateObservation& observation, double perSecond,
                            base::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace (observation.instance);
    Limit& limit = found->second;
    const bool isOtherIncarnation = limit.startedAt != observation.startedAt;
    const bool isChange = isNew || isOtherIncarnation || limit.perSecond != perSecond;
    if (isNew || isOtherIncarnation)
    {
        limit = {};
        limit.startedAt = observation.startedAt;
        limit.perSecond = perSecond;
        limit.missingSince = now;
        // Spreads the requests of routers that receive a rate at the same time.
        limit.nextOwnShareAt = now
                               + std::chrono::duration_cast<base::Duration> (
                                   ownInterval (limit) * m_random.uniformReal());
    }
    limit.perSecond = perSecond;
    limit.statedAt = now;
    if (isChange)
        log::write (log::Event::kRunnerRateStated,
                    { { "runner", observation.instance }, { "per_second", perSecond } });
    if (isChange || now - limit.reportedAt >= kReportInterval)
        reportLimit (observation.instance, limit, now);
}

void RunnerRates::reportLimit (const std::string& instance, Limit& limit, base::TimePoint now)
{
    if (m_permitSource != PermitSource::kLeader)
        return;
    limit.reportedAt = now;
    m_unreported.push_back (
        { { instance, limit.startedAt, true, limit.perSecond, 0 }, limit.statedAt });
    m_onSendNeeded();
}

void RunnerRates::recordUnlimited (const RateObservation& observation)
{
    const auto found = m_limits.find (observation.instance);
    if (found == m_limits.end() || ! observation.isSuccess)
        return;
    // Answers may be reordered: an answer to a request sent before the rate was received may have
    // been written before the runner stated the rate.
    const Limit& limit = found->second;
    const bool isNewer = observation.sentAt > limit.statedAt;
    if (! isNewer || limit.startedAt != observation.startedAt)
        return;
    if (m_permitSource == PermitSource::kLeader)
    {
        m_unreported.push_back (
            { { observation.instance, observation.startedAt, false, 0, 0 }, observation.sentAt });
        m_onSendNeeded();
    }
    if (limit.isInTable)
        return;
    log::write (log::Event::kRunnerRateEnded, { { "runner", observation.instance } });
    m_limits.erase (found);
}

const RunnerRates::Limit* RunnerRates::find (const std::string& instance,
                                             base::UnixMilliseconds startedAt) const
{
    const auto found = m_limits.find (instance);
    const bool isLimited = found != m_limits.end() && found->second.startedAt == startedAt;
    return isLimited ? &found->second : nullptr;
}

bool RunnerRates::isLimited (const std::string& instance, base::UnixMilliseconds startedAt) const
{
    return find (instance, startedAt) != nullptr;
}

double RunnerRates::rateOf (const std::string& instance, base::UnixMilliseconds startedAt) const
{
    const Limit* const limit = find (instance, startedAt);
    return limit == nullptr ? 0 : std::max (limit->perSecond, cell::kMinRatePerSecond);
}

base::Duration RunnerRates::waitFor (const std::string& instance, base::UnixMilliseconds startedAt,
                                     base::TimePoint now) const
{
    const Limit* const limit = find (instance, startedAt);
    if (limit == nullptr)
        return base::Duration::zero();
    base::TimePoint until;
    switch (m_permitSource)
    {
        case PermitSource::kLeader:
            until = limit->nextRequestAt;
            break;
        case PermitSource::kNone:
            until = limit->nextOwnShareAt;
            break;
        case PermitSource::kUnknown:
            until = now + kRetryDelay;
            break;
    }
    return std::max (until - now, base::Duration::zero());
}

QuotaAnswer RunnerRates::take (quota::QuotaClaim& claim, base::TimePoint now)
{
    const auto found = m_limits.find (claim.account);
    if (found == m_limits.end())
    {
        giveUp (claim);
        return QuotaAnswer::kGranted;  // The limit has ended in the meantime.
    }
    Limit& limit = found->second;
    if (m_permitSource != PermitSource::kLeader)
    {
        giveUp (claim);
        return count (m_permitSource == PermitSource::kNone ? takeOwnShare (limit, now)
                                                            : QuotaAnswer::kRefused);
    }
    claim.units = 1;
    const bool isNew = claim.sequence == 0;
    const QuotaAnswer answer = m_permits.take (claim, now);
    if (isNew && answer == QuotaAnswer::kPending)
        m_onSendNeeded();
    if (answer == QuotaAnswer::kRefused)
        limit.nextRequestAt = std::max (limit.nextRequestAt, now + kMinWait);
    if (answer != QuotaAnswer::kPending)
        return count (answer);
    if (now - claim.requestedAt < kGrantTimeout)
        return answer;
    giveUp (claim);
    limit.nextRequestAt = now + kRetryDelay;
    ++m_counters.unanswered;
    return QuotaAnswer::kRefused;
}

QuotaAnswer RunnerRates::takeOwnShare (Limit& limit, base::TimePoint now)
{
    if (now < limit.nextOwnShareAt)
        return QuotaAnswer::kRefused;
    limit.nextOwnShareAt = now + ownInterval (limit);
    return QuotaAnswer::kGranted;
}

base::Duration RunnerRates::ownInterval (const Limit& limit) const
{
    const double seconds =
        m_routers / (kOwnShareFactor * std::max (limit.perSecond, cell::kMinRatePerSecond));
    return std::chrono::duration_cast<base::Duration> (std::chrono::duration<double> (seconds));
}

QuotaAnswer RunnerRates::count (QuotaAnswer answer)
{
    ++(answer == QuotaAnswer::kGranted ? m_counters.granted : m_counters.refused);
    return answer;
}

void RunnerRates::onLinkLost()
{
    m_permitSource = PermitSource::kUnknown;
    m_unreported.clear();
    markAllUnreported();
    m_permits.onLinkLost();
}

void RunnerRates::onOtherMessage()
{
    if (m_permitSource == PermitSource::kUnknown)
        m_permitSource = PermitSource::kNone;
}

void RunnerRates::apply (const cell::InstanceRateUpdate& update, base::TimePoint now)
{
    m_permitSource = update.isGranting ? PermitSource::kLeader : PermitSource::kNone;
    if (update.isGranting)
    {
        applyTable (update, now);
        m_onSendNeeded();
        return;
    }
    // Without a leader's table, the answers of the runners end a limit.
    for (auto& [instance, limit] : m_limits)
        limit.isInTable = false;
    markAllUnreported();
}

void RunnerRates::applyTable (const cell::InstanceRateUpdate& update, base::TimePoint now)
{
    const bool isNewTerm = update.term > m_term;
    // After a change of controller the new one may be behind the previous one.
    const bool isOlder = update.term < m_term || (! isNewTerm && update.version < m_version);
    if (update.term == 0 || isOlder)
        return;
    m_term = update.term;
    m_version = update.version;
    std::map<std::string, Limit> earlier = std::exchange (m_limits, {});
    for (const cell::InstanceRate& rate : update.limited)
    {
        const auto found = earlier.find (rate.instance);
        Limit limit;
        if (found != earlier.end() && found->second.startedAt == rate.startedAt)
            limit = found->second;
        else
            limit.nextOwnShareAt = now;
        limit.perSecond = rate.perSecond;
        limit.startedAt = rate.startedAt;
        limit.isInTable = true;
        limit.statedAt = std::max (limit.statedAt, now - base::milliseconds (rate.ageMilliseconds));
        m_limits[rate.instance] = limit;
    }
    for (auto& [instance, limit] : earlier)
    {
        // The leader of the same term has removed a limit that its earlier table contained; a new
        // leader may not have received the limit yet.
        if (m_limits.contains (instance) || (limit.isInTable && ! isNewTerm))
            continue;
        if (std::exchange (limit.isInTable, false))
        {
            limit.missingSince = now;
            limit.reportedAt = {};
        }
        m_limits.emplace (instance, limit);
    }
}

void RunnerRates::onGrant (const cell::InstancePermitGrant& grant, base::TimePoint now)
{
    m_permits.onGrant (grant.grant);
    for (const cell::QuotaAllowance& allowance : grant.grant.allowances)
    {
        const auto found = m_limits.find (allowance.account);
        if (found != m_limits.end() && allowance.waitMilliseconds > 0)
            found->second.nextRequestAt = now + base::milliseconds (allowance.waitMilliseconds);
    }
}

void RunnerRates::expire (base::TimePoint now)
{
    if (m_permitSource != PermitSource::kLeader)
        return;
    std::erase_if (m_limits,
                   [&] (const auto& item)
                   {
                       const Limit& limit = item.second;
                       return ! limit.isInTable && now - limit.missingSince > kUnregisteredLifetime;
                   });
}

void RunnerRates::reportUnregistered (base::TimePoint now)
{
    for (auto& [instance, limit] : m_limits)
    {
        if (! limit.isInTable && now - limit.reportedAt >= kReportInterval)
            reportLimit (instance, limit, now);
    }
}

void RunnerRates::markAllUnreported()
{
    for (auto& [instance, limit] : m_limits)
        limit.reportedAt = {};
}

std::optional<cell::InstanceRateReport> RunnerRates::takeReport (base::TimePoint now)
{
    expire (now);
    reportUnregistered (now);
    if (m_unreported.empty())
        return std::nullopt;
    cell::InstanceRateReport report;
    for (Statement& statement : std::exchange (m_unreported, {}))
    {
        statement.content.ageMilliseconds = base::toMilliseconds (now - statement.madeAt);
        report.statements.push_back (std::move (statement.content));
    }
    return report;
}

std::optional<cell::InstancePermitRequest> RunnerRates::takeRequest (base::TimePoint now)
{
    if (m_permitSource != PermitSource::kLeader)
        return std::nullopt;
    if (auto claims = m_permits.takeRequest (now))
        return cell::InstancePermitRequest{ std::move (*claims) };
    return std::nullopt;
}

}  // namespace fernlift::proxy
