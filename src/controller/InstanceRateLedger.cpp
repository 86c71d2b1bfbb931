#include "controller/InstanceRateLedger.h"

#include <algorithm>
#include <chrono>

#include "log/Log.h"

namespace fernlift::controller
{
namespace
{

/// In any window of this length a runner's rate is not exceeded; shorter ones may include the
/// burst.
constexpr base::Duration kWindow = base::seconds (4);
/// Maximum number of unused permits of a runner. With only one, a request that arrives slightly
/// after its permit became available would cost the runner the rest of an interval.
constexpr double kBurst = 2;
/// Maximum time from sending a request at its router to its arrival at the runner, including the
/// time to open a connection.
constexpr base::Duration kDeliveryDelay = base::milliseconds (200);
/// Maximum delay of a reported rate on its way to the leader, which its age does not include.
constexpr base::Duration kStatementDelay = base::milliseconds (50);
/// A router that was disconnected for longer no longer uses any controller (isolated_grace_ms).
constexpr base::Duration kEndedLifetime = base::seconds (30);
/// Time before the start of a leader in which reports to the previous leader may have been lost: a
/// leader is replaced within 0.6 s, and a router that reconnects reports within 0.5 s.
constexpr base::Duration kElectionDuration = base::seconds (2);
/// Retry delay for a router that requests permits for a runner without a limit at the leader: the
/// report of the limit, or the update that ends it, is still on its way.
constexpr base::Duration kUnknownRetryDelay = base::milliseconds (50);

}  // namespace

double InstanceRateLedger::grantedPerSecond (double stated) const
{
    // Requests that arrive within a window were granted within a window that is longer by the
    // permit lifetime and the delivery delay. Granting 0.91 of the rate keeps the arrivals in a
    // window within the rate and the burst.
    constexpr base::Duration kGrantWindow = kWindow + kPermitLifetime + kDeliveryDelay;
    const double part = m_share * base::toSeconds (kWindow) / base::toSeconds (kGrantWindow);
    // At the minimum rate, a window holds no more permits than the burst.
    return std::max (stated * part, cell::kMinRatePerSecond);
}

void InstanceRateLedger::setShare (double share, base::TimePoint now)
{
    if (share == m_share)
        return;
    for (auto& [instance, entry] : m_accounts)
        refill (entry, now);
    m_share = share;
}

void InstanceRateLedger::refill (Entry& entry, base::TimePoint now) const
{
    const double added =
        grantedPerSecond (entry.account.perSecond) * base::toSeconds (now - entry.filledAt);
    entry.account.level = std::min (entry.account.level + added, kBurst);
    entry.filledAt = now;
}

void InstanceRateLedger::limit (const cell::InstanceRate& rate, base::TimePoint statedAt,
                                base::TimePoint now)
{
    const auto found = m_accounts.find (rate.instance);
    if (found != m_accounts.end() && found->second.startedAt == rate.startedAt)
    {
        Entry& entry = found->second;
        const bool isOlder = statedAt < entry.account.statedAt;
        if (isOlder)
            return;
        entry.account.statedAt = statedAt;
        if (entry.account.perSecond == rate.perSecond)
            return;
        refill (entry, now);
        entry.account.perSecond = rate.perSecond;
    }
    else
    {
        // Starts empty, since routers have just sent requests without a limit.
        m_accounts[rate.instance] = { { rate.perSecond, 0, 0, 0, statedAt }, rate.startedAt, now };
    }
    ++m_version;
    log::write (log::Event::kRunnerRateInForce,
                { { "runner", rate.instance }, { "per_second", rate.perSecond } });
}

void InstanceRateLedger::begin (const std::vector<cell::InstanceRate>& limited, base::TimePoint now)
{
    m_knownSince = now - kElectionDuration;
    for (const cell::InstanceRate& rate : limited)
        limit (rate, now - base::milliseconds (rate.ageMilliseconds), now);
}

bool InstanceRateLedger::isOutdated (const std::string& instance, base::TimePoint statedAt) const
{
    if (m_accounts.contains (instance))
        return false;
    const auto ended = m_ended.find (instance);
    return statedAt < m_knownSince || (ended != m_ended.end() && statedAt < ended->second);
}

void InstanceRateLedger::onStatement (const cell::InstanceRateStatement& statement,
                                      base::UnixMilliseconds startedAt, base::TimePoint now)
{
    // The rate of an earlier incarnation does not apply to this one.
    if (statement.startedAt != startedAt)
        return;
    const base::TimePoint madeAt = now - base::milliseconds (statement.ageMilliseconds);
    if (statement.isLimited)
    {
        if (isOutdated (statement.instance, madeAt))
            return;
        limit ({ statement.instance, startedAt, statement.perSecond, 0 }, madeAt, now);
        return;
    }
    const auto found = m_accounts.find (statement.instance);
    if (found == m_accounts.end())
        return;
    // Answers may arrive out of order. Only the answer to a request that was sent after the last
    // answer with a rate arrived shows that the limit has ended. Otherwise a limit would be lifted
    // while the runner still reports it.
    if (madeAt <= found->second.account.statedAt + kStatementDelay)
        return;
    m_accounts.erase (found);
    std::erase_if (m_ended, [&] (const auto& item) { return now - item.second > kEndedLifetime; });
    m_ended[statement.instance] = madeAt;
    ++m_version;
    log::write (log::Event::kRunnerRateLifted, { { "runner", statement.instance } });
}

void InstanceRateLedger::keepOnly (
    const std::function<bool (const cell::InstanceRate& rate)>& isKept)
{
    const auto isGone = [&] (const auto& item)
    {
        const Entry& entry = item.second;
        return ! isKept ({ item.first, entry.startedAt, entry.account.perSecond, 0 });
    };
    if (std::erase_if (m_accounts, isGone) > 0)
        ++m_version;
}

cell::QuotaGrant InstanceRateLedger::answer (const cell::QuotaRequest& request, base::TimePoint now)
{
    cell::QuotaGrant grant;
    grant.sequence = request.sequence;
    for (const cell::QuotaNeed& need : request.needs)
        grant.allowances.push_back (allowanceFor (need, now));
    return grant;
}

cell::QuotaAllowance InstanceRateLedger::allowanceFor (const cell::QuotaNeed& need,
                                                       base::TimePoint now)
{
    cell::QuotaAllowance allowance;
    allowance.account = need.account;
    allowance.lifetimeMilliseconds = base::toMilliseconds (kPermitLifetime);
    const auto found = m_accounts.find (need.account);
    if (found == m_accounts.end())
    {
        allowance.waitMilliseconds = base::toMilliseconds (kUnknownRetryDelay);
        return allowance;
    }
    Entry& entry = found->second;
    refill (entry, now);
    for (const std::uint64_t claim : need.claims)
    {
        const auto units = static_cast<double> (claim);
        if (units <= entry.account.level)
        {
            entry.account.level -= units;
            ++entry.account.granted;
            ++m_granted;
            allowance.units += claim;
            continue;
        }
        ++entry.account.refused;
        ++m_refused;
        const double seconds =
            (units - entry.account.level) / grantedPerSecond (entry.account.perSecond);
        const auto wait = std::chrono::duration<double> (seconds);
        allowance.waitMilliseconds = std::chrono::ceil<base::milliseconds> (wait).count();
    }
    return allowance;
}

std::vector<cell::InstanceRate> InstanceRateLedger::limited (base::TimePoint now) const
{
    std::vector<cell::InstanceRate> rates;
    for (const auto& [instance, entry] : m_accounts)
    {
        const std::int64_t age = base::toMilliseconds (now - entry.account.statedAt);
        rates.push_back ({ instance, entry.startedAt, entry.account.perSecond, age });
    }
    return rates;
}

const InstanceRateLedger::Account* InstanceRateLedger::find (const std::string& instance) const
{
    const auto found = m_accounts.find (instance);
    return found == m_accounts.end() ? nullptr : &found->second.account;
}

}  // namespace fernlift::controller
