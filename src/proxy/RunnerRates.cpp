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

/// A grant takes some 5 ms by way of two controllers. A request that waits longer goes to another
/// runner, if there is one.
constexpr base::Duration kGrantTimeout = base::milliseconds (100);
/// Looked again for a permit so long after none could be asked for, or no answer came.
constexpr base::Duration kRetry = base::milliseconds (100);
/// A refusal that names no time.
constexpr base::Duration kShortestWait = base::milliseconds (5);
/// The leader has to know that a runner still states a rate, to tell later answers from those that
/// were overtaken; it need not know it of each answer.
constexpr base::Duration kReportInterval = base::milliseconds (500);
/// A limit that the leader has not taken over by then is none: the runner has left the table.
constexpr base::Duration kUntoldLife = base::seconds (5);
/// Part of its share of a rate that a router takes without permits: how many routers there are is
/// known late. With 7 routers and 1 request a second each then sends one in 10.5 s, so that 4 s
/// hold one of each at most.
constexpr double kOwnPart = 2.0 / 3;

}  // namespace

void RunnerRates::onAnswer (const RateObservation& seen, const StatedRate& stated,
                            base::TimePoint now)
{
    std::visit (
        base::Overloaded{ [&] (const LimitedRate& rate) { noteLimit (seen, rate.perSecond, now); },
                          [&] (const UnlimitedRate&) { noteEnd (seen); },
                          [&] (const UnreadableRate& rate)
                          {
                              log::write (log::Event::kRunnerRateUnreadable,
                                          { { "runner", seen.instance }, { "text", rate.text } });
                          } },
        stated);
}

void RunnerRates::noteLimit (const RateObservation& seen, double perSecond, base::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace (seen.instance);
    Limit& limit = found->second;
    const bool isOfAnother = limit.startedAt != seen.startedAt;
    const bool isNews = isNew || isOfAnother || limit.perSecond != perSecond;
    if (isNew || isOfAnother)
    {
        limit = {};
        limit.startedAt = seen.startedAt;
        limit.perSecond = perSecond;
        limit.untoldSince = now;
        // Routers that hear of a rate together do not all send at once.
        limit.ownShareAt = now
                           + std::chrono::duration_cast<base::Duration> (ownInterval (limit)
                                                                         * m_random.uniformReal());
    }
    limit.perSecond = perSecond;
    limit.statedAt = now;
    if (isNews)
        log::write (log::Event::kRunnerRateStated,
                    { { "runner", seen.instance }, { "per_second", perSecond } });
    if (isNews || now - limit.reportedAt >= kReportInterval)
        reportLimit (seen.instance, limit, now);
}

void RunnerRates::reportLimit (const std::string& instance, Limit& limit, base::TimePoint now)
{
    if (m_granting != Granting::kLeader)
        return;
    limit.reportedAt = now;
    m_unreported.push_back (
        { { instance, limit.startedAt, true, limit.perSecond, 0 }, limit.statedAt });
    m_onNeed();
}

void RunnerRates::noteEnd (const RateObservation& seen)
{
    const auto found = m_limits.find (seen.instance);
    if (found == m_limits.end() || ! seen.isProper)
        return;
    // Answers overtake one another: one to a request that was sent before the rate was heard of may
    // have been written before the runner stated it.
    const Limit& limit = found->second;
    const bool isNewer = seen.sentAt > limit.statedAt;
    if (! isNewer || limit.startedAt != seen.startedAt)
        return;
    if (m_granting == Granting::kLeader)
    {
        m_unreported.push_back ({ { seen.instance, seen.startedAt, false, 0, 0 }, seen.sentAt });
        m_onNeed();
    }
    if (limit.isTold)
        return;
    log::write (log::Event::kRunnerRateEnded, { { "runner", seen.instance } });
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
    return limit == nullptr ? 0 : std::max (limit->perSecond, cell::kLeastRatePerSecond);
}

base::Duration RunnerRates::waitFor (const std::string& instance, base::UnixMilliseconds startedAt,
                                     base::TimePoint now) const
{
    const Limit* const limit = find (instance, startedAt);
    if (limit == nullptr)
        return base::Duration::zero();
    base::TimePoint until;
    switch (m_granting)
    {
        case Granting::kLeader:
            until = limit->askAgainAt;
            break;
        case Granting::kNobody:
            until = limit->ownShareAt;
            break;
        case Granting::kUnknown:
            until = now + kRetry;
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
        return QuotaAnswer::kGranted;  // The limit has ended meanwhile.
    }
    Limit& limit = found->second;
    if (m_granting != Granting::kLeader)
    {
        giveUp (claim);
        return count (m_granting == Granting::kNobody ? takeOwnShare (limit, now)
                                                      : QuotaAnswer::kRefused);
    }
    claim.units = 1;
    const bool isNew = claim.sequence == 0;
    const QuotaAnswer answer = m_permits.take (claim, now);
    if (isNew && answer == QuotaAnswer::kPending)
        m_onNeed();
    if (answer == QuotaAnswer::kRefused)
        limit.askAgainAt = std::max (limit.askAgainAt, now + kShortestWait);
    if (answer != QuotaAnswer::kPending)
        return count (answer);
    if (now - claim.askedAt < kGrantTimeout)
        return answer;
    giveUp (claim);
    limit.askAgainAt = now + kRetry;
    ++m_counters.unanswered;
    return QuotaAnswer::kRefused;
}

QuotaAnswer RunnerRates::takeOwnShare (Limit& limit, base::TimePoint now)
{
    if (now < limit.ownShareAt)
        return QuotaAnswer::kRefused;
    limit.ownShareAt = now + ownInterval (limit);
    return QuotaAnswer::kGranted;
}

base::Duration RunnerRates::ownInterval (const Limit& limit) const
{
    const double seconds =
        m_routers / (kOwnPart * std::max (limit.perSecond, cell::kLeastRatePerSecond));
    return std::chrono::duration_cast<base::Duration> (std::chrono::duration<double> (seconds));
}

QuotaAnswer RunnerRates::count (QuotaAnswer answer)
{
    ++(answer == QuotaAnswer::kGranted ? m_counters.granted : m_counters.refused);
    return answer;
}

void RunnerRates::onLinkLost()
{
    m_granting = Granting::kUnknown;
    m_unreported.clear();
    forgetReports();
    m_permits.onLinkLost();
}

void RunnerRates::onOtherMessage()
{
    if (m_granting == Granting::kUnknown)
        m_granting = Granting::kNobody;
}

void RunnerRates::apply (const cell::InstanceRateUpdate& update, base::TimePoint now)
{
    m_granting = update.isGranting ? Granting::kLeader : Granting::kNobody;
    if (update.isGranting)
    {
        takeTable (update, now);
        m_onNeed();
        return;
    }
    // Nobody keeps a table any more: what the runners say themselves ends a limit.
    for (auto& [instance, limit] : m_limits)
        limit.isTold = false;
    forgetReports();
}

void RunnerRates::takeTable (const cell::InstanceRateUpdate& update, base::TimePoint now)
{
    const bool isNewTerm = update.term > m_term;
    // Another controller may be behind the one before.
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
            limit.ownShareAt = now;
        limit.perSecond = rate.perSecond;
        limit.startedAt = rate.startedAt;
        limit.isTold = true;
        limit.statedAt = std::max (limit.statedAt, now - base::milliseconds (rate.ageMilliseconds));
        m_limits[rate.instance] = limit;
    }
    for (auto& [instance, limit] : earlier)
    {
        // Within one term the leader has taken it back; a new leader may not have heard of it yet.
        if (m_limits.contains (instance) || (limit.isTold && ! isNewTerm))
            continue;
        if (std::exchange (limit.isTold, false))
        {
            limit.untoldSince = now;
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
            found->second.askAgainAt = now + base::milliseconds (allowance.waitMilliseconds);
    }
}

void RunnerRates::expire (base::TimePoint now)
{
    if (m_granting != Granting::kLeader)
        return;
    std::erase_if (m_limits,
                   [&] (const auto& item)
                   {
                       const Limit& limit = item.second;
                       return ! limit.isTold && now - limit.untoldSince > kUntoldLife;
                   });
}

void RunnerRates::reportUntold (base::TimePoint now)
{
    for (auto& [instance, limit] : m_limits)
    {
        if (! limit.isTold && now - limit.reportedAt >= kReportInterval)
            reportLimit (instance, limit, now);
    }
}

void RunnerRates::forgetReports()
{
    for (auto& [instance, limit] : m_limits)
        limit.reportedAt = {};
}

std::optional<cell::InstanceRateReport> RunnerRates::takeReport (base::TimePoint now)
{
    expire (now);
    reportUntold (now);
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
    if (m_granting != Granting::kLeader)
        return std::nullopt;
    if (auto claims = m_permits.takeRequest (now))
        return cell::InstancePermitRequest{ std::move (*claims) };
    return std::nullopt;
}

}  // namespace fernlift::proxy
